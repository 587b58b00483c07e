#pragma once

#include "MirrorMessages.h"

#include "cicadalb/services/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

/// @file
/// Reads the store's records from mirrors while their answers are recent enough.

namespace cicadalb {

/// @brief Sends one query to one mirror and returns its reply.
using MirrorExchange = std::function<Task<Result<MirrorReply>>(std::size_t mirror, MirrorQuery)>;

/// @brief Selects the mirror that a host queries, and decides when the host has to query the store instead. Bound to one event loop.
class MirrorClient {
public:
    /// Longest time that a mirror may wait for a change before it replies.
    static constexpr std::chrono::milliseconds maximumWait { 350 };
    /// Time allowed for the reply beyond maximumWait.
    static constexpr std::chrono::milliseconds responseTimeout { 250 };
    /// Time allowed for the reply of the next mirror, which is asked before the store if the first one fails, and does not wait for changes.
    static constexpr std::chrono::milliseconds nextMirrorTimeout { 100 };
    /// Largest accepted age of a mirror's records; a mirror confirms them about once a second. A query waits only until the host's own records reach this
    /// age, so that at responseTimeout and nextMirrorTimeout after it at the latest the store is queried: a change has to be in force within 2 s.
    static constexpr std::chrono::milliseconds maximumAge { 1300 };
    /// Time for which the store is queried directly after two mirrors have failed. Where a slow store is the cause, all hosts query it then, so that they
    /// look for a mirror again soon.
    static constexpr std::chrono::seconds storeFallbackPeriod { 2 };
    /// Time for which a starting host retries mirrors before it queries the store: when all hosts start together, mirrors come up a moment later.
    static constexpr std::chrono::milliseconds startupGracePeriod { 600 };
    /// Delay between these retries.
    static constexpr std::chrono::milliseconds startupRetryDelay { 50 };

    /// @param mirrorCount 0: the store is always queried
    /// @param firstMirror index of the mirror to query first, so that hosts spread over the mirrors
    MirrorClient(std::size_t mirrorCount, std::size_t firstMirror, MirrorExchange, const Clock&);

    /// @brief Whether to query a mirror now, rather than the store.
    bool isUsable() const;
    /// @brief Returns the changes after a revision, or all records. @param wait at most maximumWait. If a mirror fails, the next one is asked at once. Errors: Unavailable; after
    /// the startup grace period isUsable() is then false for storeFallbackPeriod.
    Task<Result<MirrorReply>> waitForChanges(std::string prefix, std::optional<Revision> after, std::chrono::milliseconds wait = maximumWait);
    /// @brief Reads all records from one mirror without waiting, even if earlier queries failed, and however old the reply is. Errors:
    /// Unavailable (the mirror replies but has no records), others (the mirror does not reply).
    Task<Result<MirrorReply>> readAll(std::size_t mirror, std::string prefix);
    /// @brief Sets the handler of the suspects in replies. Without one, none are requested.
    void setSuspectsHandler(std::function<void(const SuspectList&)> handler) { m_suspectsHandler = std::move(handler); }
    std::size_t mirrorCount() const noexcept { return m_mirrorCount; }
    /// @brief Whether a failed query is retried at a mirror instead of the store, because this host started recently and no mirror has replied yet.
    bool isInStartupGracePeriod() const { return m_mirrorCount > 0 && !m_hasBeenConnected && m_clock.now() < m_startedAt + startupGracePeriod; }
    /// @brief Whether the last query was answered with recent records, by a process that requests the coordinator's lease when it is vacant.
    bool isCandidateReachable() const noexcept { return m_isConnected && m_coordination.isCandidate; }
    /// @brief Address of the process that coordinates, as the last query was answered; empty if it was not, or the mirror knows none.
    std::string coordinatorAddress() const { return m_isConnected ? m_coordination.coordinatorAddress : std::string(); }
    /// @brief Makes mirrors usable at once, since the store cannot be reached either.
    void endStoreFallback() noexcept { m_storeFallbackUntil.reset(); }

private:
    /// Queries the next mirror, and selects another one if it fails.
    Task<Result<MirrorReply>> queryNext(MirrorQuery);

    std::size_t m_mirrorCount;
    std::size_t m_nextMirror;
    MirrorExchange m_exchange;
    const Clock& m_clock;
    std::function<void(const SuspectList&)> m_suspectsHandler;
    Revision m_suspectsRevision = 0;
    std::optional<TimePoint> m_storeFallbackUntil;
    TimePoint m_startedAt;
    bool m_isConnected = false;
    /// What the last reply states.
    CoordinationState m_coordination;
    bool m_hasBeenConnected = false;
};

/// @brief Returns an exchange that queries the mirrors at these endpoints over HTTP.
MirrorExchange makeHttpMirrorExchange(const boost::asio::any_io_executor&, const std::vector<Endpoint>&);

} // namespace cicadalb
