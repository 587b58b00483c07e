#pragma once

#include "RateMeter.h"

#include "cicadalb/routing/PoolBalancer.h"

#include <algorithm>
#include <array>
#include <deque>

/// @file
/// Requests of one pool that wait for a target with room.

namespace cicadalb {

inline constexpr std::array<Priority, 3> priorities = { Priority::Interactive, Priority::Normal, Priority::Training };

/// @brief A waiting request.
struct QueuedRequest {
    QueueTicket ticket = 0;
    Demand demand;
};

/// @brief First in, first out for each priority. A lower priority gets one turn in turnsPerLowerPriority while a higher one waits, so
/// that none starves. Knows from the rates of arrivals and turns how long a request will wait.
class AdmissionQueue {
public:
    /// A waiting lower priority gets one of so many turns.
    static constexpr unsigned turnsPerLowerPriority = 8;

    explicit AdmissionQueue(TimePoint start);

    void push(QueuedRequest request);
    /// @brief Priorities that wait, in the order of their turns.
    std::vector<Priority> turns() const;
    const std::deque<QueuedRequest>& waiting(Priority priority) const { return m_waiting[index(priority)]; }
    QueuedRequest popFront(Priority);
    /// @brief Takes out one request wherever it stands. @return false if it does not wait. Complexity: linear in the queue.
    bool remove(QueueTicket);
    /// @brief Removes each request for which @p isDropped(request, position in its priority) holds. @return the removed ones
    template <typename Predicate>
    std::vector<QueuedRequest> removeIf(Predicate isDropped);

    std::size_t size() const noexcept;
    /// @brief Requests that wait above @p priority.
    std::size_t sizeAbove(Priority) const noexcept;

    /// @brief A request of @p priority was let into the pool.
    void recordArrival(Priority priority, TimePoint now) { m_arrivals[index(priority)].record(now); }
    /// @brief Expected wait of the request at @p position of its priority; 0 while too little is known.
    /// @param freedPerSecond places on targets that become free a second
    double waitSeconds(Priority, std::size_t position, double freedPerSecond, TimePoint now);

private:
    static constexpr std::size_t index(Priority priority) { return static_cast<std::size_t>(priority); }
    void countTurn(Priority);

    std::array<std::deque<QueuedRequest>, priorities.size()> m_waiting;
    /// Turns taken by higher priorities while each one waited.
    std::array<unsigned, priorities.size()> m_turnsPassed {};
    std::array<RateMeter, priorities.size()> m_arrivals;
};

template <typename Predicate>
std::vector<QueuedRequest> AdmissionQueue::removeIf(Predicate isDropped)
{
    std::vector<QueuedRequest> removed;
    for (auto& waiting : m_waiting) {
        std::size_t position = 0;
        std::erase_if(waiting, [&](const QueuedRequest& request) {
            const bool drops = isDropped(request, position);
            if (drops)
                removed.push_back(request);
            else
                ++position;
            return drops;
        });
    }
    return removed;
}

} // namespace cicadalb
