#include "MirrorClient.h"

#include "cicadalb/base/Event.h"

namespace cicadalb {

namespace {

    constexpr unsigned statusOk = 200;

    /// An answer of a mirror that has not reached the store for too long is none.
    Result<MirrorReply> checked(Result<MirrorReply> reply)
    {
        if (reply && reply.value().age > MirrorClient::longestAge)
            return failure(ErrorCode::Unavailable, "the mirror reached the store " + std::to_string(reply.value().age.count()) + " ms ago", "mirror");
        return reply;
    }

    Task<Result<MirrorReply>> exchangeWith(std::shared_ptr<HttpClient> client, MirrorQuery query)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = mirrorPath;
        request.fields.emplace_back("Content-Type", "application/cbor");
        request.body = encodeMirrorQuery(query);
        request.mayRepeat = true;
        const auto response = co_await client->send(std::move(request), std::chrono::steady_clock::now() + query.patience + MirrorClient::answerTime);
        if (!response)
            co_return response.as_failure();
        if (response.value().status != statusOk)
            co_return failure(ErrorCode::Unavailable, "answered with status " + std::to_string(response.value().status), "mirror");
        co_return decodeMirrorReply(response.value().body);
    }

} // namespace

MirrorExchange httpMirrorExchange(const boost::asio::any_io_executor& executor, const std::vector<Endpoint>& endpoints)
{
    std::vector<std::shared_ptr<HttpClient>> clients;
    clients.reserve(endpoints.size());
    for (const auto& endpoint : endpoints)
        clients.push_back(std::make_shared<HttpClient>(executor, endpoint));
    return [clients = std::move(clients)](std::size_t mirror, MirrorQuery query) { return exchangeWith(clients[mirror], std::move(query)); };
}

MirrorClient::MirrorClient(std::size_t mirrors, std::size_t first, MirrorExchange exchange, const Clock& clock)
    : m_mirrors(mirrors)
    , m_next(mirrors > 0 ? first % mirrors : 0)
    , m_exchange(std::move(exchange))
    , m_clock(clock)
    , m_startedAt(clock.now())
{
}

bool MirrorClient::isUsable() const
{
    return m_mirrors > 0 && (!m_directUntil || m_clock.now() >= *m_directUntil);
}

Task<Result<MirrorReply>> MirrorClient::ask(std::size_t mirror, std::string prefix)
{
    // A local: GCC 12 destroys an aggregate that is made within a co_await expression twice.
    MirrorQuery query { std::move(prefix), std::nullopt, std::chrono::milliseconds(0) };
    co_return checked(co_await m_exchange(mirror, std::move(query)));
}

Task<Result<MirrorReply>> MirrorClient::follow(std::string prefix, std::optional<Revision> after)
{
    const auto mirror = m_next;
    MirrorQuery query { prefix, after, patience };
    auto reply = checked(co_await m_exchange(mirror, std::move(query)));
    if (reply) {
        if (!m_isFollowing)
            logEvent(Event::MirrorFollowed, { { "mirror", std::to_string(mirror) }, { "prefix", prefix }, { "revision", std::to_string(reply.value().records.revision) }, { "age-ms", std::to_string(reply.value().age.count()) } });
        m_isFollowing = true;
        m_hasFollowed = true;
        co_return reply;
    }
    // Two watches share a mirror: only the first failure moves on to the next one.
    if (m_next == mirror)
        m_next = (mirror + 1) % m_mirrors;
    if (!isStarting())
        m_directUntil = m_clock.now() + directTime;
    if (m_isFollowing)
        logEvent(Event::MirrorLost, { { "mirror", std::to_string(mirror) }, { "prefix", prefix }, { "cause", reply.error().message } });
    m_isFollowing = false;
    co_return failure(ErrorCode::Unavailable, reply.error().message, reply.error().where);
}

} // namespace cicadalb
