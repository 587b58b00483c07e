#include "RunHolder.h"

#include "Pause.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/services/StreamProgress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnprocessable = 422;
    constexpr unsigned statusServerError = 500;
    constexpr unsigned lowestPriority = 9;
    /// Longest time between two events of a run; the scheduler moves stalled runs sooner.
    constexpr milliseconds stallTimeout { 5000 };
    /// Timeout of a reward call whose route has none.
    constexpr milliseconds defaultRewardTimeout { 2000 };
    /// Delay before a reward call that found no route, no target or no answer is repeated.
    constexpr milliseconds rewardRetryDelay { 200 };

    /// Maps a request's id to a number in [0, 1), so that all attempts of the request go to the same pool of a split route.
    double splitFractionOf(const RequestId& id)
    {
        constexpr std::uint64_t buckets = 1000;
        return static_cast<double>(placementHash(id.value()) % buckets) / static_cast<double>(buckets);
    }

} // namespace

RunOutcome runOutcomeOf(AnswerKind kind, unsigned status) noexcept
{
    if (kind == AnswerKind::NotRun || kind == AnswerKind::Misdirected)
        return RunOutcome::NotRun;
    if (kind != AnswerKind::Answered)
        return RunOutcome::Interrupted;
    if (status == statusUnprocessable)
        return RunOutcome::Impossible;
    // Any other error, such as a timeout of the target, is not caused by the item.
    if (status == statusServerError)
        return RunOutcome::ServerError;
    return status == statusOk ? RunOutcome::Complete : RunOutcome::Interrupted;
}

RunHolder::RunHolder(asio::any_io_executor executor, const SiteProtocol& protocol, SiteDirectory& directory, TargetClients& clients, RequestPermits& permits, CrashGuard& crashGuard, const Clock& clock, TargetReachability* reachability, RunObserver& observer)
    : m_executor(std::move(executor))
    , m_protocol(protocol)
    , m_directory(directory)
    , m_clients(clients)
    , m_permits(permits)
    , m_clock(clock)
    , m_reachability(reachability)
    , m_observer(observer)
    , m_forwarder(directory, protocol, clients, permits, crashGuard, clock, reachability)
{
}

void RunHolder::begin(RunAssignment assignment)
{
    const auto held = std::make_shared<Run>(std::move(assignment));
    held->expiresAt = m_clock.now() + held->assignment.remainingTime;
    m_runs[held->assignment.id] = held;
    asio::co_spawn(
        m_executor, [self = shared_from_this(), held] { return self->run(held); }, asio::detached);
}

void RunHolder::requestReward(RunAssignment assignment)
{
    const auto held = std::make_shared<Run>(std::move(assignment));
    m_runs[held->assignment.id] = held;
    asio::co_spawn(
        m_executor, [self = shared_from_this(), held] { return self->runRewardCall(held); }, asio::detached);
}

void RunHolder::cancel(const RunId& id)
{
    if (const auto found = m_runs.find(id); found != m_runs.end())
        found->second->cancellation->cancel();
}

void RunHolder::stop(const RunId& id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    const auto held = found->second;
    m_runs.erase(found);
    held->isStopped = true;
    held->cancellation->cancel();
}

void RunHolder::stopAll()
{
    const auto runs = std::move(m_runs);
    m_runs.clear();
    for (const auto& [id, held] : runs) {
        held->isStopped = true;
        held->cancellation->cancel();
    }
}

void RunHolder::forget(const RunPointer& held)
{
    if (const auto found = m_runs.find(held->assignment.id); found != m_runs.end() && found->second == held)
        m_runs.erase(found);
}

Task<void> RunHolder::run(RunPointer held)
{
    const auto self = shared_from_this();
    const auto& assignment = held->assignment;
    auto outcome = RunOutcome::NotRun;
    held->cause = "the engine left the registry or has restarted";
    const auto* registered = m_directory.registry().find(assignment.engine);
    if (held->cancellation->isCancelled())
        outcome = RunOutcome::Cancelled;
    else if (registered && registered->startedAt == assignment.engineStartedAt) {
        held->cause.clear();
        outcome = co_await stream(held, *registered);
    }
    if (held->isStopped)
        co_return;
    forget(held);
    m_observer.onRunEnded(assignment, { outcome, held->cause });
}

RunOutcome RunHolder::processEvents(Run& held, std::string_view bytes, EventStreamParser& parser, WeightVersion& version, std::size_t& eventCount)
{
    auto& text = held.assignment.text;
    for (const auto& event : parser.parse(bytes)) {
        ++eventCount;
        if (const auto changed = m_protocol.eventWeightVersion(event))
            version = *changed;
        if (version < held.assignment.submission.oldestVersion)
            return RunOutcome::WrongWeights;
        if (held.isStopped)
            return RunOutcome::Cancelled;
        if (text.lastEventId && event.id != *text.lastEventId + 1)
            return RunOutcome::Interrupted;
        text.lastEventId = event.id;
        m_observer.onRunEvent(held.assignment, event, version);
    }
    return RunOutcome::Complete;
}

Task<RunOutcome> RunHolder::stream(const RunPointer& held, RegisteredTarget target)
{
    const auto& assignment = held->assignment;
    auto& cause = held->cause;
    SampleAttempt attempt;
    attempt.context.expectedTarget = target.id;
    attempt.context.organisation = assignment.submission.organisation;
    attempt.context.remainingTime = std::chrono::duration_cast<milliseconds>(held->expiresAt - m_clock.now());
    attempt.priority = std::min(lowestPriority, assignment.priority);
    attempt.lastEventId = assignment.text.lastEventId;

    const auto sentAt = m_clock.now();
    EventStreamParser parser;
    StreamProgress progress(stallTimeout);
    WeightVersion version = 0;
    auto kind = AnswerKind::Unusable;
    auto runOutcome = RunOutcome::Complete;
    unsigned status = 0;
    HttpStreamHandler handler;
    handler.stallTimeout = stallTimeout;
    handler.onHead = [&](const HttpResponse& head) -> Task<bool> {
        status = head.status;
        kind = m_protocol.classifyAnswer(head, RequestId(assignment.item().id.value()));
        m_permits.observe(target, kind, head.fields, sentAt);
        version = m_protocol.answerWeightVersion(head.fields).value_or(0);
        const auto isLeaving = kind != AnswerKind::Misdirected && m_protocol.isLeaving(head.fields);
        if (isLeaving)
            m_directory.markLeaving(target);
        if (!held->isStopped && (kind == AnswerKind::Answered || kind == AnswerKind::NotRun))
            m_observer.onRunAnswered(assignment, m_protocol.rateStatement(head.fields), isLeaving);
        co_return true;
    };
    handler.onPart = [&](std::string_view part) -> Task<bool> {
        std::size_t events = 0;
        if (kind == AnswerKind::Answered && status == statusOk)
            runOutcome = processEvents(*held, part, parser, version, events);
        if (runOutcome == RunOutcome::Complete && !progress.onPart(part.size(), events > 0, m_clock.now())) {
            cause = "the answer goes on without events";
            runOutcome = RunOutcome::Interrupted;
        }
        co_return runOutcome == RunOutcome::Complete;
    };
    const auto client = m_clients.client(0, target.endpoint);
    auto request = m_protocol.sampleRequest(assignment.submission, assignment.item(), attempt);
    // A repeat on another connection would be a second request to the engine, which the scheduler has not counted.
    request.mayRepeat = !assignment.isLimited && !m_permits.isLimited(target);
    const auto response = co_await client->stream(std::move(request), held->expiresAt, std::move(handler), held->cancellation);
    if (held->cancellation->isCancelled()) {
        cause.clear();
        co_return RunOutcome::Cancelled;
    }
    if (runOutcome != RunOutcome::Complete)
        co_return runOutcome;
    if (m_reachability && status != 0)
        m_reachability->recordAnswer();
    if (!response) {
        cause = response.error().message;
        if (m_reachability && status == 0)
            (void)co_await m_reachability->examineFailure(target.id);
        co_return response.error().code == ErrorCode::NotSent ? RunOutcome::NotRun : RunOutcome::Interrupted;
    }
    cause = "status " + std::to_string(status) + " " + std::string(name(kind));
    co_return runOutcomeOf(kind, status);
}

Task<void> RunHolder::runRewardCall(RunPointer held)
{
    const auto self = shared_from_this();
    const auto& reward = *held->assignment.item().reward;
    unsigned failures = 0;
    while (!held->isStopped) {
        const auto view = m_directory.view();
        const auto* route = view ? view->routes.find(reward.authority, reward.path) : nullptr;
        if (!route || !m_observer.mayRequestReward(held->assignment)) {
            co_await pause(m_executor, rewardRetryDelay);
            continue;
        }
        // One attempt per call, so that each failure is counted here.
        SiteRoute singleAttemptRoute = *route;
        singleAttemptRoute.maximumAttempts = 1;
        ForwardRequest request;
        request.id = reward.id;
        request.route = &singleAttemptRoute;
        request.pool = choosePool(*route, splitFractionOf(reward.id));
        const auto timeout = route->timeout.count() > 0 ? route->timeout : defaultRewardTimeout;
        request.deadline = m_clock.now() + timeout;
        request.buildMessage = [&](const AttemptContext& context) { return m_protocol.rewardRequest(reward, context); };
        const auto outcome = co_await m_forwarder.forward(std::move(request));
        const auto isSuccess = outcome.state == ForwardState::Answered && outcome.answer.status >= 200 && outcome.answer.status < 300;
        // Without a permit the call is repeated every few hundred milliseconds.
        if (outcome.attempts > 0)
            logRewardCall(held->assignment, outcome);
        if (held->isStopped)
            co_return;
        const bool hasFailed = outcome.state == ForwardState::Answered && outcome.answer.status == statusServerError;
        if (isSuccess || (hasFailed && ++failures >= std::max(1U, route->maximumAttempts))) {
            forget(held);
            m_observer.onRewardEnded(held->assignment, { isSuccess, isSuccess ? m_protocol.signature(outcome.answer.fields) : std::string() });
            co_return;
        }
        if (!hasFailed)
            co_await pause(m_executor, std::max<Duration>(rewardRetryDelay, outcome.retryAfter));
    }
}

void RunHolder::logRewardCall(const RunAssignment& assignment, const ForwardOutcome& outcome) const
{
    const auto& item = assignment.item();
    logEvent(Event::RewardCallEnded, { { "id", item.reward->id.value() }, { "item", item.id.value() }, { "submission", assignment.submission.id.value() }, { "state", std::string(name(outcome.state)) }, { "status", std::to_string(outcome.answer.status) }, { "attempts", std::to_string(outcome.attempts) }, { "cause", outcome.cause } });
}

} // namespace cicadalb
