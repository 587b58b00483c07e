#pragma once

#include "ConcurrencyLimit.h"
#include "LoadView.h"
#include "SpeedEstimate.h"
#include "TargetHealth.h"

#include <string_view>

/// @file
/// All that one host knows of one target.

namespace cicadalb {

class TargetState {
public:
    /// @param ceiling largest limit in flight; the limit stays there unless it adapts
    TargetState(Target, unsigned ceiling, bool hasAdaptiveLimit);

    /// @brief Why the target may receive no new work at all, or an empty text.
    std::string_view ineligibility() const noexcept;
    bool isEligible() const noexcept { return ineligibility().empty(); }

    void begin(TimePoint now);
    void end(const Completion&, TimePoint now, Random&);
    void recordReport(const LoadReport&, TimePoint now);
    /// @brief Own requests that may be in flight now.
    double allowedInFlight(TimePoint now) const noexcept;
    bool hasRoom(TimePoint now) const noexcept { return inFlight < allowedInFlight(now); }
    /// @brief Expected requests on the target, those of other hosts included.
    double expectedLoad(TimePoint now) const noexcept { return inFlight + load.others(now); }
    /// @brief Requests for each place of the target if one more came, at least 1.
    double crowding(TimePoint now) const noexcept;

    TargetView view(TimePoint now) const;

    Target target;
    /// Seed of the target's rendezvous scores.
    std::uint64_t seed;
    unsigned inFlight = 0;
    bool isListedAsLeaving = false;
    bool saysItIsLeaving = false;
    bool isRemoved = false;
    SpeedEstimate speed;
    ConcurrencyLimit limit;
    LoadView load;
    TargetHealth health;

private:
    void averageInFlight(TimePoint now);
    /// Latency over service time without queueing.
    double slowdown() const noexcept;

    bool m_hasAdaptiveLimit;
    double m_averageInFlight = 0;
    TimePoint m_averagedAt {};
};

} // namespace cicadalb
