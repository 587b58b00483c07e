#pragma once

#include "FairQueue.h"

#include <array>

/// @file
/// Queue of requests that wait for a free slot on a target of the pool.

namespace cicadalb {

/// All priorities, highest first.
inline constexpr std::array<Priority, 3> priorities = { Priority::Interactive, Priority::Normal, Priority::Training };

/// @brief Serves the requests of each priority in the order of its FairQueue. While requests of a higher priority wait, a waiting lower priority gets
/// one turn in turnsPerLowerPriorityTurn, so that it does not starve. Estimates waiting times from the rates of arrivals and completions.
class AdmissionQueue {
public:
    /// While higher priorities wait, a waiting lower priority gets one turn out of this many.
    static constexpr unsigned turnsPerLowerPriorityTurn = 8;

    explicit AdmissionQueue(TimePoint start);

    void push(QueuedRequest request);
    /// @brief Brings the organisations' shares into line with demand.
    void updateShares(double completionsPerSecond, const OrganisationWeights&, TimePoint now);
    /// @brief Priorities with waiting requests, in the order in which they are served next.
    std::vector<Priority> serviceOrder() const;
    const FairQueue& waiting(Priority priority) const { return m_waiting[index(priority)]; }
    QueuedRequest popFront(Priority);
    /// @brief Removes one request from any position. @return false if it is not queued. Complexity: linear in the queue length.
    bool remove(QueueTicket);
    /// @brief Removes each request for which @p isDropped(request, position within its priority) holds. @return the removed requests
    template <typename Predicate>
    std::vector<QueuedRequest> removeIf(Predicate isDropped);

    std::size_t size() const noexcept;
    /// @brief Number of queued requests with a priority above @p priority.
    std::size_t sizeAbove(Priority) const noexcept;

    /// @brief Records that a request was made, whatever is decided on it.
    void recordDemand(const RequestRequirements&, TimePoint now);
    /// @brief Records that a request of @p priority was admitted or queued.
    void recordArrival(Priority priority, TimePoint now) { m_arrivals[index(priority)].record(now); }
    /// @brief Expected waiting time of a request with @p ahead requests of its priority before it; 0 while completions are too rare for an estimate.
    /// @param completionsPerSecond requests that end on the targets per second
    double expectedWaitSeconds(Priority, double ahead, double completionsPerSecond, TimePoint now);
    /// @brief Expected waiting time of a request that is not queued yet.
    double expectedWaitSeconds(const RequestRequirements&, double completionsPerSecond, TimePoint now);

private:
    static constexpr std::size_t index(Priority priority) { return static_cast<std::size_t>(priority); }
    void recordTurn(Priority);
    double availablePerSecond(Priority, double completionsPerSecond, TimePoint now);

    std::array<FairQueue, priorities.size()> m_waiting;
    /// For each priority: consecutive turns of higher priorities while it waited.
    std::array<unsigned, priorities.size()> m_turnsWaited {};
    std::array<RateMeter, priorities.size()> m_arrivals;
};

template <typename Predicate>
std::vector<QueuedRequest> AdmissionQueue::removeIf(Predicate isDropped)
{
    std::vector<QueuedRequest> removed;
    for (auto& waiting : m_waiting) {
        auto dropped = waiting.removeIf(isDropped);
        removed.insert(removed.end(), std::make_move_iterator(dropped.begin()), std::make_move_iterator(dropped.end()));
    }
    return removed;
}

} // namespace cicadalb
