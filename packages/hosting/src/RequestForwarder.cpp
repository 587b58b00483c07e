#include "RequestForwarder.h"

#include "cicadalb/base/EnumTable.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/routing/RunState.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// An attempt with less time than this is not begun.
    constexpr milliseconds shortestAttempt { 15 };
    /// An attempt that may be repeated is given up after so many times the route's target latency, if time is left for another one.
    constexpr double patienceInTargetLatencies = 1.5;
    /// ... and after this share of the time that is left at most.
    constexpr double largestPatienceShare = 0.55;
    /// Targets that may state that they did not run a request, beside those that may run it.
    constexpr unsigned maximumUnrunAttempts = 4;
    /// Share of a route's target latency that is borne to use a connection again.
    constexpr double affinityShare = 0.25;
    /// Refused requests come back within this share of the time that they have left.
    constexpr int retryAfterShare = 6;
    constexpr unsigned firstServerErrorStatus = 500;
    constexpr unsigned priorityNormalFrom = 1;

    constexpr auto stateNames = std::to_array<EnumName<ForwardState>>({
        { ForwardState::Answered, "answered" },
        { ForwardState::NotRun, "not-run" },
        { ForwardState::Unknown, "unknown" },
        { ForwardState::Abandoned, "abandoned" },
    });

    Priority priorityOf(const SiteRoute& route)
    {
        return route.priority < priorityNormalFrom ? Priority::Interactive : Priority::Normal;
    }

    bool isRepeatable(const SiteRoute& route) { return route.kind == RequestKind::Idempotent; }

} // namespace

std::string_view name(ForwardState state) noexcept { return nameIn(stateNames, state); }

const PoolName& choosePool(const SiteRoute& route, double draw)
{
    static const PoolName none;
    double total = 0;
    for (const auto& share : route.pools)
        total += share.weight;
    auto left = draw * total;
    for (const auto& share : route.pools) {
        left -= share.weight;
        if (left < 0)
            return share.pool;
    }
    return route.pools.empty() ? none : route.pools.back().pool;
}

/// What is known of a request over its attempts.
struct RequestForwarder::Progress {
    explicit Progress(const SiteRoute& route)
        : run(isRepeatable(route))
    {
    }
    RequestRun run;
    ForwardOutcome outcome;
    /// A target's failure, told to the caller if no other target answers better.
    std::optional<HttpResponse> failure;
    std::vector<TargetId> used;
    unsigned unrunAttempts = 0;
};

struct RequestForwarder::Attempt {
    CompletionKind kind = CompletionKind::Lost;
    AnswerKind answer = AnswerKind::Unusable;
    HttpResponse response;
    std::string cause;
};

RequestForwarder::RequestForwarder(SiteDirectory& directory, const SiteProtocol& protocol, TargetClients& clients, const Clock& clock)
    : m_directory(directory)
    , m_protocol(protocol)
    , m_clients(clients)
    , m_clock(clock)
{
}

Task<ForwardOutcome> RequestForwarder::run(ForwardRequest request)
{
    Progress progress(*request.route);
    bool goesOn = true;
    while (goesOn)
        goesOn = co_await attempt(request, progress);
    auto& outcome = progress.outcome;
    outcome.attempts = progress.run.attempts();
    if (outcome.state == ForwardState::Answered || outcome.state == ForwardState::Abandoned)
        co_return std::move(outcome);
    if (progress.failure) {
        outcome.state = ForwardState::Answered;
        outcome.answer = std::move(*progress.failure);
    } else {
        outcome.state = progress.run.isKnownNotRun() ? ForwardState::NotRun : ForwardState::Unknown;
    }
    co_return std::move(outcome);
}

TimePoint RequestForwarder::attemptDeadline(const ForwardRequest& request, const Progress& progress, TimePoint now) const
{
    const auto& route = *request.route;
    if (!isRepeatable(route) || progress.run.attempts() + 1 >= std::max(1U, route.maximumAttempts))
        return request.deadline;
    const auto patience = std::chrono::duration_cast<Duration>(route.targetLatency * patienceInTargetLatencies);
    const auto most = std::chrono::duration_cast<Duration>((request.deadline - now) * largestPatienceShare);
    return now + std::min(patience, most);
}

void RequestForwarder::recordAttempt(const ForwardRequest& request, const RegisteredTarget& target, const Attempt& attempt, Duration latency) const
{
    logEvent(Event::AttemptEnded, { { "id", request.id.value() }, { "route", request.route->name.value() }, { "target", target.id.value() }, { "registry", std::to_string(m_directory.registryRevision()) }, { "answer", std::string(name(attempt.answer)) }, { "status", std::to_string(attempt.response.status) }, { "ms", std::to_string(std::chrono::duration_cast<milliseconds>(latency).count()) }, { "cause", attempt.cause } });
}

/// @return whether another attempt makes sense
Task<bool> RequestForwarder::attempt(const ForwardRequest& request, Progress& progress)
{
    auto& outcome = progress.outcome;
    const auto& route = *request.route;
    const bool hasAttemptsLeft = progress.run.attempts() < std::max(1U, route.maximumAttempts) + progress.unrunAttempts;
    if (!progress.run.mayAttempt() || !hasAttemptsLeft || progress.unrunAttempts > maximumUnrunAttempts) {
        if (outcome.cause.empty())
            outcome.cause = "no attempts left";
        co_return false;
    }
    if (request.deadline - m_clock.now() < shortestAttempt) {
        outcome.cause = "no time left";
        co_return false;
    }
    const auto gate = m_directory.gate(request.pool);
    const Completion abandoned { CompletionKind::Abandoned };
    Demand demand;
    demand.priority = priorityOf(route);
    demand.deadline = request.deadline;
    demand.affinity = request.affinity;
    demand.affinityPatience = std::chrono::duration_cast<Duration>(route.targetLatency * affinityShare);
    demand.excluded = progress.used;
    const auto admission = co_await gate->admit(demand);
    if (admission.kind != AdmissionKind::Admitted) {
        outcome.cause = std::string(name(admission.reason));
        outcome.retryAfter = std::min(admission.retryAfter, (request.deadline - m_clock.now()) / retryAfterShare);
        co_return false;
    }
    const auto* registered = m_directory.registry().find(admission.target);
    if (request.cancellation && request.cancellation->isCancelled()) {
        gate->finished(admission.target, abandoned);
        outcome.state = ForwardState::Abandoned;
        co_return false;
    }
    if (!registered || registered->isLeaving) {
        gate->finished(admission.target, abandoned);
        ++progress.unrunAttempts;
        co_return true;
    }
    const auto target = *registered;
    const auto begun = m_clock.now();
    progress.used.push_back(target.id);
    progress.run.beginAttempt();
    auto result = co_await exchange(request, target, attemptDeadline(request, progress, begun), request.deadline - begun);
    const auto latency = m_clock.now() - begun;
    if (const auto load = m_protocol.load(result.response.fields))
        gate->reportLoad(target.id, *load);
    const Completion completion { result.kind, latency, m_clock.now() >= request.deadline };
    gate->finished(target.id, completion);
    recordAttempt(request, target, result, latency);
    switch (result.kind) {
    case CompletionKind::ServerError:
        if (isRepeatable(route) && progress.run.attempts() < route.maximumAttempts + progress.unrunAttempts) {
            // Told to the caller unless another target answers better.
            progress.failure = std::move(result.response);
            progress.run.attemptLost();
            outcome.cause = "target failed";
            co_return true;
        }
        [[fallthrough]];
    case CompletionKind::Succeeded:
        progress.run.attemptAnswered();
        outcome.state = ForwardState::Answered;
        outcome.answer = std::move(result.response);
        co_return false;
    case CompletionKind::NotRun:
        progress.run.attemptNotRun();
        ++progress.unrunAttempts;
        outcome.cause = result.cause;
        co_return true;
    case CompletionKind::Abandoned:
        progress.run.attemptLost();
        outcome.state = ForwardState::Abandoned;
        co_return false;
    case CompletionKind::Lost:
        progress.run.attemptLost();
        outcome.cause = result.cause;
        co_return true;
    }
    co_return false;
}

Task<RequestForwarder::Attempt> RequestForwarder::exchange(const ForwardRequest& request, const RegisteredTarget& target, TimePoint deadline, Duration remaining)
{
    Attempt attempt;
    const auto client = m_clients.client(0, target.endpoint);
    const AttemptTerms terms { target.id, std::chrono::duration_cast<milliseconds>(remaining) };
    auto message = request.message(terms);
    message.mayRepeat = isRepeatable(*request.route);
    auto response = co_await client->send(std::move(message), deadline, request.cancellation);
    if (!response) {
        const bool isGone = request.cancellation && request.cancellation->isCancelled();
        attempt.kind = isGone ? CompletionKind::Abandoned : CompletionKind::Lost;
        if (response.error().code == ErrorCode::NotSent && !isGone)
            attempt.kind = CompletionKind::NotRun;
        attempt.cause = response.error().message;
        co_return attempt;
    }
    attempt.response = std::move(response.value());
    attempt.answer = m_protocol.judge(attempt.response, request.id);
    switch (attempt.answer) {
    case AnswerKind::Answered:
        attempt.kind = attempt.response.status >= firstServerErrorStatus ? CompletionKind::ServerError : CompletionKind::Succeeded;
        break;
    case AnswerKind::NotRun:
    case AnswerKind::Misdirected:
        attempt.kind = CompletionKind::NotRun;
        attempt.cause = "the target did not run it";
        break;
    case AnswerKind::Unusable:
        attempt.kind = CompletionKind::Lost;
        attempt.cause = "the answer is not this request's";
        break;
    }
    co_return attempt;
}

} // namespace cicadalb
