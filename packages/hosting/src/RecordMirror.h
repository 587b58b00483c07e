#pragma once

#include "MirrorMessages.h"
#include "RecordWatch.h"

#include "cicadalb/base/ClockTimer.h"
#include "cicadalb/transport/HttpListener.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

/// @file
/// Serves the store's records to hosts that do not watch the store themselves.

namespace cicadalb {

/// @brief Caches the records under some prefixes, as watched by this process. Each reply states how old the cache may be: a successful lease
/// renewal shows that the store serves this process. Intended for sites where hundreds of hosts need each change of a registry of thousands of
/// targets; a watch by each host would cost the store one call per host and change. Bound to one event loop.
class RecordMirror : public std::enable_shared_from_this<RecordMirror> {
public:
    /// @param clock must also count the time in which the machine is suspended
    RecordMirror(boost::asio::any_io_executor, TransactionalStore&, const Clock& clock);

    void start();
    void stop();

    /// @brief Applies an update that a watch of this process has received.
    void apply(const RecordUpdate&);
    /// @brief Sets the check whether the watch of a prefix is connected to the store now.
    void setWatchConnectedCheck(std::function<bool(const std::string& prefix)> isWatchConnected) { m_isWatchConnected = std::move(isWatchConnected); }

    /// @brief Sets the source of the time as of which the records of a prefix are known to be complete, on the mirror's clock.
    void setCompleteAsOfSource(std::function<std::optional<TimePoint>(const std::string& prefix)> source) { m_completeAsOf = std::move(source); }

    /// @brief Sets the handler that is called when the store answers again after a failed renewal.
    void setStoreRecoveredHandler(std::function<void()> handler) { m_storeRecoveredHandler = std::move(handler); }

    /// @brief Returns the next changes, waiting for them if necessary. Errors: Unavailable if the records are unknown or their watch is not connected.
    Task<Result<MirrorReply>> waitForChanges(MirrorQuery);
    /// @brief Answers an HTTP request for waitForChanges().
    Task<void> serve(ServerRequest&, ServerResponder&);
    /// @brief Renews the lease, or acquires one. Called periodically after start().
    Task<void> renewLease();

private:
    /// Cached records of one prefix.
    struct PrefixCache {
        /// Includes deleted records, marked as such (tombstones).
        std::map<std::string, KeyValueEntry> entries;
        std::size_t tombstones = 0;
        Revision revision = 0;
        /// Tombstones up to this revision may have been dropped; a query for changes after an earlier revision gets a snapshot.
        Revision compactedRevision = 0;
        bool isAfterOutage = false;
        TimePoint outageReportedAt;
    };

    Task<void> renewLeasePeriodically();
    Result<std::optional<MirrorReply>> findChanges(const MirrorQuery&, TimePoint receivedAt, bool isWaitOver);
    Task<void> waitForUpdate(TimePoint until);
    void wakeWaiters();

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const Clock& m_clock;
    std::function<bool(const std::string&)> m_isWatchConnected = [](const std::string&) { return true; };
    std::function<std::optional<TimePoint>(const std::string&)> m_completeAsOf;
    std::map<std::string, PrefixCache> m_caches;
    std::set<ClockTimer*> m_waitingTimers;
    LeaseId m_lease = 0;
    std::optional<TimePoint> m_renewedAt;
    /// Time of the last client query, or of construction.
    TimePoint m_lastQueryAt;
    bool m_hasMissedRenewal = false;
    std::function<void()> m_storeRecoveredHandler;
    bool m_isStopped = false;
};

} // namespace cicadalb
