#pragma once

#include "UsageCounter.h"

#include <map>
#include <utility>
#include <vector>

/// @file
/// Collects the usage counts of all hosts at the coordinator.

namespace cicadalb {

/// @brief What the counts of one window come from.
struct UsageSources {
    /// Hosts that have stated counts for the window.
    std::size_t hosts = 0;
    /// Those of them that were not heard of after its end, so that their last counts may be missing.
    std::vector<HostId> missing;
    /// Hosts that were heard of in this window or the one before, but neither stated counts nor were heard of after its end: idle, cut off or gone.
    std::vector<HostId> silent;
};

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
    /// @brief The hosts whose counts make up a window that is not closed.
    UsageSources sourcesOf(UsageWindow) const;
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
    /// When each host's last message came; those of the last maximumWindows windows.
    std::map<HostId, WallTime> m_heardAt;
    UsageWindow m_closedUpTo = 0;
};

/// @brief Shortest time between two messages of a host, so that messagesPerSecond is kept; at most half a window.
std::chrono::milliseconds reportInterval(std::size_t processes, const UsageWindows&);

} // namespace cicadalb
