#pragma once

#include "MirrorClient.h"

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/TransactionalStore.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

/// @file
/// Follows all records under a prefix.

namespace cicadalb {

/// @brief Receives records. @c afterOutage says that a missing record may only have lapsed while the store was away.
struct RecordWatchHandler {
    std::function<void(const WatchResult&, bool afterOutage)> onSnapshot;
    std::function<void(const WatchResult&, bool afterOutage)> onChanges;
};

/// @brief What a watch has seen.
struct RecordNews {
    std::string prefix;
    WatchResult records;
    /// All records under the prefix; others are gone.
    bool isSnapshot = false;
    /// A record may be missing only because the store was away.
    bool isAfterOutage = false;
};

struct RecordWatchSettings {
    std::string prefix;
    /// Wait between a change and the next call to the store: several changes share one call then.
    std::chrono::milliseconds pause { 0 };
    /// Longest wait of one call. A silent connection is noticed by its keep-alive probes before that, a store that accepts calls and
    /// answers none by restart().
    std::chrono::milliseconds patience { 30000 };
    /// Longest pause between two calls while the store is away; each pause is twice the one before.
    std::chrono::milliseconds longestRetry { 500 };
    /// Mirrors that are asked instead of the store, if any; outlives the watch.
    MirrorClient* mirror = nullptr;
};

/// @brief Snapshot, then changes, for as long as it is not stopped. While the store is away it tries again with growing pauses; when history
/// was lost it takes a new snapshot. Where there are mirrors, the store is asked only when none can be relied on. Bound to one event loop.
class RecordWatch : public std::enable_shared_from_this<RecordWatch> {
public:
    RecordWatch(boost::asio::any_io_executor, TransactionalStore&, const Clock&, RecordWatchSettings, RecordWatchHandler);

    void start();
    void stop();
    /// @brief Changes the pause after a change; a pause that has begun ends now.
    void setPause(std::chrono::milliseconds);
    /// @brief Gives up a call that waits and makes it anew: one from before or within an outage may never be answered.
    void restart();
    /// @brief Whether the last call succeeded.
    bool isCurrent() const noexcept { return m_isCurrent; }
    /// @brief Revision of the newest change that was seen.
    Revision revision() const noexcept { return m_revision; }

private:
    Task<void> run();
    Task<Result<void>> step();
    Task<Result<void>> stepFromStore();
    /// Waits for changes, or for restart(): then there are none.
    Task<Result<WatchResult>> awaitChanges();
    /// @return false if the store has to be asked
    Task<bool> stepFromMirror();
    void recordOutcome(const Result<void>&);
    bool isAfterOutage() const;
    Task<void> wait(Duration);

    /// A call that waits. It outlives a watch that gave it up.
    struct PendingCall {
        explicit PendingCall(const boost::asio::any_io_executor& executor)
            : done(executor, boost::asio::steady_timer::time_point::max())
        {
        }
        boost::asio::steady_timer done;
        std::optional<Result<WatchResult>> result;
    };
    static Task<void> makeCall(TransactionalStore&, std::string prefix, Revision after, std::chrono::milliseconds patience, std::shared_ptr<PendingCall>);

    TransactionalStore& m_store;
    const Clock& m_clock;
    RecordWatchSettings m_settings;
    RecordWatchHandler m_handler;
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<PendingCall> m_pending;
    Revision m_revision = 0;
    bool m_hasSnapshot = false;
    bool m_isCurrent = false;
    bool m_isStopped = false;
    bool m_hasFailed = false;
    TimePoint m_failedAt;
    TimePoint m_restoredAt;
    unsigned m_failures = 0;
};

} // namespace cicadalb
