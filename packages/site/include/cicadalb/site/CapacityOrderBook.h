#pragma once

#include "cicadalb/site/CapacityPlan.h"
#include "cicadalb/site/Duties.h"

/// @file
/// What was ordered of each source, and which call is due.

namespace cicadalb {

/// @brief The orders of one pool. A call without an answer may be executed seconds later, and then undo a newer order: it is repeated until it is
/// answered, and a different number that was ordered meanwhile is ordered once more when the late call can no longer be executed. An order whose
/// number is in force is not sent again.
class CapacityOrderBook {
public:
    /// Time after which a call without an answer is no longer executed.
    static constexpr std::chrono::seconds lateExecutionTime { 8 };
    /// Time for which none are ordered of a source where there are none, or where the platform takes engines away.
    static constexpr std::chrono::seconds unavailableTime { 6 };
    /// Time beyond the boot time until an order shows in the registry: the registration of new engines, or the draining of others.
    static constexpr std::chrono::seconds registrationTime { 5 };
    static constexpr std::chrono::milliseconds firstRetryDelay { 500 };
    static constexpr std::chrono::milliseconds longestRetryDelay { 4000 };

    /// @brief Replaces the number to order of a source.
    void propose(const CapacityDecision&);
    /// @brief The platform takes engines of this source away.
    void markUnavailable(const EngineSource& source, TimePoint now) { m_entries[source].unavailableUntil = now + unavailableTime; }

    /// @brief Sources whose order is to be sent now; one call at a time for each.
    std::vector<CapacityDecision> dueCalls(TimePoint now);
    /// @brief Records that the call for a source begins.
    void onCall(const EngineSource&, TimePoint now);
    void onOutcome(const EngineSource&, DutyOutcome, TimePoint now);

    /// @brief Numbers ordered, whether answered or not.
    std::map<EngineSource, unsigned> ordered() const;
    std::set<EngineSource> unavailable(TimePoint now) const;
    /// @brief Sources whose last order may not show in the registry yet.
    std::set<EngineSource> settling(std::chrono::milliseconds bootTime, TimePoint now) const;
    /// @brief Those of them whose last order was for another number than before.
    std::set<EngineSource> changing(std::chrono::milliseconds bootTime, TimePoint now) const;
    /// @brief Whether fewer engines were ordered of a source recently, so that engines which leave there do so by that order.
    bool hasReduced(const EngineSource&, std::chrono::milliseconds bootTime, TimePoint now) const;

private:
    struct Entry {
        std::optional<CapacityDecision> proposed;
        /// Number of the last answered call.
        std::optional<unsigned> accepted;
        bool isInForce = true;
        bool isCalling = false;
        unsigned calledNumber = 0;
        TimePoint calledAt;
        TimePoint nextCallAt;
        Duration retryDelay = firstRetryDelay;
        /// Numbers of calls without an answer, and until when these may be executed.
        std::set<unsigned> lateNumbers;
        TimePoint lateUntil;
        TimePoint unavailableUntil;
        std::optional<TimePoint> orderedAt;
        std::optional<TimePoint> changedAt;
        std::optional<TimePoint> reducedAt;
    };

    static bool needsRepeat(const Entry&, TimePoint now);

    std::map<EngineSource, Entry> m_entries;
};

} // namespace cicadalb
