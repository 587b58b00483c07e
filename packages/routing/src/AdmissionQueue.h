#pragma once

#include "RateMeter.h"

#include "cicadalb/routing/PoolBalancer.h"

#include <algorithm>
#include <array>
#include <deque>

/// @file
/// Queue of requests that wait for a free slot on a target of the pool.

namespace cicadalb {

/// All priorities, highest first.
inline constexpr std::array<Priority, 3> priorities = { Priority::Interactive, Priority::Normal, Priority::Training };

struct QueuedRequest {
    QueueTicket ticket = 0;
    RequestRequirements requirements;
};

/// @brief Serves the requests of each priority first in, first out. While requests of a higher priority wait, a waiting lower priority gets
/// one turn in turnsPerLowerPriorityTurn, so that it does not starve. Estimates waiting times from the rates of arrivals and completions.
class AdmissionQueue {
public:
    /// While higher priorities wait, a waiting lower priority gets one turn out of this many.
    static constexpr unsigned turnsPerLowerPriorityTurn = 8;

    explicit AdmissionQueue(TimePoint start);

    void push(QueuedRequest request);
    /// @brief Priorities with waiting requests, in the order in which they are served next.
    std::vector<Priority> serviceOrder() const;
    const std::deque<QueuedRequest>& waiting(Priority priority) const { return m_waiting[index(priority)]; }
    QueuedRequest popFront(Priority);
    /// @brief Removes one request from any position. @return false if it is not queued. Complexity: linear in the queue length.
    bool remove(QueueTicket);
    /// @brief Removes each request for which @p isDropped(request, position within its priority) holds. @return the removed requests
    template <typename Predicate>
    std::vector<QueuedRequest> removeIf(Predicate isDropped);

    std::size_t size() const noexcept;
    /// @brief Number of queued requests with a priority above @p priority.
    std::size_t sizeAbove(Priority) const noexcept;

    /// @brief Records that a request of @p priority was admitted or queued.
    void recordArrival(Priority priority, TimePoint now) { m_arrivals[index(priority)].record(now); }
    /// @brief Expected waiting time of the request at @p position within its priority; 0 while completions are too rare for an estimate.
    /// @param completionsPerSecond requests that end on the targets per second
    double expectedWaitSeconds(Priority, std::size_t position, double completionsPerSecond, TimePoint now);

private:
    static constexpr std::size_t index(Priority priority) { return static_cast<std::size_t>(priority); }
    void recordTurn(Priority);

    std::array<std::deque<QueuedRequest>, priorities.size()> m_waiting;
    /// For each priority: consecutive turns of higher priorities while it waited.
    std::array<unsigned, priorities.size()> m_turnsWaited {};
    std::array<RateMeter, priorities.size()> m_arrivals;
};

template <typename Predicate>
std::vector<QueuedRequest> AdmissionQueue::removeIf(Predicate isDropped)
{
    std::vector<QueuedRequest> removed;
    for (auto& waiting : m_waiting) {
        std::size_t position = 0;
        std::erase_if(waiting, [&](const QueuedRequest& request) {
            const bool isRemoved = isDropped(request, position);
            if (isRemoved)
                removed.push_back(request);
            else
                ++position;
            return isRemoved;
        });
    }
    return removed;
}

} // namespace cicadalb
