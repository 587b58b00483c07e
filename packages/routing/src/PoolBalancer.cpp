#include "cicadalb/routing/PoolBalancer.h"

#include "AdmissionQueue.h"
#include "PickStrategy.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Bounds of the time after which a refused caller may come back.
    constexpr double shortestRetryAfterSeconds = 0.5;
    constexpr double longestRetryAfterSeconds = 30;
    /// Range of the jitter on that time, as parts of it.
    constexpr double retryAfterSpread = 1.0;
    /// A request queues only if it would make its deadline with a wait so many times as long as expected, so that it is hardly ever
    /// refused after waiting.
    constexpr double queueCaution = 2;
    /// Service time that is assumed until one is known, so that the first requests spread by load.
    constexpr double assumedServiceSeconds = 0.001;
    /// Share of error-answering targets above which their open circuits are ignored.
    constexpr double largestErroringShare = 0.5;

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
        , demands(now)
        , freedPlaces(now)
    {
        random.seed(options.seed);
    }

    Pool pool;
    BalancerOptions options;
    const PickStrategy& strategy;
    Random random;
    std::vector<TargetState> targets;
    std::unordered_map<TargetId, std::size_t> indexes;
    AdmissionQueue queue;
    QueueTicket lastTicket = 0;
    std::size_t turn = 0;
    /// Results of collect(): targets with room, others that may serve, and the least service time of both.
    std::vector<std::size_t> candidates;
    std::vector<std::size_t> full;
    double bestService = 0;
    RateMeter demands;
    RateMeter freedPlaces;

    void applyTargets();
    void eraseIdleRemoved();
    TargetState* find(const TargetId&);
    void collect(const std::vector<TargetId>& excluded, TimePoint now);
    void addErroring(TimePoint now);
    bool isServed(const Demand&, TimePoint now);
    std::size_t servingCount() const { return candidates.size() + full.size(); }
    std::optional<std::size_t> pick(const Demand&, std::size_t waiting, TimePoint now);
    double leastDelay(TimePoint now) const;
    /// Requests that arrive for each that is served.
    double pressure(TimePoint now) { return demands.perSecond(now) / freedPlaces.perSecond(now); }
    bool isTooLate(const Demand&, double seconds, TimePoint now) const;
    Admission admit(std::size_t index, TimePoint now);
    Admission enqueue(const Demand&);
    Admission refuse(ErrorCode, double expectedSeconds);
    Admission refuseUnserved(TimePoint now);
    /// @return false if no queued request's turn has come
    bool decideOneQueued(std::vector<QueueDecision>&, TimePoint now);
    void refuseLate(std::vector<QueueDecision>&, TimePoint now);
};

void PoolBalancer::State::applyTargets()
{
    for (auto& state : targets)
        state.isRemoved = true;
    for (const auto& target : pool.targets) {
        auto* state = find(target.id);
        if (!state)
            state = &targets.emplace_back(target, pool.maximumInFlight, strategy.hasAdaptiveLimit);
        state->configure(target, pool.maximumInFlight, options.ownFailureDomain);
    }
    eraseIdleRemoved();
}

void PoolBalancer::State::eraseIdleRemoved()
{
    std::erase_if(targets, [](const auto& state) { return state.isRemoved && state.inFlight == 0; });
    indexes.clear();
    for (std::size_t i = 0; i < targets.size(); ++i)
        indexes.emplace(targets[i].id, i);
}

TargetState* PoolBalancer::State::find(const TargetId& id)
{
    const auto found = indexes.find(id);
    return found == indexes.end() ? nullptr : &targets[found->second];
}

void PoolBalancer::State::collect(const std::vector<TargetId>& excluded, TimePoint now)
{
    candidates.clear();
    full.clear();
    bestService = 0;
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
        const auto service = state.speed.serviceSeconds();
        if (service > 0 && (bestService == 0 || service < bestService))
            bestService = service;
    }
    if (bestService == 0)
        bestService = assumedServiceSeconds;
}

/// Targets that answer with errors serve when they are too many to leave out: their errors may be the requests' own.
void PoolBalancer::State::addErroring(TimePoint now)
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
    if (servingCount() > 0 && static_cast<double>(erroring.size()) <= largestErroringShare * static_cast<double>(eligible))
        return;
    for (const auto index : erroring)
        (targets[index].inFlight < targets[index].limit.value() ? candidates : full).push_back(index);
}

bool PoolBalancer::State::isServed(const Demand& demand, TimePoint now)
{
    collect(demand.excluded, now);
    if (servingCount() == 0 && !demand.excluded.empty())
        collect({}, now);
    if (servingCount() < targets.size())
        addErroring(now);
    return servingCount() > 0;
}

std::optional<std::size_t> PoolBalancer::State::pick(const Demand& demand, std::size_t waiting, TimePoint now)
{
    if (candidates.empty())
        return std::nullopt;
    return strategy.pick({ targets, candidates, full, bestService, demand, waiting, now, random, turn++ });
}

double PoolBalancer::State::leastDelay(TimePoint now) const
{
    auto least = std::numeric_limits<double>::infinity();
    for (const auto* group : { &candidates, &full }) {
        for (const auto index : *group)
            least = std::min(least, targets[index].expectedDelay(bestService, now).total());
    }
    return least;
}

bool PoolBalancer::State::isTooLate(const Demand& demand, double seconds, TimePoint now) const
{
    return Seconds(demand.deadline - now).count() < seconds;
}

Admission PoolBalancer::State::admit(std::size_t index, TimePoint now)
{
    targets[index].begin(now);
    Admission admission;
    admission.kind = AdmissionKind::Admitted;
    admission.target = targets[index].id;
    admission.usualLatency = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(targets[index].speed.latencySeconds()));
    return admission;
}

Admission PoolBalancer::State::enqueue(const Demand& demand)
{
    Admission admission;
    admission.kind = AdmissionKind::Queued;
    admission.ticket = ++lastTicket;
    queue.push({ admission.ticket, demand });
    return admission;
}

Admission PoolBalancer::State::refuse(ErrorCode reason, double expectedSeconds)
{
    Admission admission;
    admission.kind = AdmissionKind::Refused;
    admission.reason = reason;
    const auto base = std::clamp(expectedSeconds, shortestRetryAfterSeconds, longestRetryAfterSeconds);
    admission.retryAfter = toDuration(base * (1 + retryAfterSpread * randomUnit(random)));
    return admission;
}

Admission PoolBalancer::State::refuseUnserved(TimePoint now)
{
    auto seconds = longestRetryAfterSeconds;
    for (const auto& state : targets) {
        if (state.isEligible())
            seconds = std::min(seconds, Seconds(state.health.openUntil() - now).count());
    }
    return refuse(ErrorCode::NoTargetAvailable, seconds);
}

void PoolBalancer::State::refuseLate(std::vector<QueueDecision>& decisions, TimePoint now)
{
    if (queue.size() == 0)
        return;
    if (!isServed({}, now)) {
        for (const auto& request : queue.removeIf([](const QueuedRequest&, std::size_t) { return true; }))
            decisions.push_back({ request.ticket, refuseUnserved(now) });
        return;
    }
    const auto service = leastDelay(now);
    const auto late = queue.removeIf([&](const QueuedRequest& request, std::size_t position) {
        return isTooLate(request.demand, service + queue.waitSeconds(request.demand.priority, position, freedPlaces.perSecond(now), now), now);
    });
    for (const auto& request : late)
        decisions.push_back({ request.ticket, refuse(ErrorCode::Overloaded, service) });
}

/// A slow target is left to a lower priority while the whole priority does better to wait for faster ones.
bool PoolBalancer::State::decideOneQueued(std::vector<QueueDecision>& decisions, TimePoint now)
{
    for (const auto priority : queue.turns()) {
        const auto& waiting = queue.waiting(priority);
        if (waiting.front().demand.deadline <= now) {
            decisions.push_back({ queue.popFront(priority).ticket, refuse(ErrorCode::Overloaded, 0) });
            return true;
        }
        if (!isServed(waiting.front().demand, now))
            return false;
        if (const auto index = pick(waiting.front().demand, queue.sizeAbove(priority) + waiting.size() - 1, now)) {
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

Admission PoolBalancer::request(const Demand& demand, TimePoint now)
{
    auto& state = *m_state;
    state.demands.record(now);
    if (!state.isServed(demand, now))
        return state.refuseUnserved(now);
    if (demand.deadline <= now)
        return state.refuse(ErrorCode::Overloaded, 0);
    const auto position = state.queue.waiting(demand.priority).size();
    const auto ahead = position + state.queue.sizeAbove(demand.priority);
    // With others ahead, it takes only a place that they do better to leave.
    if (ahead == 0 || state.strategy.hasAdaptiveLimit) {
        if (const auto index = state.pick(demand, ahead, now)) {
            state.queue.recordArrival(demand.priority, now);
            return state.admit(*index, now);
        }
    }
    const auto service = state.leastDelay(now);
    const auto wait = state.queue.waitSeconds(demand.priority, position, state.freedPlaces.perSecond(now), now);
    if (position >= state.options.maximumQueueLength || state.isTooLate(demand, service + queueCaution * wait, now))
        return state.refuse(ErrorCode::Overloaded, service + wait);
    state.queue.recordArrival(demand.priority, now);
    return state.enqueue(demand);
}

std::vector<QueueDecision> PoolBalancer::finished(const TargetId& id, const Completion& completion, TimePoint now)
{
    auto& state = *m_state;
    state.freedPlaces.record(now);
    if (auto* target = state.find(id)) {
        target->end(completion, state.pressure(now), now, state.random);
        if (target->isRemoved && target->inFlight == 0)
            state.eraseIdleRemoved();
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
    state.refuseLate(decisions, now);
    return decisions;
}

void PoolBalancer::update(const Pool& pool, TimePoint)
{
    m_state->pool = pool;
    m_state->applyTargets();
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
