#include "cicadalb/routing/PoolBalancer.h"

#include "AdmissionQueue.h"
#include "PickStrategy.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Bounds of the retry-after time of a refusal, before jitter.
    constexpr double minimumRetryAfterSeconds = 0.5;
    constexpr double maximumRetryAfterSeconds = 30;
    /// Largest random addition to the retry-after time, as a fraction of it.
    constexpr double retryAfterJitter = 1.0;
    /// A request is queued only if it would meet its deadline after this many times the expected wait, so that requests are rarely refused
    /// after waiting.
    constexpr double expectedWaitSafetyFactor = 2;
    /// Service time that is assumed until one has been measured, so that the first requests are spread by load.
    constexpr double assumedServiceSeconds = 0.001;
    /// If a larger fraction of the eligible targets have open circuits but still answer, with errors, these circuits are ignored.
    constexpr double maximumErroringFraction = 0.5;

    Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(Seconds(seconds));
    }

} // namespace

struct PoolBalancer::State {
    State(BalancerOptions balancerOptions, TimePoint now)
        : options(std::move(balancerOptions))
        , strategy(pickStrategy(options.policy))
        , queue(now)
        , arrivals(now)
        , completions(now)
    {
        random.seed(options.seed);
    }

    Pool pool;
    BalancerOptions options;
    const PickStrategy& strategy;
    Random random;
    std::vector<TargetState> targets;
    std::unordered_map<TargetId, std::size_t> targetIndexes;
    AdmissionQueue queue;
    QueueTicket lastTicket = 0;
    std::size_t pickCount = 0;
    /// Results of collectUsableTargets(): usable targets below and at their concurrency limits, and the lowest service time of both.
    std::vector<std::size_t> candidates;
    std::vector<std::size_t> full;
    double bestServiceSeconds = 0;
    RateMeter arrivals;
    RateMeter completions;

    void applyConfiguration();
    void eraseIdleRemovedTargets();
    TargetState* find(const TargetId&);
    void collectUsableTargets(const std::vector<TargetId>& excluded, TimePoint now);
    void addErroringTargets(TimePoint now);
    /// @return true if any target may serve the request
    bool findUsableTargets(const RequestRequirements&, TimePoint now);
    std::size_t usableCount() const { return candidates.size() + full.size(); }
    std::optional<std::size_t> pick(const RequestRequirements&, std::size_t waiting, TimePoint now);
    double lowestDelaySeconds(TimePoint now) const;
    double arrivalsPerCompletion(TimePoint now) { return arrivals.perSecond(now) / completions.perSecond(now); }
    /// True if the request would miss its deadline by completing in @p expectedSeconds.
    bool isTooLate(const RequestRequirements&, double expectedSeconds, TimePoint now) const;
    Admission admit(std::size_t index, TimePoint now);
    Admission enqueue(const RequestRequirements&);
    Admission refuse(ErrorCode, double expectedSeconds);
    Admission refuseWithoutUsableTarget(TimePoint now);
    /// @return false if no queued request can be admitted or refused now
    bool decideOneQueued(std::vector<QueueDecision>&, TimePoint now);
    void refuseLateRequests(std::vector<QueueDecision>&, TimePoint now);
};

void PoolBalancer::State::applyConfiguration()
{
    for (auto& state : targets)
        state.isRemoved = true;
    for (const auto& target : pool.targets) {
        auto* state = find(target.id);
        if (!state)
            state = &targets.emplace_back(target, pool.maximumInFlight, strategy.hasAdaptiveLimit);
        state->configure(target, pool.maximumInFlight, options.ownFailureDomain);
    }
    eraseIdleRemovedTargets();
}

void PoolBalancer::State::eraseIdleRemovedTargets()
{
    std::erase_if(targets, [](const auto& state) { return state.isRemoved && state.inFlight == 0; });
    targetIndexes.clear();
    for (std::size_t i = 0; i < targets.size(); ++i)
        targetIndexes.emplace(targets[i].id, i);
}

TargetState* PoolBalancer::State::find(const TargetId& id)
{
    const auto found = targetIndexes.find(id);
    return found == targetIndexes.end() ? nullptr : &targets[found->second];
}

void PoolBalancer::State::collectUsableTargets(const std::vector<TargetId>& excluded, TimePoint now)
{
    candidates.clear();
    full.clear();
    bestServiceSeconds = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        auto& state = targets[i];
        if (!state.isEligible())
            continue;
        if (!excluded.empty() && std::find(excluded.begin(), excluded.end(), state.id) != excluded.end())
            continue;
        const auto allowed = state.allowedInFlight(now);
        if (allowed == 0)
            continue;
        (state.inFlight < allowed ? candidates : full).push_back(i);
        state.load.refresh(now);
        const auto service = state.serviceTime.serviceSeconds();
        if (service > 0 && (bestServiceSeconds == 0 || service < bestServiceSeconds))
            bestServiceSeconds = service;
    }
    if (bestServiceSeconds == 0)
        bestServiceSeconds = assumedServiceSeconds;
}

/// Targets with open circuits that still answer, if only with errors, are used if no other target is usable or if they are too many to leave
/// out: the requests themselves may cause the errors.
void PoolBalancer::State::addErroringTargets(TimePoint now)
{
    std::size_t eligible = 0;
    std::vector<std::size_t> erroring;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!targets[i].isEligible())
            continue;
        ++eligible;
        if (targets[i].health.state(now) == CircuitState::Open && targets[i].health.isReachable())
            erroring.push_back(i);
    }
    if (usableCount() > 0 && static_cast<double>(erroring.size()) <= maximumErroringFraction * static_cast<double>(eligible))
        return;
    for (const auto index : erroring)
        (targets[index].inFlight < targets[index].limit.value() ? candidates : full).push_back(index);
}

bool PoolBalancer::State::findUsableTargets(const RequestRequirements& requirements, TimePoint now)
{
    collectUsableTargets(requirements.excluded, now);
    if (usableCount() == 0 && !requirements.excluded.empty())
        collectUsableTargets({}, now);
    if (usableCount() < targets.size())
        addErroringTargets(now);
    return usableCount() > 0;
}

std::optional<std::size_t> PoolBalancer::State::pick(const RequestRequirements& requirements, std::size_t waiting, TimePoint now)
{
    if (candidates.empty())
        return std::nullopt;
    return strategy.pick({ targets, candidates, full, bestServiceSeconds, requirements, waiting, now, random, pickCount++ });
}

double PoolBalancer::State::lowestDelaySeconds(TimePoint now) const
{
    auto least = std::numeric_limits<double>::infinity();
    for (const auto* indexes : { &candidates, &full }) {
        for (const auto index : *indexes)
            least = std::min(least, targets[index].expectedDelay(bestServiceSeconds, now).total());
    }
    return least;
}

bool PoolBalancer::State::isTooLate(const RequestRequirements& requirements, double expectedSeconds, TimePoint now) const
{
    return Seconds(requirements.deadline - now).count() < expectedSeconds;
}

Admission PoolBalancer::State::admit(std::size_t index, TimePoint now)
{
    targets[index].recordStart(now);
    Admission admission;
    admission.kind = AdmissionKind::Admitted;
    admission.target = targets[index].id;
    admission.averageLatency = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(targets[index].serviceTime.latencySeconds()));
    return admission;
}

Admission PoolBalancer::State::enqueue(const RequestRequirements& requirements)
{
    Admission admission;
    admission.kind = AdmissionKind::Queued;
    admission.ticket = ++lastTicket;
    queue.push({ admission.ticket, requirements });
    return admission;
}

Admission PoolBalancer::State::refuse(ErrorCode reason, double expectedSeconds)
{
    Admission admission;
    admission.kind = AdmissionKind::Refused;
    admission.reason = reason;
    const auto base = std::clamp(expectedSeconds, minimumRetryAfterSeconds, maximumRetryAfterSeconds);
    admission.retryAfter = toDuration(base * (1 + retryAfterJitter * randomUnit(random)));
    return admission;
}

Admission PoolBalancer::State::refuseWithoutUsableTarget(TimePoint now)
{
    auto seconds = maximumRetryAfterSeconds;
    for (const auto& state : targets) {
        if (state.isEligible())
            seconds = std::min(seconds, Seconds(state.health.openUntil() - now).count());
    }
    return refuse(ErrorCode::NoTargetAvailable, seconds);
}

void PoolBalancer::State::refuseLateRequests(std::vector<QueueDecision>& decisions, TimePoint now)
{
    if (queue.size() == 0)
        return;
    if (!findUsableTargets({}, now)) {
        for (const auto& request : queue.removeIf([](const QueuedRequest&, std::size_t) { return true; }))
            decisions.push_back({ request.ticket, refuseWithoutUsableTarget(now) });
        return;
    }
    const auto service = lowestDelaySeconds(now);
    const auto late = queue.removeIf([&](const QueuedRequest& request, std::size_t position) {
        return isTooLate(request.requirements, service + queue.expectedWaitSeconds(request.requirements.priority, position, completions.perSecond(now), now), now);
    });
    for (const auto& request : late)
        decisions.push_back({ request.ticket, refuse(ErrorCode::Overloaded, service) });
}

/// If waiting for faster targets is better for all requests of a priority, a slow target is offered to the next lower priority.
bool PoolBalancer::State::decideOneQueued(std::vector<QueueDecision>& decisions, TimePoint now)
{
    for (const auto priority : queue.serviceOrder()) {
        const auto& waiting = queue.waiting(priority);
        if (waiting.front().requirements.deadline <= now) {
            decisions.push_back({ queue.popFront(priority).ticket, refuse(ErrorCode::Overloaded, 0) });
            return true;
        }
        if (!findUsableTargets(waiting.front().requirements, now))
            return false;
        if (const auto index = pick(waiting.front().requirements, queue.sizeAbove(priority) + waiting.size() - 1, now)) {
            decisions.push_back({ queue.popFront(priority).ticket, admit(*index, now) });
            return true;
        }
    }
    return false;
}

PoolBalancer::PoolBalancer(Pool pool, BalancerOptions options, TimePoint now)
    : m_state(std::make_unique<State>(std::move(options), now))
{
    update(pool, now);
}

PoolBalancer::~PoolBalancer() = default;
PoolBalancer::PoolBalancer(PoolBalancer&&) noexcept = default;
PoolBalancer& PoolBalancer::operator=(PoolBalancer&&) noexcept = default;

Admission PoolBalancer::request(const RequestRequirements& requirements, TimePoint now)
{
    auto& state = *m_state;
    state.arrivals.record(now);
    if (!state.findUsableTargets(requirements, now))
        return state.refuseWithoutUsableTarget(now);
    if (requirements.deadline <= now)
        return state.refuse(ErrorCode::Overloaded, 0);
    const auto position = state.queue.waiting(requirements.priority).size();
    const auto ahead = position + state.queue.sizeAbove(requirements.priority);
    // With requests ahead in the queue, this one may only take a target that they pass over to wait for faster ones.
    if (ahead == 0 || state.strategy.hasAdaptiveLimit) {
        if (const auto index = state.pick(requirements, ahead, now)) {
            state.queue.recordArrival(requirements.priority, now);
            return state.admit(*index, now);
        }
    }
    const auto service = state.lowestDelaySeconds(now);
    const auto wait = state.queue.expectedWaitSeconds(requirements.priority, position, state.completions.perSecond(now), now);
    if (position >= state.options.maximumQueueLength || state.isTooLate(requirements, service + expectedWaitSafetyFactor * wait, now))
        return state.refuse(ErrorCode::Overloaded, service + wait);
    state.queue.recordArrival(requirements.priority, now);
    return state.enqueue(requirements);
}

std::vector<QueueDecision> PoolBalancer::recordCompletion(const TargetId& id, const Completion& completion, TimePoint now)
{
    auto& state = *m_state;
    state.completions.record(now);
    if (auto* target = state.find(id)) {
        target->recordEnd(completion, state.arrivalsPerCompletion(now), now, state.random);
        if (target->isRemoved && target->inFlight == 0)
            state.eraseIdleRemovedTargets();
    }
    std::vector<QueueDecision> decisions;
    while (state.queue.size() > 0 && state.decideOneQueued(decisions, now)) { }
    return decisions;
}

bool PoolBalancer::withdraw(QueueTicket ticket, TimePoint)
{
    return m_state->queue.remove(ticket);
}

std::vector<QueueDecision> PoolBalancer::tick(TimePoint now)
{
    auto& state = *m_state;
    std::vector<QueueDecision> decisions;
    while (state.queue.size() > 0 && state.decideOneQueued(decisions, now)) { }
    state.refuseLateRequests(decisions, now);
    return decisions;
}

std::vector<QueueDecision> PoolBalancer::refuseQueued()
{
    std::vector<QueueDecision> decisions;
    for (const auto& request : m_state->queue.removeIf([](const QueuedRequest&, std::size_t) { return true; }))
        decisions.push_back({ request.ticket, m_state->refuse(ErrorCode::Overloaded, 0) });
    return decisions;
}

void PoolBalancer::update(const Pool& pool, TimePoint)
{
    m_state->pool = pool;
    m_state->applyConfiguration();
}

void PoolBalancer::reportLoad(const TargetId& id, const LoadReport& report, TimePoint now)
{
    if (auto* target = m_state->find(id))
        target->recordReport(report, now);
}

void PoolBalancer::setLeaving(const TargetId& id, bool isLeaving, TimePoint)
{
    if (auto* target = m_state->find(id))
        target->isListedAsLeaving = isLeaving;
}

std::size_t PoolBalancer::queueLength() const noexcept
{
    return m_state->queue.size();
}

std::vector<TargetView> PoolBalancer::targets(TimePoint now) const
{
    std::vector<TargetView> views;
    for (const auto& state : m_state->targets)
        views.push_back(state.view(now));
    return views;
}

} // namespace cicadalb
