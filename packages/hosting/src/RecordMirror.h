#pragma once

#include "MirrorMessages.h"
#include "RecordWatch.h"

#include "cicadalb/transport/HttpListener.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

/// @file
/// Passes the store's records on to hosts that do not follow the store themselves.

namespace cicadalb {

/// @brief Records under some prefixes, as this process follows them. Its clients are told how old its knowledge may be: a renewed lease shows that
/// the store serves this process. Load that it answers: hundreds of hosts that have to know each change of a registry of thousands of
/// targets, where a watch by each host would cost the store a call for each host and change. Bound to one event loop.
class RecordMirror : public std::enable_shared_from_this<RecordMirror> {
public:
    /// @param clock counts the time in which the machine is suspended
    RecordMirror(boost::asio::any_io_executor, TransactionalStore&, const Clock& clock);

    void start();
    void stop();

    /// @brief Takes what a watch of this process has seen.
    void take(const RecordNews&);
    /// @brief Whether the watch of a prefix follows the store now.
    void setFollowed(std::function<bool(const std::string& prefix)> isFollowed) { m_isFollowed = std::move(isFollowed); }

    /// @brief Called when the store answers again after a renewal that it did not answer.
    void onReturn(std::function<void()> handler) { m_onReturn = std::move(handler); }

    /// @brief Waits for a change. Errors: Unavailable if the records are not known or not followed now.
    Task<Result<MirrorReply>> follow(MirrorQuery);
    /// @brief follow() over HTTP.
    Task<void> serve(ServerRequest&, ServerResponder&);
    /// @brief Renews the lease, or takes one. Called by start()'s loop.
    Task<void> prove();

private:
    /// Records of one prefix.
    struct Shelf {
        /// Removed ones too, which are marked as such.
        std::map<std::string, KeyValueEntry> entries;
        std::size_t removed = 0;
        Revision revision = 0;
        /// Changes up to this one are not told apart any more.
        Revision floor = 0;
        bool isAfterOutage = false;
        TimePoint outageNoticedAt;
    };

    Task<void> keepProof();
    Result<std::optional<MirrorReply>> lookUp(const MirrorQuery&, bool isLast);
    Task<void> waitForNews(TimePoint until);
    void wake();

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const Clock& m_clock;
    std::function<bool(const std::string&)> m_isFollowed = [](const std::string&) { return true; };
    std::map<std::string, Shelf> m_shelves;
    std::set<boost::asio::steady_timer*> m_waiting;
    LeaseId m_lease = 0;
    std::optional<TimePoint> m_provedAt;
    /// Last question of a client, or the start.
    TimePoint m_usedAt;
    bool m_hasMissed = false;
    std::function<void()> m_onReturn;
    bool m_isStopped = false;
};

} // namespace cicadalb
