#pragma once

#include "cicadalb/routing/PoolBalancer.h"

#include <array>
#include <deque>

/// @file
/// Requests of one pool that wait for a target with room.

namespace cicadalb {

inline constexpr std::size_t priorityCount = 3;

/// @brief A waiting request.
struct QueuedRequest {
    QueueTicket ticket = 0;
    Demand demand;
};

/// @brief First in, first out for each priority. A lower priority gets one turn in turnsPerLowerPriority while a higher one waits, so
/// that none starves.
class AdmissionQueue {
public:
    /// A waiting lower priority gets one of so many turns.
    static constexpr unsigned turnsPerLowerPriority = 8;

    void push(QueuedRequest request);
    /// @brief The request whose turn it is, or null if none waits.
    const QueuedRequest* next() const;
    /// @brief Takes out what next() names.
    QueuedRequest pop();
    /// @brief Takes out one request wherever it stands. @return false if it does not wait. Complexity: linear in the queue.
    bool remove(QueueTicket);
    std::size_t size() const noexcept { return m_size; }
    /// @brief Requests that wait at @p priority or above.
    std::size_t sizeFrom(Priority) const noexcept;

    /// @brief Removes each request for which @p isDropped(request, position in its priority) holds. @return the removed ones
    template <typename Predicate>
    std::vector<QueuedRequest> removeIf(Predicate isDropped);

private:
    std::size_t nextPriority() const;

    std::array<std::deque<QueuedRequest>, priorityCount> m_waiting;
    std::size_t m_size = 0;
    /// Turns taken by higher priorities while each one waited.
    std::array<unsigned, priorityCount> m_turnsPassed {};
};

template <typename Predicate>
std::vector<QueuedRequest> AdmissionQueue::removeIf(Predicate isDropped)
{
    std::vector<QueuedRequest> removed;
    for (auto& waiting : m_waiting) {
        std::deque<QueuedRequest> kept;
        for (auto& request : waiting) {
            if (isDropped(request, kept.size()))
                removed.push_back(std::move(request));
            else
                kept.push_back(std::move(request));
        }
        waiting.swap(kept);
    }
    m_size -= removed.size();
    return removed;
}

} // namespace cicadalb
