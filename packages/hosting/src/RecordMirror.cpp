#include "RecordMirror.h"

#include "Pause.h"

#include "cicadalb/site/TargetRegistry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Pause between lease renewals. Hosts accept a mirror's replies for 700 ms after a renewal (MirrorClient.h); a renewal without an answer
    /// takes 350 ms.
    constexpr milliseconds renewalInterval { 250 };
    /// Time to live of the lease. The lease guards nothing, so that any time that spans several renewals will do.
    constexpr milliseconds leaseTimeToLive { 10000 };
    /// Renewals stop after this time without a client query.
    constexpr std::chrono::seconds idleTimeout { 15 };
    /// Tombstones kept for each prefix. When there are more, all are dropped, and clients with an earlier revision get a snapshot.
    constexpr std::size_t maximumTombstones = 2048;
    /// Longest wait that a client can request.
    constexpr milliseconds longestWait { 10000 };

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusUnavailable = 503;

    HttpResponse toHttpResponse(const Result<MirrorReply>& reply)
    {
        HttpResponse response;
        if (reply) {
            response.status = statusOk;
            response.fields.emplace_back("Content-Type", "application/cbor");
            response.body = encodeMirrorReply(reply.value());
            return response;
        }
        response.status = reply.error().code == ErrorCode::RecordInvalid ? statusBadRequest : statusUnavailable;
        response.body = reply.error().message + "\n";
        return response;
    }

} // namespace

RecordMirror::RecordMirror(asio::any_io_executor executor, TransactionalStore& store, const Clock& clock)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_clock(clock)
    , m_lastQueryAt(clock.now())
{
}

void RecordMirror::start()
{
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->renewLeasePeriodically(); }, asio::detached);
}

void RecordMirror::stop()
{
    m_isStopped = true;
    wakeWaiters();
}

Task<void> RecordMirror::renewLeasePeriodically()
{
    const auto self = shared_from_this();
    while (!m_isStopped) {
        if (m_clock.now() < m_lastQueryAt + idleTimeout)
            co_await renewLease();
        co_await pause(m_executor, renewalInterval);
    }
}

Task<void> RecordMirror::renewLease()
{
    const auto requestedAt = m_clock.now();
    if (m_lease == 0) {
        const auto granted = co_await m_store.grantLease(leaseTimeToLive);
        if (!granted) {
            m_hasMissedRenewal = true;
            co_return;
        }
        m_lease = granted.value();
    } else if (const auto renewed = co_await m_store.renewLease(m_lease); !renewed) {
        if (renewed.error().code == ErrorCode::LeaseLost)
            m_lease = 0;
        else
            m_hasMissedRenewal = true;
        co_return;
    }
    m_renewedAt = requestedAt;
    if (std::exchange(m_hasMissedRenewal, false) && m_storeRecoveredHandler)
        m_storeRecoveredHandler();
}

void RecordMirror::apply(const RecordUpdate& update)
{
    auto& cache = m_caches[update.prefix];
    if (update.isSnapshot) {
        cache.entries.clear();
        cache.tombstones = 0;
        cache.compactedRevision = update.records.revision;
    }
    for (const auto& entry : update.records.entries) {
        auto& cached = cache.entries[entry.key];
        cache.tombstones -= cached.isDeleted ? 1 : 0;
        cached = entry;
        cache.tombstones += cached.isDeleted ? 1 : 0;
    }
    cache.revision = std::max(cache.revision, update.records.revision);
    if (cache.tombstones > maximumTombstones) {
        std::erase_if(cache.entries, [](const auto& entry) { return entry.second.isDeleted; });
        cache.tombstones = 0;
        cache.compactedRevision = cache.revision;
    }
    if (update.isAfterOutage)
        cache.outageReportedAt = m_clock.now();
    cache.isAfterOutage = cache.isAfterOutage || update.isAfterOutage;
    wakeWaiters();
}

void RecordMirror::wakeWaiters()
{
    for (auto* timer : m_waitingTimers)
        timer->cancel();
}

/// @return the reply, or nothing if there are no changes yet and the wait is not over
Result<std::optional<MirrorReply>> RecordMirror::findChanges(const MirrorQuery& query, TimePoint receivedAt, bool isWaitOver)
{
    const auto now = m_clock.now();
    const auto found = m_caches.find(query.prefix);
    if (m_isStopped || found == m_caches.end() || !m_renewedAt || !m_isWatchConnected(query.prefix))
        return failure(ErrorCode::Unavailable, "this mirror has no current copy of the records", query.prefix);
    const auto& cache = found->second;
    MirrorReply reply;
    reply.isSnapshot = !query.after || *query.after < cache.compactedRevision;
    for (const auto& [key, entry] : cache.entries) {
        const bool isIncluded = reply.isSnapshot ? !entry.isDeleted : entry.revision > *query.after;
        if (isIncluded)
            reply.records.entries.push_back(entry);
    }
    if (reply.records.entries.empty() && !reply.isSnapshot && !isWaitOver)
        return std::optional<MirrorReply>();
    reply.records.revision = cache.revision;
    reply.isAfterOutage = cache.isAfterOutage && now < cache.outageReportedAt + TargetRegistry::reregistrationGracePeriod;
    reply.age = std::chrono::duration_cast<milliseconds>(now - *m_renewedAt);
    const auto completeAsOf = m_completeAsOf ? m_completeAsOf(query.prefix) : std::nullopt;
    reply.copyAge = completeAsOf ? std::chrono::duration_cast<milliseconds>(now - *completeAsOf) : reply.age;
    reply.waited = std::chrono::duration_cast<milliseconds>(now - receivedAt);
    return std::optional(std::move(reply));
}

Task<void> RecordMirror::waitForUpdate(TimePoint until)
{
    ClockTimer timer(m_executor, m_clock);
    m_waitingTimers.insert(&timer);
    co_await timer.waitUntil(until);
    m_waitingTimers.erase(&timer);
}

Task<Result<MirrorReply>> RecordMirror::waitForChanges(MirrorQuery query)
{
    const auto self = shared_from_this();
    const auto receivedAt = m_clock.now();
    m_lastQueryAt = receivedAt;
    const auto until = receivedAt + std::min(query.maximumWait, longestWait);
    while (true) {
        auto reply = findChanges(query, receivedAt, m_clock.now() >= until);
        if (!reply)
            co_return reply.as_failure();
        if (reply.value())
            co_return std::move(*reply.value());
        co_await waitForUpdate(until);
    }
}

Task<void> RecordMirror::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto query = decodeMirrorQuery(request.body);
    if (!query) {
        co_await responder.send(toHttpResponse(query.as_failure()));
        co_return;
    }
    const auto reply = co_await waitForChanges(query.value());
    co_await responder.send(toHttpResponse(reply));
}

} // namespace cicadalb
