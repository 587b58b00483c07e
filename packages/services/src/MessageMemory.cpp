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
    const auto answers = m_answers - (from > 0 ? 1 : 0) + (to > 0 ? 1 : 0);
    const auto sharedCapacity = m_capacity - m_capacity / 4;
    const bool exceedsShare = used > sharedCapacity && to > sharedCapacity / std::max<std::size_t>(1, answers);
    if (to > from && (used > m_capacity || exceedsShare))
        return false;
    m_used = used;
    m_answers = answers;
    return true;
}

MessageMemory::Share::Share(std::shared_ptr<MessageMemory> memory)
    : m_memory(std::move(memory))
{
}

MessageMemory::Share::~Share() { (void)m_memory->change(m_bytes, 0); }

bool MessageMemory::Share::resize(std::size_t bytes)
{
    if (!m_memory->change(m_bytes, bytes))
        return false;
    m_bytes = bytes;
    return true;
}

} // namespace cicadalb
