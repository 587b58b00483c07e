#include "RecordMirror.h"

#include "Pause.h"

#include "cicadalb/site/TargetRegistry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Pause between two renewals. Hosts trust a mirror for 700 ms after one (MirrorClient.h); a renewal without an answer takes 350 ms.
    constexpr milliseconds proofInterval { 250 };
    /// Time to live of the lease; it protects nothing, so that any time does that spans some renewals.
    constexpr milliseconds leaseTime { 10000 };
    /// Without a client for so long no lease is renewed.
    constexpr std::chrono::seconds unusedTime { 15 };
    /// Removed records that are remembered for each prefix; clients from before get all records.
    constexpr std::size_t maximumRemoved = 2048;
    /// Longest wait that a client can ask for.
    constexpr milliseconds longestPatience { 10000 };

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusUnavailable = 503;

    HttpResponse answerOf(const Result<MirrorReply>& reply)
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
    , m_usedAt(clock.now())
{
}

void RecordMirror::start()
{
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->keepProof(); }, asio::detached);
}

void RecordMirror::stop()
{
    m_isStopped = true;
    wake();
}

Task<void> RecordMirror::keepProof()
{
    const auto self = shared_from_this();
    while (!m_isStopped) {
        if (m_clock.now() < m_usedAt + unusedTime)
            co_await prove();
        co_await pause(m_executor, proofInterval);
    }
}

Task<void> RecordMirror::prove()
{
    const auto begunAt = m_clock.now();
    if (m_lease == 0) {
        const auto granted = co_await m_store.grantLease(leaseTime);
        if (!granted) {
            m_hasMissed = true;
            co_return;
        }
        m_lease = granted.value();
    } else if (const auto renewed = co_await m_store.renewLease(m_lease); !renewed) {
        if (renewed.error().code == ErrorCode::LeaseLost)
            m_lease = 0;
        else
            m_hasMissed = true;
        co_return;
    }
    m_provedAt = begunAt;
    if (std::exchange(m_hasMissed, false) && m_onReturn)
        m_onReturn();
}

void RecordMirror::take(const RecordNews& news)
{
    auto& shelf = m_shelves[news.prefix];
    if (news.isSnapshot) {
        shelf.entries.clear();
        shelf.removed = 0;
        shelf.floor = news.records.revision;
    }
    for (const auto& entry : news.records.entries) {
        auto& kept = shelf.entries[entry.key];
        shelf.removed -= kept.isDeleted ? 1 : 0;
        kept = entry;
        shelf.removed += kept.isDeleted ? 1 : 0;
    }
    shelf.revision = std::max(shelf.revision, news.records.revision);
    if (shelf.removed > maximumRemoved) {
        std::erase_if(shelf.entries, [](const auto& entry) { return entry.second.isDeleted; });
        shelf.removed = 0;
        shelf.floor = shelf.revision;
    }
    if (news.isAfterOutage)
        shelf.outageNoticedAt = m_clock.now();
    shelf.isAfterOutage = shelf.isAfterOutage || news.isAfterOutage;
    wake();
}

void RecordMirror::wake()
{
    for (auto* timer : m_waiting)
        timer->cancel();
}

/// @return nothing if there is no news yet
Result<std::optional<MirrorReply>> RecordMirror::lookUp(const MirrorQuery& query, bool isLast)
{
    const auto found = m_shelves.find(query.prefix);
    if (m_isStopped || found == m_shelves.end() || !m_provedAt || !m_isFollowed(query.prefix))
        return failure(ErrorCode::Unavailable, "the records are not followed now", query.prefix);
    const auto& shelf = found->second;
    MirrorReply reply;
    reply.isSnapshot = !query.after || *query.after < shelf.floor;
    for (const auto& [key, entry] : shelf.entries) {
        const bool isNews = reply.isSnapshot ? !entry.isDeleted : entry.revision > *query.after;
        if (isNews)
            reply.records.entries.push_back(entry);
    }
    if (reply.records.entries.empty() && !reply.isSnapshot && !isLast)
        return std::optional<MirrorReply>();
    reply.records.revision = shelf.revision;
    reply.isAfterOutage = shelf.isAfterOutage && m_clock.now() < shelf.outageNoticedAt + TargetRegistry::returnTime;
    reply.age = std::chrono::duration_cast<milliseconds>(m_clock.now() - *m_provedAt);
    return std::optional(std::move(reply));
}

Task<void> RecordMirror::waitForNews(TimePoint until)
{
    asio::steady_timer timer(m_executor, std::max<Duration>(Duration::zero(), until - m_clock.now()));
    m_waiting.insert(&timer);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    m_waiting.erase(&timer);
}

Task<Result<MirrorReply>> RecordMirror::follow(MirrorQuery query)
{
    const auto self = shared_from_this();
    m_usedAt = m_clock.now();
    const auto until = m_clock.now() + std::min(query.patience, longestPatience);
    while (true) {
        auto reply = lookUp(query, m_clock.now() >= until);
        if (!reply)
            co_return reply.as_failure();
        if (reply.value())
            co_return std::move(*reply.value());
        co_await waitForNews(until);
    }
}

Task<void> RecordMirror::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto query = decodeMirrorQuery(request.body);
    if (!query) {
        co_await responder.send(answerOf(query.as_failure()));
        co_return;
    }
    const auto reply = co_await follow(query.value());
    co_await responder.send(answerOf(reply));
}

} // namespace cicadalb
