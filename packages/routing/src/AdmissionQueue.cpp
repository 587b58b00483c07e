#include "AdmissionQueue.h"

#include <algorithm>

namespace cicadalb {

void AdmissionQueue::push(QueuedRequest request)
{
    m_waiting.at(static_cast<std::size_t>(request.demand.priority)).push_back(std::move(request));
    ++m_size;
}

std::size_t AdmissionQueue::nextPriority() const
{
    for (std::size_t priority = priorityCount; priority-- > 1;) {
        if (!m_waiting[priority].empty() && m_turnsPassed[priority] + 1 >= turnsPerLowerPriority)
            return priority;
    }
    std::size_t priority = 0;
    while (m_waiting[priority].empty())
        ++priority;
    return priority;
}

const QueuedRequest* AdmissionQueue::next() const
{
    return m_size == 0 ? nullptr : &m_waiting[nextPriority()].front();
}

QueuedRequest AdmissionQueue::pop()
{
    const auto priority = nextPriority();
    auto request = std::move(m_waiting[priority].front());
    m_waiting[priority].pop_front();
    --m_size;
    m_turnsPassed[priority] = 0;
    for (std::size_t lower = priority + 1; lower < priorityCount; ++lower)
        m_turnsPassed[lower] = m_waiting[lower].empty() ? 0 : m_turnsPassed[lower] + 1;
    return request;
}

bool AdmissionQueue::remove(QueueTicket ticket)
{
    for (auto& waiting : m_waiting) {
        const auto found = std::find_if(waiting.begin(), waiting.end(), [ticket](const auto& request) { return request.ticket == ticket; });
        if (found == waiting.end())
            continue;
        waiting.erase(found);
        --m_size;
        return true;
    }
    return false;
}

std::size_t AdmissionQueue::sizeFrom(Priority priority) const noexcept
{
    std::size_t count = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i)
        count += m_waiting[i].size();
    return count;
}

} // namespace cicadalb
