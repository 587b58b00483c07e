#pragma once

#include "UsageMessages.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>

/// @file
/// Counts the requests of each organisation that began to run at targets, as this host has sent them.

namespace cicadalb {

using WallTime = std::chrono::system_clock::time_point;
/// @brief Returns the time of day; tests replace it.
using WallClock = std::function<WallTime()>;

/// @brief The windows of true time for which usage is reported. Window k begins k lengths after 1970.
struct UsageWindows {
    std::chrono::milliseconds length { 5000 };

    UsageWindow at(WallTime) const;
    WallTime beginOf(UsageWindow) const;
    WallTime endOf(UsageWindow window) const { return beginOf(window + 1); }
};

/// @brief One count per attempt that a target began. An attempt counts from the moment at which it is sent, so that a host that is killed while
/// targets work for it has reported them; it is withdrawn if the target states that it did not run it, or if it was not sent. An attempt without
/// an answer stays counted: a target that has received a request usually runs it. Load: each request makes two changes of a small map; the counts of
/// at most maximumWindows windows are kept. Bound to one event loop.
class UsageCounter {
public:
    static constexpr std::size_t maximumWindows = 24;

    /// @brief One counted attempt.
    struct Mark {
        OrganisationName organisation;
        UsageWindow window = 0;
    };

    UsageCounter(UsageWindows, WallClock);

    /// @brief Counts an attempt that is sent now. @return its mark; nothing for a request without an organisation
    std::optional<Mark> begin(const OrganisationName&);
    void withdraw(const Mark&);
    /// @brief Moves an attempt to the window in which it really began.
    void correct(Mark&, WallTime beganAt);
    /// @brief Forgets the windows up to this one; later changes of them have no effect.
    void dropUpTo(UsageWindow);

    /// @brief Windows with counts that changed after @p sequence, with all their counts.
    std::map<UsageWindow, UsageCounts> changedAfter(std::uint64_t sequence) const;
    /// @brief Number of changes so far.
    std::uint64_t sequence() const noexcept { return m_sequence; }
    /// @brief The oldest window with counts.
    std::optional<UsageWindow> oldestWindow() const;
    WallTime now() const { return m_now(); }
    const UsageWindows& windows() const noexcept { return m_windows; }
    /// @brief Sets a handler that is called after each change.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

private:
    struct Entry {
        UsageCounts counts;
        std::uint64_t changedAt = 0;
    };
    void add(const Mark&, bool isPresent);

    UsageWindows m_windows;
    WallClock m_now;
    std::map<UsageWindow, Entry> m_entries;
    std::uint64_t m_sequence = 0;
    UsageWindow m_droppedUpTo = 0;
    std::function<void()> m_onChange;
};

} // namespace cicadalb
