#include "MirrorClient.h"

#include "HostCall.h"

#include "cicadalb/base/Event.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// Turns the reply of a mirror whose records may be out of date into an error.
    Result<MirrorReply> rejectStale(Result<MirrorReply> reply)
    {
        if (reply && reply.value().age > MirrorClient::maximumAge)
            return failure(ErrorCode::Unavailable, "the mirror's records were last known to be complete " + std::to_string(reply.value().age.count()) + " ms ago", "mirror");
        return reply;
    }

    Task<Result<MirrorReply>> sendQuery(std::shared_ptr<HttpClient> client, MirrorQuery query)
    {
        HostCall call { mirrorPath, encodeMirrorQuery(query), query.maximumWait + query.responseTimeout, true };
        const auto answer = co_await callHost(std::move(client), std::move(call));
        if (!answer)
            co_return answer.as_failure();
        co_return decodeMirrorReply(answer.value().body);
    }

} // namespace

MirrorExchange makeHttpMirrorExchange(const boost::asio::any_io_executor& executor, const std::vector<Endpoint>& endpoints)
{
    return [clients = makeHostClients(executor, endpoints)](std::size_t mirror, MirrorQuery query) { return sendQuery(clients[mirror], std::move(query)); };
}

MirrorClient::MirrorClient(std::size_t mirrorCount, std::size_t firstMirror, MirrorExchange exchange, const Clock& clock)
    : m_mirrorCount(mirrorCount)
    , m_nextMirror(mirrorCount > 0 ? firstMirror % mirrorCount : 0)
    , m_exchange(std::move(exchange))
    , m_clock(clock)
    , m_startedAt(clock.now())
{
}

bool MirrorClient::isUsable() const
{
    return m_mirrorCount > 0 && (!m_storeFallbackUntil || m_clock.now() >= *m_storeFallbackUntil);
}

Task<Result<MirrorReply>> MirrorClient::readAll(std::size_t mirror, std::string prefix)
{
    // A local variable, since GCC 12 destroys an aggregate temporary in a co_await expression twice.
    MirrorQuery query { std::move(prefix), std::nullopt, std::chrono::milliseconds(0) };
    co_return co_await m_exchange(mirror, std::move(query));
}

Task<Result<MirrorReply>> MirrorClient::queryNext(MirrorQuery query)
{
    const auto mirror = m_nextMirror;
    const auto prefix = query.prefix;
    if (m_suspectsHandler)
        query.suspectsAfter = m_suspectsRevision;
    auto reply = rejectStale(co_await m_exchange(mirror, std::move(query)));
    if (reply) {
        if (!m_isConnected)
            logEvent(Event::MirrorFollowed, { { "mirror", std::to_string(mirror) }, { "prefix", prefix }, { "revision", std::to_string(reply.value().records.revision) }, { "age-ms", std::to_string(reply.value().age.count()) } });
        m_isConnected = true;
        m_hasBeenConnected = true;
        m_coordination = reply.value().coordination;
        const auto& suspects = reply.value().suspects;
        if (suspects && m_suspectsHandler && suspects->revision > m_suspectsRevision) {
            m_suspectsRevision = suspects->revision;
            m_suspectsHandler(*suspects);
        }
        co_return reply;
    }
    // Two watches share this client: only the first failure at a mirror selects the next one.
    if (m_nextMirror == mirror)
        m_nextMirror = (mirror + 1) % m_mirrorCount;
    if (m_isConnected)
        logEvent(Event::MirrorLost, { { "mirror", std::to_string(mirror) }, { "prefix", prefix }, { "cause", reply.error().message } });
    m_isConnected = false;
    co_return failure(ErrorCode::Unavailable, reply.error().message, reply.error().where);
}

Task<Result<MirrorReply>> MirrorClient::waitForChanges(std::string prefix, std::optional<Revision> after, milliseconds wait)
{
    MirrorQuery query { prefix, after, std::min(wait, maximumWait) };
    query.responseTimeout = responseTimeout;
    auto reply = co_await queryNext(std::move(query));
    if (reply || isInStartupGracePeriod())
        co_return reply;
    if (m_mirrorCount > 1) {
        MirrorQuery again { std::move(prefix), after, milliseconds(0) };
        again.responseTimeout = nextMirrorTimeout;
        reply = co_await queryNext(std::move(again));
    }
    if (!reply)
        m_storeFallbackUntil = m_clock.now() + storeFallbackPeriod;
    co_return reply;
}

} // namespace cicadalb
