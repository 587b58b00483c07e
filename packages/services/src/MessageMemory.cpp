#include "cicadalb/services/MessageMemory.h"

#include <algorithm>
#include <utility>

namespace cicadalb {

const std::shared_ptr<MessageMemory>& MessageMemory::ofProcess()
{
    static const auto memory = std::make_shared<MessageMemory>();
    return memory;
}

void MessageMemory::setCapacity(std::size_t capacity)
{
    const std::lock_guard lock(m_mutex);
    m_capacity = capacity;
}

std::size_t MessageMemory::used() const
{
    const std::lock_guard lock(m_mutex);
    return m_used;
}

bool MessageMemory::change(std::size_t from, std::size_t to)
{
    const std::lock_guard lock(m_mutex);
    const auto used = m_used - from + to;
    const auto messages = m_messages - (from > 0 ? 1 : 0) + (to > 0 ? 1 : 0);
    const auto sharedCapacity = m_capacity - m_capacity / 4;
    const auto capacity = to > smallMessageBytes ? m_capacity - m_capacity / 8 : m_capacity;
    const bool exceedsShare = used > sharedCapacity && to > std::max(smallMessageBytes, sharedCapacity / std::max<std::size_t>(1, messages));
    if (to > from && (used > capacity || exceedsShare))
        return false;
    m_used = used;
    m_messages = messages;
    return true;
}

bool MessageMemory::reclaim(std::size_t bytes, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::size_t reclaimed = 0;
    while (reclaimed < bytes && !m_offered.empty() && now - m_offered.front().lastProgressAt >= stallTime) {
        auto& holder = m_offered.front();
        reclaimed += holder.releasedBytes;
        holder.release();
        holder.share->m_holder.reset();
        m_offered.pop_front();
    }
    return reclaimed > 0;
}

MessageMemory::Share::Share(std::shared_ptr<MessageMemory> memory)
    : m_memory(std::move(memory))
{
}

MessageMemory::Share::~Share()
{
    keep();
    (void)m_memory->change(m_bytes, 0);
}

bool MessageMemory::Share::resize(std::size_t bytes)
{
    if (!m_memory->change(m_bytes, bytes))
        return false;
    m_bytes = bytes;
    return true;
}

void MessageMemory::Share::offer(std::function<void()> release, TimePoint now)
{
    keep();
    const std::lock_guard lock(m_memory->m_mutex);
    m_holder = m_memory->m_offered.insert(m_memory->m_offered.end(), { this, now, m_bytes, std::move(release) });
}

void MessageMemory::Share::noteProgress(TimePoint now, std::size_t releasedBytes)
{
    const std::lock_guard lock(m_memory->m_mutex);
    if (!m_holder)
        return;
    (*m_holder)->lastProgressAt = now;
    (*m_holder)->releasedBytes = releasedBytes;
    m_memory->m_offered.splice(m_memory->m_offered.end(), m_memory->m_offered, *m_holder);
}

void MessageMemory::Share::keep()
{
    const std::lock_guard lock(m_memory->m_mutex);
    if (m_holder)
        m_memory->m_offered.erase(*m_holder);
    m_holder.reset();
}

} // namespace cicadalb
