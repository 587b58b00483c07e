#include "cicadalb/transport/RequestDispatcher.h"

#include "ForwardCall.h"
#include "GenerateCall.h"
#include "Problem.h"
#include "RequestContext.h"

#include "cicadalb/base/Event.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <cctype>

namespace cicadalb {

namespace {

    constexpr std::size_t maximumRequestIdLength = 128;
    constexpr unsigned maximumAttempts = 3;
    constexpr auto minimumAttemptTimeout = std::chrono::seconds(2);
    /// An attempt on an idempotent route times out after this multiple of the target's recent latency.
    constexpr int attemptTimeoutLatencyFactor = 10;
    constexpr std::size_t maximumKeyLength = 255;
    constexpr std::string_view idempotencyKeyField = "Idempotency-Key";
    /// Header field that marks a cached response, replayed to a repeated request with the same key.
    constexpr std::string_view replayedField = "Idempotency-Replayed";
    constexpr auto defaultRetryAfter = std::chrono::seconds(1);

    bool isRequestIdCharacter(char character) noexcept
    {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
    }

    bool isValidRequestId(std::string_view text) noexcept
    {
        return !text.empty() && text.size() <= maximumRequestIdLength && std::all_of(text.begin(), text.end(), isRequestIdCharacter);
    }

    /// Longest time that the caller waits, from "Prefer: wait=SECONDS" (RFC 7240), or nothing if not given.
    std::optional<std::chrono::seconds> waitPreference(const ServerRequest& request)
    {
        constexpr std::string_view key = "wait=";
        const auto field = request.field("Prefer");
        const auto begin = field.find(key);
        if (begin == std::string_view::npos)
            return std::nullopt;
        const auto digits = field.substr(begin + key.size());
        const auto length = std::min(digits.find_first_not_of("0123456789"), digits.size());
        unsigned seconds = 0;
        if (!boost::conversion::try_lexical_convert(digits.substr(0, length), seconds))
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

    TimePoint deadlineFor(const ServerRequest& request, const Route& route)
    {
        Duration timeout = route.timeout;
        if (const auto wait = waitPreference(request))
            timeout = std::min<Duration>(timeout, *wait);
        return request.receivedAt + timeout;
    }

    KeyedRequest makeKeyedRequest(const RequestContext& context, const std::string& key)
    {
        const auto& request = context.request;
        KeyedRequest keyed;
        keyed.scopedKey = context.caller.value() + '\n' + context.route.name.value() + '\n' + key;
        keyed.fingerprint = request.method + '\n' + request.path + '?' + request.query + '\n' + request.body.text();
        return keyed;
    }

    /// Deadline of one attempt: that of the request, or an earlier one if the request may run again and the target's recent latency is known.
    /// The earlier one leaves time for another attempt and is far above that latency.
    TimePoint attemptDeadline(const RequestContext& context, const Admission& admission, TimePoint now)
    {
        if (!context.route.isIdempotent || admission.averageLatency == Duration::zero())
            return context.deadline;
        const auto timeout = std::max<Duration>(minimumAttemptTimeout, admission.averageLatency * attemptTimeoutLatencyFactor);
        return std::min(context.deadline, now + timeout);
    }

    /// Counts a request as in flight for the lifetime of this object.
    class InFlightCount {
    public:
        explicit InFlightCount(std::atomic<std::size_t>& counter)
            : m_counter(counter)
            , m_count(++counter)
        {
        }
        InFlightCount(const InFlightCount&) = delete;
        InFlightCount& operator=(const InFlightCount&) = delete;
        ~InFlightCount() { --m_counter; }
        std::size_t count() const noexcept { return m_count; }

    private:
        std::atomic<std::size_t>& m_counter;
        std::size_t m_count;
    };

    /// Updates the run state with the end of an attempt.
    void recordAttempt(RequestRun& run, CompletionKind kind)
    {
        switch (kind) {
        case CompletionKind::Succeeded:
        case CompletionKind::ServerError:
            return run.recordAnswer();
        case CompletionKind::NotRun:
            return run.recordNotRun();
        case CompletionKind::Lost:
        case CompletionKind::Abandoned:
            return run.recordLoss();
        }
    }

    Error admissionError(const Admission& admission, const PoolName& pool)
    {
        const auto message = admission.reason == ErrorCode::NoTargetAvailable ? "no target is available" : "all targets are busy";
        return Error { admission.reason, message, "pool " + pool.value() };
    }

} // namespace

/// State of a request over its attempts.
struct RequestDispatcher::Progress {
    Progress(const RequestContext& context, std::optional<std::uint64_t> affinity)
        : run(context.route.isIdempotent)
        , requirements { context.route.priority, context.deadline, affinity, {}, {} }
    {
    }
    RequestRun run;
    RequestRequirements requirements;
    ServedRequest served;
    /// Why the last attempt or admission failed.
    Error error { ErrorCode::NoTargetAvailable, {}, {} };
    Duration retryAfter {};
};

std::string_view bearerToken(const ServerRequest& request) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    const auto field = request.field("Authorization");
    return field.substr(0, scheme.size()) == scheme ? field.substr(scheme.size()) : std::string_view();
}

RequestDispatcher::RequestDispatcher(DispatcherOptions options, RoutingTable& routing, TargetClients& clients, KeyedRequests& keyedRequests, Metrics& metrics, const Clock& clock)
    : m_options(std::move(options))
    , m_routing(routing)
    , m_clients(clients)
    , m_keyedRequests(keyedRequests)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

RequestDispatcher::~RequestDispatcher() = default;

RequestId RequestDispatcher::requestIdFor(const ServerRequest& request)
{
    const auto requestedId = request.field(requestIdField);
    if (isValidRequestId(requestedId))
        return RequestId(std::string(requestedId));
    const auto number = m_nextRequestNumber++;
    return RequestId(m_options.host.value() + "-" + std::to_string(m_options.incarnation) + "-" + std::to_string(number));
}

Task<void> RequestDispatcher::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto id = requestIdFor(request);
    const InFlightCount inFlightCount(m_inFlight);
    if (inFlightCount.count() > m_options.maximumInFlight) {
        co_await refuse(request, responder, id, Error { ErrorCode::Overloaded, "too many requests in flight", "host" }, defaultRetryAfter);
        co_return;
    }
    const auto snapshot = m_routing.snapshot();
    if (!snapshot) {
        co_await refuse(request, responder, id, Error { ErrorCode::Unavailable, "no configuration has been accepted yet", "host" }, defaultRetryAfter);
        co_return;
    }
    const auto caller = snapshot->matcher.callerByToken(bearerToken(request));
    if (!caller) {
        co_await refuse(request, responder, id, caller.error(), {});
        co_return;
    }
    const auto route = snapshot->matcher.match(RouteQuery { request.method, request.path, caller.value() });
    if (!route) {
        co_await refuse(request, responder, id, route.error(), {});
        co_return;
    }
    const auto balancer = snapshot->balancer(route.value()->pool);
    RequestContext context { request, responder, snapshot, *route.value(), balancer, caller.value(), id, deadlineFor(request, *route.value()) };
    co_await serveRouted(context);
}

Task<void> RequestDispatcher::serveRouted(RequestContext& context)
{
    const auto call = makeTargetCall(context);
    const auto checked = call->check(context);
    if (!checked) {
        co_await refuse(context.request, context.responder, context.id, checked.error(), {});
        co_return;
    }
    const auto key = context.request.field(idempotencyKeyField);
    if (key.empty() || context.route.isIdempotent)
        co_await attemptUntilAnswered(context, *call);
    else
        co_await serveKeyed(context, *call, std::string(key));
}

Task<void> RequestDispatcher::serveKeyed(RequestContext& context, TargetCall& call, std::string key)
{
    if (key.size() > maximumKeyLength) {
        co_await refuse(context.request, context.responder, context.id, Error { ErrorCode::RequestInvalid, "the key exceeds the maximum length", "Idempotency-Key" }, {});
        co_return;
    }
    const auto keyedRequest = makeKeyedRequest(context, key);
    auto decision = co_await m_keyedRequests.begin(keyedRequest);
    if (!decision.mayRun) {
        co_await respondWithoutRunning(context, std::move(decision));
        co_return;
    }
    const auto served = co_await attemptUntilAnswered(context, call);
    if (served.runState == RunState::Answered)
        m_keyedRequests.finish(keyedRequest, served.response);
    else if (served.runState == RunState::NotSent)
        m_keyedRequests.release(keyedRequest, decision.claimId);
}

Task<void> RequestDispatcher::respondWithoutRunning(RequestContext& context, KeyedDecision decision)
{
    if (decision.cachedResponse) {
        auto response = std::move(*decision.cachedResponse);
        response.fields.emplace_back(replayedField, "true");
        m_metrics.countRequest(RequestOutcome { context.route.name, response.status, RunState::Answered, m_clock.now() - context.request.receivedAt });
        co_await context.responder.send(std::move(response));
        co_return;
    }
    ProblemDetails details;
    details.requestId = context.id.value();
    details.retryAfter = decision.retryAfter;
    if (decision.refusal->code == ErrorCode::KeyOutcomeUnknown)
        details.runState = decision.recordedStatus ? RunState::Answered : RunState::Unknown;
    const auto response = problemResponse(*decision.refusal, details);
    m_metrics.countRequest(RequestOutcome { context.route.name, response.status, details.runState, m_clock.now() - context.request.receivedAt });
    co_await context.responder.send(response);
}

std::unique_ptr<TargetCall> RequestDispatcher::makeTargetCall(const RequestContext& context)
{
    if (context.balancer->kind() == TargetKind::ModelEngine)
        return std::make_unique<GenerateCall>(m_clients);
    return std::make_unique<ForwardCall>(m_clients);
}

Task<ServedRequest> RequestDispatcher::attemptUntilAnswered(RequestContext& context, TargetCall& call)
{
    Progress progress(context, call.affinity());
    const auto budget = context.snapshot->retryBudgets.at(context.route.name);
    budget->recordRequest();
    while (progress.run.mayAttempt() && progress.run.attempts() < maximumAttempts) {
        if (progress.run.attempts() > 0 && !budget->tryTakeRetry())
            break;
        const auto admission = co_await context.balancer->admit(progress.requirements);
        if (admission.kind != AdmissionKind::Admitted) {
            progress.error = admissionError(admission, context.balancer->name());
            progress.retryAfter = admission.retryAfter;
            break;
        }
        co_await attemptOnce(context, call, admission, progress);
        if (context.responder.hasBegun() || m_clock.now() >= context.deadline)
            break;
    }
    if (progress.run.state() != RunState::Answered && !context.responder.hasBegun())
        co_await sendFailure(context, progress);
    progress.served.runState = progress.run.state();
    m_metrics.countRequest(RequestOutcome { context.route.name, progress.served.response.status, progress.run.state(), m_clock.now() - context.request.receivedAt });
    co_return std::move(progress.served);
}

Task<void> RequestDispatcher::attemptOnce(RequestContext& context, TargetCall& call, const Admission& admission, Progress& progress)
{
    if (progress.run.attempts() > 0)
        logEvent(Event::RequestRetried, { { "request", context.id.value() }, { "target", admission.target.value() } });
    const auto target = context.balancer->target(admission.target);
    const auto begin = m_clock.now();
    progress.run.beginAttempt();
    m_metrics.countAttempt(context.route.name);
    AttemptResult result { CompletionKind::NotRun, {}, Error { ErrorCode::NoTargetAvailable, "the target was removed from the pool before the attempt", admission.target.value() } };
    if (target)
        result = co_await call.attempt(context, *target, attemptDeadline(context, admission, begin));
    const auto end = m_clock.now();
    context.balancer->recordCompletion(admission.target, Completion { result.kind, end - begin, end >= context.deadline });
    recordAttempt(progress.run, result.kind);
    progress.requirements.excluded.push_back(admission.target);
    progress.error = std::move(result.error);
    progress.served.response = std::move(result.response);
}

Task<void> RequestDispatcher::sendFailure(RequestContext& context, Progress& progress)
{
    const bool isKnownNotRun = progress.run.isKnownNotRun();
    if (m_clock.now() >= context.deadline)
        progress.error.code = ErrorCode::DeadlineExceeded;
    ProblemDetails details;
    details.requestId = context.id.value();
    details.runState = progress.run.state();
    details.retryAfter = progress.retryAfter;
    if (isKnownNotRun && details.retryAfter == Duration::zero())
        details.retryAfter = defaultRetryAfter;
    auto response = problemResponse(progress.error, details);
    progress.served.response.status = response.status;
    logEvent(isKnownNotRun ? Event::RequestRefused : Event::RequestOutcomeUnknown,
        { { "request", context.id.value() }, { "route", context.route.name.value() }, { "cause", describe(progress.error) } });
    co_await context.responder.send(std::move(response));
}

Task<void> RequestDispatcher::refuse(ServerRequest& request, ServerResponder& responder, const RequestId& id, const Error& error, Duration retryAfter)
{
    ProblemDetails details;
    details.retryAfter = retryAfter;
    details.requestId = id.value();
    const auto response = problemResponse(error, details);
    logEvent(Event::RequestRefused, { { "request", id.value() }, { "cause", describe(error) } });
    m_metrics.countRequest(RequestOutcome { RouteName("none"), response.status, RunState::NotSent, m_clock.now() - request.receivedAt });
    co_await responder.send(response);
}

} // namespace cicadalb
