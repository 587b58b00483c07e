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
    constexpr auto smallestAttemptTime = std::chrono::seconds(2);
    /// An attempt that takes so many times the target's usual latency is taken for lost.
    constexpr int unusualLatencyFactor = 10;
    constexpr std::size_t maximumKeyLength = 255;
    constexpr std::string_view idempotencyKeyField = "Idempotency-Key";
    /// Marks an answer that was given before to the same key.
    constexpr std::string_view replayedField = "Idempotency-Replayed";
    constexpr auto overloadRetryAfter = std::chrono::seconds(1);

    bool isRequestIdCharacter(char character) noexcept
    {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
    }

    bool isValidRequestId(std::string_view text) noexcept
    {
        return !text.empty() && text.size() <= maximumRequestIdLength && std::all_of(text.begin(), text.end(), isRequestIdCharacter);
    }

    /// Time that the caller is ready to wait: "Prefer: wait=SECONDS" (RFC 7240), or nothing.
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
        Duration patience = route.timeout;
        if (const auto wait = waitPreference(request))
            patience = std::min<Duration>(patience, *wait);
        return request.receivedAt + patience;
    }

    KeyedRequest keyedRequest(const RequestContext& context, const std::string& key)
    {
        const auto& request = context.request;
        KeyedRequest keyed;
        keyed.scope = context.caller.value() + '\n' + context.route.name.value() + '\n' + key;
        keyed.fingerprint = request.method + '\n' + request.path + '?' + request.query + '\n' + request.body;
        return keyed;
    }

    /// When an attempt is given up so that another one can be made: much later than usual, and only where the request may run again.
    TimePoint attemptDeadline(const RequestContext& context, const Admission& admission, TimePoint now)
    {
        if (!context.route.repeatable || admission.usualLatency == Duration::zero())
            return context.deadline;
        const auto patience = std::max<Duration>(smallestAttemptTime, admission.usualLatency * unusualLatencyFactor);
        return std::min(context.deadline, now + patience);
    }

    /// Counts a request for as long as it lives.
    class InFlight {
    public:
        explicit InFlight(std::atomic<std::size_t>& count)
            : m_count(count)
            , m_present(++count)
        {
        }
        InFlight(const InFlight&) = delete;
        InFlight& operator=(const InFlight&) = delete;
        ~InFlight() { --m_count; }
        std::size_t present() const noexcept { return m_present; }

    private:
        std::atomic<std::size_t>& m_count;
        std::size_t m_present;
    };

    /// Moves the run state on after an attempt.
    void record(RequestRun& run, CompletionKind kind)
    {
        switch (kind) {
        case CompletionKind::Succeeded:
        case CompletionKind::ServerError:
            return run.attemptAnswered();
        case CompletionKind::NotRun:
            return run.attemptNotRun();
        case CompletionKind::Lost:
        case CompletionKind::Abandoned:
            return run.attemptLost();
        }
    }

    Error admissionError(const Admission& admission, const PoolName& pool)
    {
        const auto message = admission.reason == ErrorCode::NoTargetAvailable ? "no target can take the request" : "all targets are busy";
        return Error { admission.reason, message, "pool " + pool.value() };
    }

} // namespace

/// What has become of a request so far.
struct RequestDispatcher::Progress {
    Progress(const RequestContext& context, std::optional<std::uint64_t> affinity)
        : run(context.route.repeatable)
        , demand { context.route.priority, context.deadline, affinity, {}, {} }
    {
    }
    RequestRun run;
    Demand demand;
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

RequestDispatcher::RequestDispatcher(DispatcherOptions options, RoutingTable& routing, TargetClients& clients, KeyedRequests& keyed, Metrics& metrics, const Clock& clock)
    : m_options(std::move(options))
    , m_routing(routing)
    , m_clients(clients)
    , m_keyed(keyed)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

RequestDispatcher::~RequestDispatcher() = default;

RequestId RequestDispatcher::requestIdFor(const ServerRequest& request)
{
    const auto given = request.field(requestIdField);
    if (isValidRequestId(given))
        return RequestId(std::string(given));
    const auto number = m_nextRequest++;
    return RequestId(m_options.host.value() + "-" + std::to_string(m_options.incarnation) + "-" + std::to_string(number));
}

Task<void> RequestDispatcher::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto id = requestIdFor(request);
    const InFlight counted(m_inFlight);
    if (counted.present() > m_options.maximumInFlight) {
        co_await refuse(request, responder, id, Error { ErrorCode::Overloaded, "too many requests in flight", "host" }, overloadRetryAfter);
        co_return;
    }
    const auto snapshot = m_routing.snapshot();
    if (!snapshot) {
        co_await refuse(request, responder, id, Error { ErrorCode::Unavailable, "no configuration has been accepted yet", "host" }, overloadRetryAfter);
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
    const auto gate = snapshot->gate(route.value()->pool);
    RequestContext context { request, responder, snapshot, *route.value(), gate, caller.value(), id, deadlineFor(request, *route.value()) };
    co_await serveRouted(context);
}

Task<void> RequestDispatcher::serveRouted(RequestContext& context)
{
    const auto call = callFor(context);
    const auto checked = call->check(context);
    if (!checked) {
        co_await refuse(context.request, context.responder, context.id, checked.error(), {});
        co_return;
    }
    const auto key = context.request.field(idempotencyKeyField);
    if (key.empty() || context.route.repeatable)
        co_await attemptUntilAnswered(context, *call);
    else
        co_await serveKeyed(context, *call, std::string(key));
}

Task<void> RequestDispatcher::serveKeyed(RequestContext& context, TargetCall& call, std::string key)
{
    if (key.size() > maximumKeyLength) {
        co_await refuse(context.request, context.responder, context.id, Error { ErrorCode::RequestInvalid, "the key is too long", "Idempotency-Key" }, {});
        co_return;
    }
    const auto keyed = keyedRequest(context, key);
    auto decision = co_await m_keyed.begin(keyed);
    if (!decision.mayRun) {
        co_await answerKnownKey(context, std::move(decision));
        co_return;
    }
    const auto served = co_await attemptUntilAnswered(context, call);
    if (served.runState == RunState::Answered)
        m_keyed.finished(keyed, served.answer);
    else if (served.runState == RunState::NotSent)
        m_keyed.release(keyed, decision.mark);
}

Task<void> RequestDispatcher::answerKnownKey(RequestContext& context, KeyedDecision decision)
{
    if (decision.heldAnswer) {
        auto answer = std::move(*decision.heldAnswer);
        answer.fields.emplace_back(replayedField, "true");
        m_metrics.countRequest(RequestOutcome { context.route.name, answer.status, RunState::Answered, m_clock.now() - context.request.receivedAt });
        co_await context.responder.send(std::move(answer));
        co_return;
    }
    ProblemDetails details;
    details.requestId = context.id.value();
    details.retryAfter = decision.retryAfter;
    if (decision.refusal->code == ErrorCode::KeyOutcomeUnknown)
        details.runState = decision.status ? RunState::Answered : RunState::Unknown;
    const auto response = problemResponse(*decision.refusal, details);
    m_metrics.countRequest(RequestOutcome { context.route.name, response.status, details.runState, m_clock.now() - context.request.receivedAt });
    co_await context.responder.send(response);
}

std::unique_ptr<TargetCall> RequestDispatcher::callFor(const RequestContext& context)
{
    if (context.gate->kind() == TargetKind::ModelEngine)
        return std::make_unique<GenerateCall>(m_clients);
    return std::make_unique<ForwardCall>(m_clients);
}

Task<ServedRequest> RequestDispatcher::attemptUntilAnswered(RequestContext& context, TargetCall& call)
{
    Progress progress(context, call.affinity());
    const auto budget = context.snapshot->retryBudgets.at(context.route.name);
    budget->recordRequest();
    while (progress.run.mayAttempt() && progress.run.attempts() < maximumAttempts) {
        if (progress.run.attempts() > 0 && !budget->tryRetry())
            break;
        const auto admission = co_await context.gate->admit(progress.demand);
        if (admission.kind != AdmissionKind::Admitted) {
            progress.error = admissionError(admission, context.gate->name());
            progress.retryAfter = admission.retryAfter;
            break;
        }
        co_await attemptOnce(context, call, admission, progress);
        if (context.responder.hasBegun() || m_clock.now() >= context.deadline)
            break;
    }
    if (progress.run.state() != RunState::Answered && !context.responder.hasBegun())
        co_await tellGivenUp(context, progress);
    progress.served.runState = progress.run.state();
    m_metrics.countRequest(RequestOutcome { context.route.name, progress.served.answer.status, progress.run.state(), m_clock.now() - context.request.receivedAt });
    co_return std::move(progress.served);
}

Task<void> RequestDispatcher::attemptOnce(RequestContext& context, TargetCall& call, const Admission& admission, Progress& progress)
{
    if (progress.run.attempts() > 0)
        logEvent(Event::RequestRetried, { { "request", context.id.value() }, { "target", admission.target.value() } });
    const auto target = context.gate->target(admission.target);
    const auto begin = m_clock.now();
    progress.run.beginAttempt();
    m_metrics.countAttempt(context.route.name);
    AttemptResult result { CompletionKind::NotRun, {}, Error { ErrorCode::NoTargetAvailable, "the target left", admission.target.value() } };
    if (target)
        result = co_await call.attempt(context, *target, attemptDeadline(context, admission, begin));
    const auto end = m_clock.now();
    context.gate->finished(admission.target, Completion { result.kind, end - begin, end >= context.deadline });
    record(progress.run, result.kind);
    progress.demand.excluded.push_back(admission.target);
    progress.error = std::move(result.error);
    progress.served.answer = std::move(result.answer);
}

Task<void> RequestDispatcher::tellGivenUp(RequestContext& context, Progress& progress)
{
    const bool isKnownNotRun = progress.run.isKnownNotRun();
    if (m_clock.now() >= context.deadline)
        progress.error.code = ErrorCode::DeadlineExceeded;
    ProblemDetails details;
    details.requestId = context.id.value();
    details.runState = progress.run.state();
    details.retryAfter = progress.retryAfter;
    if (isKnownNotRun && details.retryAfter == Duration::zero())
        details.retryAfter = overloadRetryAfter;
    auto response = problemResponse(progress.error, details);
    progress.served.answer.status = response.status;
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
