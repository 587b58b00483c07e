#include "RequestForwarder.h"

#include "Pause.h"

#include "cicadalb/base/EnumTable.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/routing/RunState.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <set>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// No attempt is started with less time than this before the deadline.
    constexpr milliseconds minimumAttemptTime { 15 };
    /// Timeout of an attempt that may be repeated, as a multiple of the route's target latency ...
    constexpr double attemptTimeoutInLatencyObjectives = 1.5;
    /// ... but at most this share of the time before the deadline, so that time is left for another attempt.
    constexpr double maximumAttemptTimeShare = 0.55;
    /// Limit on attempts that did not run the request; they do not count towards the route's attempts.
    constexpr unsigned maximumAttemptsNotRun = 4;
    /// Additional latency that is accepted to reuse a connection, as a share of the route's target latency.
    constexpr double affinityWaitShare = 0.25;
    /// Callers are asked to retry a refused request after at most the remaining time divided by this.
    constexpr int retryAfterDivisor = 6;
    /// A request waits for a permit for at most the remaining time divided by this.
    constexpr int permitWaitDivisor = 4;
    /// A request is sent to no further target in this call once so many targets have crashed under it, in this call or before.
    constexpr unsigned crashesToStop = 2;
    /// Retry-After of a request that crashes targets.
    constexpr std::chrono::seconds blockedRetryAfter { 60 };
    /// Time allowed for the connection that shows whether a target still listens.
    constexpr milliseconds crashProbeTimeout { 100 };
    /// Retry-After of a request that may not be sent; this host looks for newer records several times a second.
    constexpr milliseconds withheldRetryAfter { 300 };
    constexpr unsigned firstServerErrorStatus = 500;
    constexpr unsigned firstNormalPriority = 1;

    constexpr auto stateNames = std::to_array<EnumName<ForwardState>>({
        { ForwardState::Answered, "answered" },
        { ForwardState::NotRun, "not-run" },
        { ForwardState::Unknown, "unknown" },
        { ForwardState::Abandoned, "abandoned" },
    });

    Priority priorityOf(const ForwardRequest& request)
    {
        return request.priority.value_or(request.route->priority) < firstNormalPriority ? Priority::Interactive : Priority::Normal;
    }

    bool isIdempotent(const SiteRoute& route) { return route.kind == RequestKind::Idempotent; }

} // namespace

std::string_view name(ForwardState state) noexcept { return nameIn(stateNames, state); }
std::optional<ForwardState> forwardStateNamed(std::string_view name) noexcept { return valueIn(stateNames, name); }

const PoolName& choosePool(const SiteRoute& route, double fraction)
{
    static const PoolName none;
    double totalWeight = 0;
    for (const auto& share : route.pools)
        totalWeight += share.weight;
    auto remainingWeight = fraction * totalWeight;
    for (const auto& share : route.pools) {
        remainingWeight -= share.weight;
        if (remainingWeight < 0)
            return share.pool;
    }
    return route.pools.empty() ? none : route.pools.back().pool;
}

/// State of a request across its attempts.
struct RequestForwarder::Progress {
    explicit Progress(const SiteRoute& route)
        : run(isIdempotent(route))
    {
    }
    RequestRun run;
    ForwardOutcome outcome;
    /// A target's server error, returned to the caller unless another target answers without one.
    std::optional<HttpResponse> serverErrorResponse;
    std::vector<TargetId> usedTargets;
    /// Targets that have reached their limit on requests a second, and the shortest time until one of them accepts a request.
    std::set<TargetId> exhaustedTargets;
    Duration untilNextPermit = Duration::max();
    /// Targets whose entry in the store differs from the one that this host knows.
    std::set<TargetId> changedTargets;
    unsigned attemptsNotRun = 0;
    bool hasRelayed = false;
    /// Attempts that another host made; the call to it counts as one in RequestRun.
    unsigned relayedAttempts = 0;
};

struct RequestForwarder::Attempt {
    CompletionKind kind = CompletionKind::Lost;
    AnswerKind answer = AnswerKind::Unusable;
    HttpResponse response;
    std::string cause;
    /// Whether ForwardRequest::mayBeSent prevented the write.
    bool isWithheld = false;
};

ForwardRequest makeForwardRequest(const HttpRequest& message, const SiteRoute& route, const SiteProtocol& protocol, const OrganisationName& organisation)
{
    /// Longest wait for a target that has reached its request rate, as a share of the route's target latency.
    constexpr double permitWaitInLatencyObjectives = 0.5;
    ForwardRequest request;
    request.id = protocol.attemptId(message.fields);
    request.route = &route;
    request.maximumPermitWait = std::chrono::duration_cast<Duration>(route.latencyObjective * permitWaitInLatencyObjectives);
    request.organisation = organisation;
    request.fingerprint = [&protocol, &message, organisation] {
        const auto identity = protocol.requestIdentity(message);
        return RequestFingerprint(sha256Hex(organisation.isEmpty() ? identity : organisation.value() + "\n" + identity));
    };
    request.buildMessage = [&protocol, &message](const AttemptContext& context) { return protocol.forwardedRequest(message, context); };
    request.cancellation = std::make_shared<HttpCancellation>();
    return request;
}

RequestForwarder::RequestForwarder(SiteDirectory& directory, const SiteProtocol& protocol, TargetClients& clients, RequestPermits& permits, CrashGuard& crashGuard, const Clock& clock, TargetReachability* reachability)
    : m_directory(directory)
    , m_protocol(protocol)
    , m_clients(clients)
    , m_permits(permits)
    , m_crashGuard(crashGuard)
    , m_clock(clock)
    , m_reachability(reachability)
{
}

Task<ForwardOutcome> RequestForwarder::forward(ForwardRequest request)
{
    Progress progress(*request.route);
    bool shouldRetry = !isBlocked(request, progress);
    while (shouldRetry) {
        if (request.cancellation && request.cancellation->isCancelled()) {
            progress.outcome.state = ForwardState::Abandoned;
            break;
        }
        if (shouldRelay(request, progress))
            shouldRetry = co_await relay(request, progress);
        else
            shouldRetry = co_await attempt(request, progress);
    }
    auto& outcome = progress.outcome;
    outcome.attempts = progress.run.attempts() + progress.relayedAttempts - (progress.hasRelayed ? 1 : 0);
    outcome.isKnownNotRun = progress.run.isKnownNotRun();
    if (outcome.state == ForwardState::Answered || outcome.state == ForwardState::Abandoned)
        co_return std::move(outcome);
    if (progress.serverErrorResponse) {
        outcome.state = ForwardState::Answered;
        outcome.answer = std::move(*progress.serverErrorResponse);
    } else {
        outcome.state = progress.run.isKnownNotRun() ? ForwardState::NotRun : ForwardState::Unknown;
    }
    co_return std::move(outcome);
}

bool RequestForwarder::shouldRelay(const ForwardRequest& request, const Progress& progress) const
{
    const bool isPossible = m_reachability && m_reachability->isCutOff() && request.relay && !progress.hasRelayed;
    return isPossible && progress.run.mayAttempt() && request.deadline - m_clock.now() >= minimumAttemptTime;
}

bool RequestForwarder::mayBeSent(const ForwardRequest& request, Progress& progress)
{
    if (!request.mayBeSent || request.mayBeSent())
        return true;
    recordWithheld(request, progress);
    return false;
}

void RequestForwarder::recordWithheld(const ForwardRequest& request, Progress& progress)
{
    progress.outcome.cause = std::string(request.withheldCause);
    progress.outcome.retryAfter = withheldRetryAfter;
}

Task<bool> RequestForwarder::relay(const ForwardRequest& request, Progress& progress)
{
    const auto attemptsUsed = progress.run.attempts() - progress.attemptsNotRun;
    const auto maximumAttempts = std::max(1U, request.route->maximumAttempts);
    if (attemptsUsed >= maximumAttempts) {
        progress.outcome.cause = "no attempts left";
        co_return false;
    }
    progress.hasRelayed = true;
    if (!mayBeSent(request, progress))
        co_return false;
    progress.run.beginAttempt();
    auto relayed = co_await request.relay(maximumAttempts - attemptsUsed);
    if (!relayed) {
        progress.run.recordNotRun();
        ++progress.attemptsNotRun;
        progress.outcome.cause = "neither targets nor hosts that forward requests can be reached";
        co_return true;
    }
    progress.relayedAttempts = relayed->attempts;
    logEvent(Event::RequestRelayed, { { "id", request.id.value() }, { "route", request.route->name.value() }, { "state", std::string(name(relayed->state)) }, { "status", std::to_string(relayed->answer.status) }, { "attempts", std::to_string(relayed->attempts) }, { "cause", relayed->cause } });
    if (relayed->state == ForwardState::Answered)
        progress.run.recordAnswer();
    else if (relayed->state == ForwardState::NotRun)
        progress.run.recordNotRun();
    else
        progress.run.recordLoss();
    progress.outcome = std::move(*relayed);
    co_return false;
}

Task<bool> RequestForwarder::updateReachability(const RegisteredTarget& target, const Attempt& attempt, TimePoint deadline)
{
    const bool hasFailed = attempt.response.status == 0 && (attempt.kind == CompletionKind::Lost || attempt.kind == CompletionKind::NotRun);
    if (!m_reachability)
        co_return false;
    if (attempt.response.status != 0)
        m_reachability->recordAnswer();
    if (!hasFailed)
        co_return false;
    if (deadline - m_clock.now() >= minimumAttemptTime)
        co_return co_await m_reachability->examineFailure(target.id);
    // The caller does not wait for a result that comes too late for it.
    const auto isCutOff = m_reachability->isCutOff();
    m_reachability->beginExamination(target.id);
    co_return isCutOff;
}

TimePoint RequestForwarder::attemptDeadline(const ForwardRequest& request, const Progress& progress, TimePoint now) const
{
    const auto& route = *request.route;
    if (!isIdempotent(route) || progress.run.attempts() + 1 >= std::max(1U, route.maximumAttempts))
        return request.deadline;
    const auto timeout = std::chrono::duration_cast<Duration>(route.latencyObjective * attemptTimeoutInLatencyObjectives);
    const auto maximum = std::chrono::duration_cast<Duration>((request.deadline - now) * maximumAttemptTimeShare);
    return now + std::min(timeout, maximum);
}

void RequestForwarder::logAttempt(const ForwardRequest& request, const RegisteredTarget& target, const Attempt& attempt, Duration latency) const
{
    logEvent(Event::AttemptEnded, { { "id", request.id.value() }, { "route", request.route->name.value() }, { "target", target.id.value() }, { "registry", std::to_string(m_directory.registryRevision()) }, { "answer", std::string(name(attempt.answer)) }, { "status", std::to_string(attempt.response.status) }, { "ms", std::to_string(std::chrono::duration_cast<milliseconds>(latency).count()) }, { "cause", attempt.cause } });
}

void RequestForwarder::settleUsage(UsageCounter::Mark mark, const ForwardRequest& request, const Attempt& attempt) const
{
    if (attempt.kind == CompletionKind::NotRun) {
        m_usage->withdraw(mark);
        return;
    }
    if (attempt.response.status == 0)
        return;
    // A target begins a plain request when it receives it, and a stream with the first event, which comes with the header.
    const auto beganAt = request.route->kind == RequestKind::Stream ? attempt.response.headAt : attempt.response.sentAt;
    m_usage->correct(mark, m_usage->now() - std::chrono::duration_cast<WallTime::duration>(std::chrono::steady_clock::now() - beganAt));
}

bool RequestForwarder::isBlocked(const ForwardRequest& request, Progress& progress) const
{
    if (!request.fingerprint || !m_crashGuard.hasSuspects() || !m_crashGuard.suspicion(request.fingerprint()).isBlocked)
        return false;
    progress.outcome.cause = "targets have crashed each time that they ran it";
    progress.outcome.retryAfter = blockedRetryAfter;
    return true;
}

Task<bool> RequestForwarder::examineLoss(const ForwardRequest& request, Progress& progress, const RegisteredTarget& target, bool hasTimedOut)
{
    // A target that does not answer may be cut off or slow; one that closes the connection may have been told to.
    if (!request.fingerprint || hasTimedOut)
        co_return true;
    const auto client = m_clients.client(0, target.endpoint);
    if (!co_await client->refusesConnections(crashProbeTimeout))
        co_return true;
    const auto fingerprint = request.fingerprint();
    m_crashGuard.recordCrash(target, fingerprint);
    co_await m_crashGuard.refresh();
    if (m_crashGuard.suspicion(fingerprint).crashes < crashesToStop)
        co_return true;
    progress.outcome.cause = "targets crashed while they ran it";
    co_return false;
}

Task<bool> RequestForwarder::awaitPermit(const ForwardRequest& request, Progress& progress, const RegisteredTarget& target)
{
    const auto remaining = request.deadline - m_clock.now();
    const auto decision = co_await m_permits.acquire(target, std::min(request.maximumPermitWait, remaining / permitWaitDivisor));
    if (!decision.isGranted) {
        progress.exhaustedTargets.insert(target.id);
        progress.untilNextPermit = std::min(progress.untilNextPermit, decision.wait);
        co_return false;
    }
    if (decision.wait > Duration::zero())
        co_await pause(co_await boost::asio::this_coro::executor, decision.wait);
    co_return true;
}

bool RequestForwarder::hasRequiredRelease(const ForwardRequest& request, const RegisteredTarget& target)
{
    return !request.requiredRelease || SoftwareRelease { target.pool, target.softwareVersion }.isCompatibleWith(*request.requiredRelease);
}

Task<RequestForwarder::ReleaseCheck> RequestForwarder::checkRelease(const ForwardRequest& request, Progress& progress, RegisteredTarget target)
{
    if (!request.requiredRelease)
        co_return ReleaseCheck::Passed;
    progress.outcome.cause = "no target runs the software that began the stream";
    // A target that was restarted or missing for a moment is registered again by then.
    progress.outcome.retryAfter = TargetRegistry::reregistrationGracePeriod;
    // The balancer returns an excluded target only if there is no other one.
    if (!hasRequiredRelease(request, target) || progress.changedTargets.contains(target.id))
        co_return ReleaseCheck::NoTarget;
    const auto isUnchanged = co_await m_directory.isUnchanged(target);
    if (!isUnchanged) {
        progress.outcome.cause = "the software of the target cannot be looked up: " + isUnchanged.error().message;
        co_return ReleaseCheck::NoTarget;
    }
    if (isUnchanged.value())
        co_return ReleaseCheck::Passed;
    progress.changedTargets.insert(target.id);
    co_return ReleaseCheck::OtherTarget;
}

RequestRequirements RequestForwarder::requirementsOf(const ForwardRequest& request, const Progress& progress) const
{
    RequestRequirements requirements;
    requirements.priority = priorityOf(request);
    requirements.deadline = request.deadline;
    requirements.affinity = request.affinity;
    requirements.maximumAffinityDelay = std::chrono::duration_cast<Duration>(request.route->latencyObjective * affinityWaitShare);
    requirements.excluded = progress.usedTargets;
    requirements.excluded.insert(requirements.excluded.end(), progress.exhaustedTargets.begin(), progress.exhaustedTargets.end());
    requirements.excluded.insert(requirements.excluded.end(), progress.changedTargets.begin(), progress.changedTargets.end());
    for (auto& target : m_permits.exhaustedTargets(request.maximumPermitWait))
        requirements.excluded.push_back(std::move(target));
    for (const auto& [id, target] : m_directory.registry().targets()) {
        if (target.pool == request.pool && !hasRequiredRelease(request, target))
            requirements.excluded.push_back(id);
    }
    return requirements;
}

/// @return whether another attempt makes sense
Task<bool> RequestForwarder::attempt(const ForwardRequest& request, Progress& progress)
{
    auto& outcome = progress.outcome;
    const auto& route = *request.route;
    const bool hasAttemptsLeft = progress.run.attempts() < std::max(1U, route.maximumAttempts) + progress.attemptsNotRun;
    if (!progress.run.mayAttempt() || !hasAttemptsLeft || progress.attemptsNotRun > maximumAttemptsNotRun) {
        if (outcome.cause.empty())
            outcome.cause = "no attempts left";
        co_return false;
    }
    if (request.deadline - m_clock.now() < minimumAttemptTime) {
        outcome.cause = "too little time left for an attempt";
        co_return false;
    }
    const auto balancer = m_directory.balancer(request.pool);
    const Completion abandoned { CompletionKind::Abandoned };
    const auto admission = co_await balancer->admit(requirementsOf(request, progress));
    if (admission.kind != AdmissionKind::Admitted) {
        outcome.cause = std::string(name(admission.reason));
        outcome.retryAfter = std::min(admission.retryAfter, (request.deadline - m_clock.now()) / retryAfterDivisor);
        co_return false;
    }
    if (progress.exhaustedTargets.contains(admission.target)) {
        // The balancer returns an excluded target only if there is no other one.
        balancer->recordCompletion(admission.target, abandoned);
        outcome.cause = "all targets have reached the request rates that they state";
        outcome.retryAfter = progress.untilNextPermit;
        co_return false;
    }
    const auto* registered = m_directory.registry().find(admission.target);
    if (registered && m_permits.isLimited(*registered)) {
        const auto limited = *registered;
        if (!co_await awaitPermit(request, progress, limited)) {
            balancer->recordCompletion(admission.target, abandoned);
            co_return true;
        }
        registered = m_directory.registry().find(admission.target);
    }
    if (request.cancellation && request.cancellation->isCancelled()) {
        balancer->recordCompletion(admission.target, abandoned);
        outcome.state = ForwardState::Abandoned;
        co_return false;
    }
    if (!registered || registered->isDraining) {
        balancer->recordCompletion(admission.target, abandoned);
        ++progress.attemptsNotRun;
        co_return true;
    }
    const auto target = *registered;
    if (const auto check = co_await checkRelease(request, progress, target); check != ReleaseCheck::Passed) {
        balancer->recordCompletion(admission.target, abandoned);
        co_return check == ReleaseCheck::OtherTarget;
    }
    if (!mayBeSent(request, progress)) {
        balancer->recordCompletion(admission.target, abandoned);
        co_return false;
    }
    outcome.release = { target.pool, target.softwareVersion };
    const auto startedAt = m_clock.now();
    progress.usedTargets.push_back(target.id);
    progress.run.beginAttempt();
    const auto timeout = attemptDeadline(request, progress, startedAt);
    const auto usageMark = m_usage ? m_usage->begin(request.organisation) : std::nullopt;
    auto result = co_await exchange(request, target, timeout, request.deadline - startedAt);
    if (usageMark)
        settleUsage(*usageMark, request, result);
    const auto latency = m_clock.now() - startedAt;
    // An answer of another target at the same address says nothing about this one.
    if (result.answer != AnswerKind::Misdirected && m_protocol.isLeaving(result.response.fields))
        m_directory.markLeaving(target);
    if (const auto load = m_protocol.loadReport(result.response.fields))
        balancer->reportLoad(target.id, *load);
    const bool hasTimedOut = m_clock.now() >= timeout;
    const Completion completion { result.kind, latency, m_clock.now() >= request.deadline };
    logAttempt(request, target, result, latency);
    if (result.isWithheld) {
        // This says nothing about the target.
        balancer->recordCompletion(target.id, abandoned);
        if (result.kind == CompletionKind::NotRun) {
            progress.run.recordNotRun();
            ++progress.attemptsNotRun;
        } else {
            progress.run.recordLoss();
        }
        recordWithheld(request, progress);
        co_return false;
    }
    const bool isCutOff = co_await updateReachability(target, result, request.deadline);
    balancer->recordCompletion(target.id, isCutOff ? abandoned : completion);
    if (result.answer == AnswerKind::Answered && request.fingerprint && m_crashGuard.hasSuspects())
        m_crashGuard.recordAnswer(request.fingerprint());
    if (conclude(*request.route, progress, result))
        co_return false;
    if (result.kind != CompletionKind::Lost || isCutOff)
        co_return true;
    // A target that answered, if not usably, has not ended.
    co_return co_await examineLoss(request, progress, target, hasTimedOut || result.response.status != 0);
}

/// Records the end of an attempt. @return whether the request ends with it
bool RequestForwarder::conclude(const SiteRoute& route, Progress& progress, Attempt& result)
{
    auto& outcome = progress.outcome;
    switch (result.kind) {
    case CompletionKind::ServerError:
        if (isIdempotent(route) && progress.run.attempts() < route.maximumAttempts + progress.attemptsNotRun) {
            // Returned to the caller unless another target answers without an error.
            progress.serverErrorResponse = std::move(result.response);
            progress.run.recordLoss();
            outcome.cause = "the target answered with a server error";
            return false;
        }
        [[fallthrough]];
    case CompletionKind::Succeeded:
        progress.run.recordAnswer();
        outcome.state = ForwardState::Answered;
        outcome.answer = std::move(result.response);
        return true;
    case CompletionKind::NotRun:
        progress.run.recordNotRun();
        ++progress.attemptsNotRun;
        outcome.cause = result.cause;
        return false;
    case CompletionKind::Abandoned:
        progress.run.recordLoss();
        outcome.state = ForwardState::Abandoned;
        return true;
    case CompletionKind::Lost:
        progress.run.recordLoss();
        outcome.cause = result.cause;
        return false;
    }
    return true;
}

Task<RequestForwarder::Attempt> RequestForwarder::exchange(const ForwardRequest& request, const RegisteredTarget& target, TimePoint deadline, Duration remaining)
{
    Attempt attempt;
    const auto client = m_clients.client(0, target.endpoint);
    const AttemptContext context { target.id, std::chrono::duration_cast<milliseconds>(remaining), request.organisation };
    auto message = request.buildMessage(context);
    // A repeat on another connection would be a second request to the target, for which there is no permit.
    message.mayRepeat = isIdempotent(*request.route) && !m_permits.isLimited(target);
    if (request.mayBeSent) {
        message.mayBeSent = [&request, &attempt] {
            attempt.isWithheld = !request.mayBeSent();
            return !attempt.isWithheld;
        };
    }
    const auto sentAt = m_clock.now();
    auto response = co_await client->send(std::move(message), deadline, request.cancellation);
    if (!response) {
        const bool isCallerGone = request.cancellation && request.cancellation->isCancelled();
        attempt.kind = isCallerGone ? CompletionKind::Abandoned : CompletionKind::Lost;
        if (response.error().code == ErrorCode::NotSent && !isCallerGone)
            attempt.kind = CompletionKind::NotRun;
        attempt.cause = response.error().message;
        co_return attempt;
    }
    attempt.response = std::move(response.value());
    attempt.answer = m_protocol.classifyAnswer(attempt.response, request.id);
    m_permits.observe(target, attempt.answer, attempt.response.fields, sentAt);
    switch (attempt.answer) {
    case AnswerKind::Answered:
        attempt.kind = attempt.response.status >= firstServerErrorStatus ? CompletionKind::ServerError : CompletionKind::Succeeded;
        break;
    case AnswerKind::NotRun:
    case AnswerKind::Misdirected:
        attempt.kind = CompletionKind::NotRun;
        attempt.cause = "the target did not run the request";
        break;
    case AnswerKind::Unusable:
        attempt.kind = CompletionKind::Lost;
        attempt.cause = "the answer cannot be attributed to this request";
        break;
    }
    co_return attempt;
}

} // namespace cicadalb
