#include "UsageCounter.h"

#include <algorithm>

namespace cicadalb {

UsageWindow UsageWindows::at(WallTime time) const
{
    const auto sinceEpoch = std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch());
    return sinceEpoch.count() < 0 ? 0 : static_cast<UsageWindow>(sinceEpoch / length);
}

WallTime UsageWindows::beginOf(UsageWindow window) const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(length * static_cast<std::int64_t>(window)));
}

UsageCounter::UsageCounter(UsageWindows windows, WallClock now)
    : m_windows(windows)
    , m_now(std::move(now))
{
}

void UsageCounter::add(const Mark& mark, bool isPresent)
{
    if (mark.window <= m_droppedUpTo)
        return;
    auto& entry = m_entries[mark.window];
    auto& count = entry.counts[mark.organisation];
    if (isPresent)
        ++count;
    else if (count > 0)
        --count;
    // An organisation stays in the message with a count of 0, which replaces the one that was sent before.
    entry.changedAt = ++m_sequence;
    if (m_entries.size() > maximumWindows)
        dropUpTo(m_entries.begin()->first);
}

std::optional<UsageCounter::Mark> UsageCounter::begin(const OrganisationName& organisation)
{
    if (organisation.isEmpty())
        return std::nullopt;
    Mark mark { organisation, m_windows.at(m_now()) };
    add(mark, true);
    if (m_onChange)
        m_onChange();
    return mark;
}

void UsageCounter::withdraw(const Mark& mark)
{
    if (!m_entries.contains(mark.window))
        return;
    add(mark, false);
    if (m_onChange)
        m_onChange();
}

void UsageCounter::correct(Mark& mark, WallTime beganAt)
{
    const auto window = m_windows.at(beganAt);
    // A window that is no longer kept has been reported with the attempt in it.
    if (window == mark.window || !m_entries.contains(mark.window) || window <= m_droppedUpTo)
        return;
    add(mark, false);
    mark.window = window;
    add(mark, true);
    if (m_onChange)
        m_onChange();
}

void UsageCounter::dropUpTo(UsageWindow window)
{
    m_droppedUpTo = std::max(m_droppedUpTo, window);
    m_entries.erase(m_entries.begin(), m_entries.upper_bound(m_droppedUpTo));
}

std::map<UsageWindow, UsageCounts> UsageCounter::changedAfter(std::uint64_t sequence) const
{
    std::map<UsageWindow, UsageCounts> changed;
    for (const auto& [window, entry] : m_entries) {
        if (entry.changedAt > sequence)
            changed.emplace(window, entry.counts);
    }
    return changed;
}

std::optional<UsageWindow> UsageCounter::oldestWindow() const
{
    return m_entries.empty() ? std::nullopt : std::optional(m_entries.begin()->first);
}

} // namespace cicadalb
