#pragma once

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

struct RecordWatchSettings {
    std::string prefix;
    /// Wait between a change and the next call: several changes share one call then.
    std::chrono::milliseconds pause { 0 };
    /// Longest wait of one call. A silent connection is noticed by its keep-alive probes before that.
    std::chrono::milliseconds patience { 30000 };
};

/// @brief Snapshot, then changes, for as long as it is not stopped. While the store is away it tries again with growing pauses; when history
/// was lost it takes a new snapshot. Bound to one event loop.
class RecordWatch : public std::enable_shared_from_this<RecordWatch> {
public:
    RecordWatch(boost::asio::any_io_executor, TransactionalStore&, const Clock&, RecordWatchSettings, RecordWatchHandler);

    void start();
    void stop();
    /// @brief Changes the pause after a change; a pause that has begun ends now.
    void setPause(std::chrono::milliseconds);
    /// @brief Whether the last call succeeded.
    bool isCurrent() const noexcept { return m_isCurrent; }
    /// @brief Revision of the newest change that was seen.
    Revision revision() const noexcept { return m_revision; }

private:
    Task<void> run();
    Task<Result<void>> step();
    void recordOutcome(const Result<void>&);
    bool isAfterOutage() const;
    Task<void> wait(Duration);

    TransactionalStore& m_store;
    const Clock& m_clock;
    RecordWatchSettings m_settings;
    RecordWatchHandler m_handler;
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer;
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
