#include "UsageLedger.h"

#include <algorithm>

namespace cicadalb {

std::chrono::milliseconds reportInterval(std::size_t processes, const UsageWindows& windows)
{
    constexpr std::size_t millisecondsPerSecond = 1000;
    const std::chrono::milliseconds interval(processes * millisecondsPerSecond / UsageLedger::messagesPerSecond);
    return std::min(interval, windows.length / 2);
}

void UsageLedger::apply(const UsageMessage& message, WallTime now)
{
    const auto newest = m_windows.at(now) + 1;
    for (const auto& [window, counts] : message.windows) {
        if (window <= m_closedUpTo || window > newest || window + maximumWindows <= newest)
            continue;
        auto& statement = m_statements[window][{ message.host, message.incarnation }];
        if (message.sequence <= statement.sequence)
            continue;
        statement = { message.sequence, counts };
    }
    while (!m_statements.empty() && m_statements.begin()->first + maximumWindows <= newest)
        m_statements.erase(m_statements.begin());
}

UsageCounts UsageLedger::total(UsageWindow window) const
{
    UsageCounts total;
    const auto found = m_statements.find(window);
    if (found == m_statements.end())
        return total;
    for (const auto& [process, statement] : found->second) {
        for (const auto& [organisation, count] : statement.counts) {
            if (count > 0)
                total[organisation] += count;
        }
    }
    return total;
}

std::size_t UsageLedger::sources(UsageWindow window) const
{
    const auto found = m_statements.find(window);
    return found == m_statements.end() ? 0 : found->second.size();
}

std::optional<UsageWindow> UsageLedger::oldestWindow() const
{
    return m_statements.empty() ? std::nullopt : std::optional(m_statements.begin()->first);
}

void UsageLedger::closeUpTo(UsageWindow window)
{
    m_closedUpTo = std::max(m_closedUpTo, window);
    m_statements.erase(m_statements.begin(), m_statements.upper_bound(m_closedUpTo));
}

std::chrono::milliseconds UsageLedger::interval() const
{
    std::size_t processes = 0;
    for (const auto& [window, statements] : m_statements)
        processes = std::max(processes, statements.size());
    return reportInterval(processes, m_windows);
}

} // namespace cicadalb
