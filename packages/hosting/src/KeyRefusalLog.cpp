#include "KeyRefusalLog.h"

#include <utility>

namespace cicadalb {

std::optional<KeyRefusalLog::Line> KeyRefusalLog::count(Entry& entry, bool isOfSeveralKeys, TimePoint now)
{
    ++entry.unlogged;
    if (entry.loggedAt && !isOld(entry, now))
        return std::nullopt;
    entry.loggedAt = now;
    return Line { std::exchange(entry.unlogged, 0), isOfSeveralKeys };
}

std::optional<KeyRefusalLog::Line> KeyRefusalLog::note(const KeyRefusal& refusal, TimePoint now)
{
    if (!m_entries.contains(refusal) && m_entries.size() >= maximumKeys)
        std::erase_if(m_entries, [now](const auto& entry) { return isOld(entry.second, now); });
    if (m_entries.contains(refusal) || m_entries.size() < maximumKeys)
        return count(m_entries[refusal], false, now);
    return count(m_others, true, now);
}

} // namespace cicadalb
