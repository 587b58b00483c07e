#pragma once

#include "UsageCounter.h"

#include <map>
#include <utility>

/// @file
/// Collects the usage counts of all hosts at the coordinator.

namespace cicadalb {

/// @brief Keeps for each window the newest counts of each process. Repeated and late messages change nothing. Load: one small message of each host an
/// interval (reportInterval()); memory for the organisations that each host served in at most maximumWindows windows. Has no clock and no sockets.
class UsageLedger {
public:
    /// Messages of all hosts together that the coordinator wants in a second.
    static constexpr unsigned messagesPerSecond = 400;
    /// Windows that are kept at most: the present one, those that await their report and one more for clocks that are ahead.
    static constexpr std::size_t maximumWindows = UsageCounter::maximumWindows;

    explicit UsageLedger(UsageWindows windows)
        : m_windows(windows)
    {
    }

    /// @brief Adds the counts of a message, except those of closed windows and of windows that are implausible at this time.
    void apply(const UsageMessage&, WallTime now);
    /// @brief Sum of all counts of a window; organisations without a request are left out.
    UsageCounts total(UsageWindow) const;
    /// @brief Number of processes that have stated counts for a window.
    std::size_t sources(UsageWindow) const;
    /// @brief The oldest window with counts that is not closed.
    std::optional<UsageWindow> oldestWindow() const;
    /// @brief Ends the collection of all windows up to this one.
    void closeUpTo(UsageWindow);
    UsageWindow closedUpTo() const noexcept { return m_closedUpTo; }
    /// @brief Shortest time between two messages of a host, by the number of processes that send counts.
    std::chrono::milliseconds interval() const;

private:
    using Process = std::pair<HostId, Incarnation>;
    struct Statement {
        std::uint64_t sequence = 0;
        UsageCounts counts;
    };

    UsageWindows m_windows;
    std::map<UsageWindow, std::map<Process, Statement>> m_statements;
    UsageWindow m_closedUpTo = 0;
};

/// @brief Shortest time between two messages of a host, so that messagesPerSecond is kept; at most half a window.
std::chrono::milliseconds reportInterval(std::size_t processes, const UsageWindows&);

} // namespace cicadalb
