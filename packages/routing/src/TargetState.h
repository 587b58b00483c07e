#pragma once

#include "ConcurrencyLimit.h"
#include "LoadView.h"
#include "SpeedEstimate.h"
#include "TargetHealth.h"

#include <algorithm>
#include <cmath>
#include <string_view>

/// @file
/// All that one host knows of one target.

namespace cicadalb {

/// @brief Expected time to a target's answer.
struct ExpectedDelay {
    double serviceSeconds = 0;
    /// Requests for each place of the target, 1 without queueing.
    double crowding = 1;

    double total() const noexcept { return serviceSeconds * crowding; }
    /// @brief Marginal delay: what one more request adds to the delays of all. It weighs a queue more than the request's own delay does, so
    /// that slower targets share the work before the fastest ones are saturated.
    double cost() const noexcept { return serviceSeconds * crowding * crowding; }
};

class TargetState {
public:
    /// @param ceiling largest limit in flight; the limit stays there unless it adapts
    TargetState(const Target&, unsigned ceiling, bool hasAdaptiveLimit);
    /// @brief Takes over a target's configuration; what runs and what was learnt is kept.
    void configure(const Target&, unsigned ceiling, const FailureDomain& own);

    /// @brief Why the target may receive no new work at all, or an empty text.
    std::string_view ineligibility() const noexcept;
    bool isEligible() const noexcept { return ineligibility().empty(); }

    void begin(TimePoint now);
    /// @param pressure requests that arrive for each that is served
    void end(const Completion&, double pressure, TimePoint now, Random&);
    void recordReport(const LoadReport&, TimePoint now);
    /// @brief Own requests that may be in flight now.
    unsigned allowedInFlight(TimePoint now) const noexcept;
    bool hasRoom(TimePoint now) const noexcept { return inFlight < allowedInFlight(now); }
    /// @brief Requests for each place of the target if one more came, at least 1.
    double crowding() const noexcept;
    /// @brief Expected seconds of service without queueing: a lower bound of the delay and its cost.
    double expectedService(double bestServiceSeconds, TimePoint now) const noexcept;
    /// @param bestServiceSeconds service time of the fastest target, which stands for one that is not known
    ExpectedDelay expectedDelay(double bestServiceSeconds, TimePoint now) const noexcept;

    TargetView view(TimePoint now) const;

    // The members that each pick reads come first.
    unsigned inFlight = 0;
    bool isRemoved = false;
    bool isDraining = false;
    bool isListedAsLeaving = false;
    bool saysItIsLeaving = false;
    /// Whether it is in this host's own failure domain.
    bool isNear = true;
    ConcurrencyLimit limit;
    LoadView load;
    TargetHealth health;
    SpeedEstimate speed;
    /// Seed of the target's rendezvous scores.
    std::uint64_t seed;
    TargetId id;

private:
    /// Factor on the service time of a target in another failure domain, on top of the latency that is measured anyway.
    static constexpr double farFactor = 1.02;

    void averageInFlight(TimePoint now);
    /// True if the request's own deadline was too short to judge the target by.
    bool isHastyDeadline(const Completion&) const noexcept;
    /// Latency over service time without queueing.
    double slowdown() const noexcept;

    bool m_hasAdaptiveLimit;
    double m_averageInFlight = 0;
    TimePoint m_averagedAt {};
};

inline std::string_view TargetState::ineligibility() const noexcept
{
    if (isRemoved)
        return "removed";
    if (isDraining)
        return "draining";
    if (isListedAsLeaving)
        return "leaving by host list";
    if (saysItIsLeaving)
        return "leaving by its own word";
    return {};
}

inline unsigned TargetState::allowedInFlight(TimePoint now) const noexcept
{
    const auto state = health.state(now);
    if (state == CircuitState::Closed)
        return static_cast<unsigned>(limit.value());
    if (state == CircuitState::Open)
        return 0;
    return std::max(1U, static_cast<unsigned>(limit.value() * health.allowedShare(now)));
}

/// Expected load above the places counts as queued. The load of others is known only about, by its square root, so that some queueing is
/// expected before all places are taken. Without reports it is taken to be about the own load.
inline double TargetState::crowding() const noexcept
{
    const auto others = load.others();
    const auto uncertain = load.hasReports() ? others : inFlight + 1;
    const auto places = std::max(load.hasReports() ? load.parallelism() : limit.value(), 1.0);
    const auto excess = inFlight + others + 1 - places;
    const auto queued = (excess + std::sqrt(excess * excess + 4 * uncertain)) / 2;
    return 1 + queued / places;
}

inline double TargetState::expectedService(double bestServiceSeconds, TimePoint now) const noexcept
{
    const auto service = speed.isKnown() ? speed.agedServiceSeconds(now) : bestServiceSeconds;
    return isNear ? service : service * farFactor;
}

inline ExpectedDelay TargetState::expectedDelay(double bestServiceSeconds, TimePoint now) const noexcept
{
    return { expectedService(bestServiceSeconds, now), crowding() };
}

} // namespace cicadalb
