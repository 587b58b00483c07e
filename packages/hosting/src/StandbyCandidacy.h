#pragma once

#include "cicadalb/base/Clock.h"

#include <optional>

/// @file
/// When a host that is no candidate for coordination coordinates nevertheless.

namespace cicadalb {

/// @brief A standby takes over while no candidate can, and gives coordination back to a candidate that can. While it reaches a candidate it is passive: it
/// makes no calls. Otherwise it watches who holds the coordinator's lease, and requests the lease once it has been vacant for longer than a candidate needs.
/// Makes no calls itself.
class StandbyCandidacy {
public:
    /// Time after the start of the process in which the lease is left to candidates that start at the same time.
    static constexpr std::chrono::milliseconds startupDelay { 3000 };
    /// Time without a reachable candidate after which a standby watches the lease. Longer than the selection of another mirror takes.
    static constexpr std::chrono::milliseconds unreachableDelay { 400 };
    /// Time for which a candidate has to be reachable before a standby gives coordination back, since each change of coordinator delays weight orders.
    static constexpr std::chrono::milliseconds returnDelay { 2000 };

    /// @brief Time for which the lease has to be vacant before this standby requests it: longer than a candidate takes, and shorter for hosts with more
    /// memory, on which coordination affects callers least. @param memoryMebibytes 0: not stated @param seed spreads hosts of the same size
    static Duration vacancyDelay(unsigned memoryMebibytes, std::uint64_t seed);

    StandbyCandidacy(Duration vacancyDelay, TimePoint startedAt);

    /// @brief Records whether a candidate that can coordinate is reachable now. Called at short intervals.
    void observe(bool isCandidateReachable, TimePoint now);
    /// @brief Whether to watch who holds the lease.
    bool shouldWatch(TimePoint now) const;
    /// @brief Whether to request the lease. @param vacantSince empty if somebody holds it or that is not known
    bool mayRequest(std::optional<TimePoint> vacantSince, TimePoint now) const;
    /// @brief Whether a standby that coordinates has to give coordination back.
    bool shouldGiveBack(TimePoint now) const;

private:
    Duration m_vacancyDelay;
    TimePoint m_startedAt;
    bool m_isCandidateReachable = false;
    /// Since when isCandidateReachable has been the same.
    TimePoint m_since;
};

} // namespace cicadalb
