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

/// @brief Caches the records under some prefixes, as watched by this process. Each reply states how old the cache may be, by the answers of the
/// store to the watch of that prefix. Intended for sites where hundreds of hosts need each change of a registry of thousands of
/// targets; a watch by each host would cost the store one call per host and change. Bound to one event loop.
class RecordMirror : public std::enable_shared_from_this<RecordMirror> {
public:
    /// @param clock must also count the time in which the machine is suspended
    RecordMirror(boost::asio::any_io_executor, const Clock& clock);

    void stop();

    /// @brief Applies an update that a watch of this process has received. A record that is older than the cached one, or outdated, does not replace it.
    void apply(const RecordUpdate&);

    /// @brief Sets the check whether a record states an older state than one that was received before. It is asked before the process itself has seen the record.
    void setOutdatedCheck(std::function<bool(const KeyValueEntry&)> check) { m_isOutdated = std::move(check); }

    /// @brief Sets the source of the time as of which the records of a prefix are known to be complete, on the mirror's clock; empty if unknown.
    void setCompleteAsOfSource(std::function<std::optional<TimePoint>(const std::string& prefix)> source) { m_completeAsOf = std::move(source); }

    /// @brief Sets the source of the suspects that replies include. Call onSuspectsChanged() after each change of them.
    void setSuspectsSource(std::function<const SuspectList&()> source) { m_suspects = std::move(source); }
    void onSuspectsChanged() { wakeWaiters(); }
    /// @brief Sets the source of what replies state about coordination. Without one, they state that this process is a candidate.
    void setCoordinationSource(std::function<CoordinationState()> source) { m_coordination = std::move(source); }

    /// @brief Returns the next changes. Waits for them if necessary, while the cache is at most MirrorClient::maximumAge old. Errors: Unavailable if
    /// the records are unknown.
    Task<Result<MirrorReply>> waitForChanges(MirrorQuery);
    /// @brief Answers an HTTP request for waitForChanges().
    Task<void> serve(ServerRequest&, ServerResponder&);

private:
    /// Cached records of one prefix.
    struct PrefixCache {
        /// Includes deleted records, marked as such (tombstones).
        std::map<std::string, KeyValueEntry> entries;
        std::size_t tombstones = 0;
        Revision revision = 0;
        /// Tombstones up to this revision may have been dropped; a query for changes after an earlier revision gets a snapshot.
        Revision compactedRevision = 0;
        /// Until when records that lapsed in an outage may return.
        TimePoint mayReturnUntil;
    };

    Result<std::optional<MirrorReply>> findChanges(const MirrorQuery&, TimePoint receivedAt, bool isWaitOver);
    Task<void> waitForUpdate(TimePoint until);
    void wakeWaiters();
    static void removeAbsent(PrefixCache&, const WatchResult& snapshot);
    void applyEntry(PrefixCache&, const KeyValueEntry&);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    std::function<std::optional<TimePoint>(const std::string&)> m_completeAsOf;
    std::function<const SuspectList&()> m_suspects;
    std::function<bool(const KeyValueEntry&)> m_isOutdated;
    std::function<CoordinationState()> m_coordination;
    std::map<std::string, PrefixCache> m_caches;
    std::set<ClockTimer*> m_waitingTimers;
    bool m_isStopped = false;
};

} // namespace cicadalb
