#include "RequestRelay.h"

#include "HostCall.h"

#include "cicadalb/services/DocumentMemory.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    /// Larger than the bodies that callers may send, with the other members of a message.
    constexpr std::size_t maximumMessageBytes = std::size_t { 40 } << 20U;
    /// Time that a helper needs less than the sender, so that its reply arrives before the sender's deadline.
    constexpr milliseconds replyMargin { 5 };

    Task<Result<RelayReply>> exchange(std::shared_ptr<HttpClient> client, RelayRequest request, std::shared_ptr<HttpCancellation> cancellation)
    {
        // The body is copied into the message, and once more when that is encoded.
        const auto memory = reserveDocument("relayed request", 2 * request.message.body.size());
        if (!memory)
            co_return failure(ErrorCode::NotSent, "there is no memory left for the message", "relay");
        const auto path = request.organisation.isEmpty() ? relayPath : organisationRelayPath;
        HostCall call { path, encodeRelayRequest(request), request.remainingTime, false, std::move(cancellation) };
        const auto answer = co_await callHost(std::move(client), std::move(call));
        if (!answer)
            co_return answer.as_failure();
        auto reply = decodeRelayReply(answer.value().body);
        if (reply)
            reply.value().outcome.answer.memory = answer.value().memory;
        co_return reply;
    }

    const SiteRoute* routeOf(const SiteView& view, const HttpRequest& message)
    {
        return view.routes.find(fieldIn(message.fields, "Host"), std::string_view(message.target).substr(0, message.target.find('?')));
    }

} // namespace

RequestRelay::RequestRelay(std::size_t helperCount, std::size_t firstHelper, RelayExchange exchange, const Clock& clock)
    : m_helperCount(helperCount)
    , m_nextHelper(helperCount > 0 ? firstHelper % helperCount : 0)
    , m_exchange(std::move(exchange))
    , m_clock(clock)
{
}

Task<std::optional<ForwardOutcome>> RequestRelay::send(RelayRequest request, TimePoint deadline, std::shared_ptr<HttpCancellation> cancellation)
{
    std::optional<ForwardOutcome> refusal;
    for (std::size_t tried = 0; tried < std::min(m_helperCount, maximumHelpers); ++tried) {
        request.remainingTime = std::chrono::duration_cast<milliseconds>(deadline - m_clock.now());
        if (request.remainingTime <= replyMargin)
            break;
        const auto helper = m_nextHelper;
        auto reply = co_await m_exchange(helper, request, cancellation);
        if (reply && reply.value().hasForwarded)
            co_return std::move(reply.value().outcome);
        const auto hasReplied = reply || reply.error().code == ErrorCode::Unavailable;
        if (!hasReplied && reply.error().code != ErrorCode::NotSent) {
            ForwardOutcome lost;
            lost.state = cancellation && cancellation->isCancelled() ? ForwardState::Abandoned : ForwardState::Unknown;
            lost.attempts = request.attemptsLeft;
            lost.cause = "the host that should forward the request did not reply: " + reply.error().message;
            co_return lost;
        }
        if (cancellation && cancellation->isCancelled()) {
            ForwardOutcome abandoned;
            abandoned.state = ForwardState::Abandoned;
            co_return abandoned;
        }
        if (hasReplied) {
            refusal.emplace();
            refusal->retryAfter = retryAfter;
            refusal->cause = "no other host forwards it: " + (reply ? reply.value().outcome.cause : reply.error().message);
        }
        // Another call may have selected the next one in the meantime.
        if (m_nextHelper == helper)
            m_nextHelper = (helper + 1) % m_helperCount;
    }
    co_return refusal;
}

RelayExchange makeHttpRelayExchange(const boost::asio::any_io_executor& executor, const std::vector<Endpoint>& endpoints)
{
    HttpClientOptions options;
    options.connectTimeout = RequestRelay::connectTimeout;
    options.maximumBodyBytes = maximumMessageBytes;
    return [clients = makeHostClients(executor, endpoints, options)](std::size_t helper, RelayRequest request, std::shared_ptr<HttpCancellation> cancellation) {
        return exchange(clients[helper], std::move(request), std::move(cancellation));
    };
}

RelayEndpoint::RelayEndpoint(SiteDirectory& directory, const SiteProtocol& protocol, RequestForwarder& forwarder, const TargetReachability& reachability, KeyValidity keyValidity)
    : m_directory(directory)
    , m_protocol(protocol)
    , m_forwarder(forwarder)
    , m_reachability(reachability)
    , m_keyChecks(directory, protocol, keyValidity)
{
}

std::string RelayEndpoint::obstacle(const RelayRequest& request) const
{
    const auto view = m_directory.view();
    if (m_isStopping)
        return "this host is stopping";
    if (m_reachability.isCutOff())
        return "this host is cut off from the targets as well";
    if (m_running.size() >= maximumRequests)
        return "this host forwards too many requests";
    if (!m_directory.isReady() || view->configuration.version < request.configurationVersion)
        return "this host's configuration is older";
    return routeOf(*view, request.message) ? "" : "no route matches";
}

Task<void> RelayEndpoint::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto receivedAt = request.receivedAt;
    auto decoded = decodeRelayRequest(request.body);
    HttpResponse response;
    response.status = decoded ? statusOk : statusBadRequest;
    if (decoded) {
        RelayReply refusal;
        refusal.outcome.cause = obstacle(decoded.value());
        if (refusal.outcome.cause.empty()) {
            auto reply = co_await forward(std::move(decoded.value()), receivedAt, responder);
            response.body = encodeRelayReply(reply);
            response.memory = reply.outcome.answer.memory;
            // The memory is that of one body; the encoded one may wait long for the other host.
            reply.outcome.answer.body = std::string();
        } else {
            response.body = encodeRelayReply(refusal);
        }
    } else {
        response.body = decoded.error().message;
    }
    co_await responder.send(std::move(response));
}

KeyCheck RelayEndpoint::checkKeys(const SiteView& view, const SiteRoute& route, RelayRequest& request) const
{
    auto check = m_keyChecks.take(view, route.isPublic, request.message.fields);
    if (request.organisation.isEmpty() || check.decision == KeyDecision::NotNeeded)
        return check;
    return m_keyChecks.checkAgain(view, request.organisation, request.keyDigest);
}

Task<RelayReply> RelayEndpoint::forward(RelayRequest request, TimePoint receivedAt, ServerResponder& responder)
{
    const auto view = m_directory.view();
    const auto* known = routeOf(*view, request.message);
    RelayReply reply;
    const auto key = checkKeys(*view, *known, request);
    if (!KeyChecks::isPassed(key)) {
        reply.outcome.cause = "this host cannot confirm the caller's key";
        co_return reply;
    }
    auto route = *known;
    route.maximumAttempts = std::min(route.maximumAttempts, request.attemptsLeft);
    auto forwarded = makeForwardRequest(request.message, route, m_protocol, key.organisation);
    forwarded.priority = key.priority;
    forwarded.mayBeSent = m_keyChecks.condition(key);
    forwarded.pool = route.hasPool(request.pool) ? request.pool : choosePool(route, 0);
    forwarded.deadline = receivedAt + request.remainingTime - replyMargin;
    forwarded.requiredRelease = request.requiredRelease;
    responder.onCallerDisconnected([cancellation = forwarded.cancellation] { cancellation->cancel(); });
    const RunningRequests::Entry running(m_running, forwarded.cancellation);
    auto outcome = co_await m_forwarder.forward(std::move(forwarded));
    if (outcome.state == ForwardState::Abandoned && m_running.isCancelled())
        outcome.state = outcome.isKnownNotRun ? ForwardState::NotRun : ForwardState::Unknown;
    reply.hasForwarded = true;
    reply.outcome = std::move(outcome);
    co_return reply;
}

} // namespace cicadalb
