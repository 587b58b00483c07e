#include "cicadalb/routing/PoolBalancer.h"

#include "AdmissionQueue.h"

#include "cicadalb/base/Random.h"

#include <algorithm>
#include <unordered_map>

namespace cicadalb {

namespace {

    /// Bounds of the time after which a refused caller may come back.
    constexpr std::chrono::milliseconds shortestRetryAfter { 500 };
    constexpr std::chrono::milliseconds longestRetryAfter { 3000 };

    struct TargetState {
        Target target;
        unsigned inFlight = 0;
        bool isListedAsLeaving = false;
        bool saysItIsLeaving = false;
        bool isRemoved = false;
    };

    std::string_view ineligibility(const TargetState& state)
    {
        if (state.isRemoved)
            return "removed";
        if (state.target.draining)
            return "draining";
        if (state.isListedAsLeaving)
            return "leaving by host list";
        if (state.saysItIsLeaving)
            return "leaving by its own word";
        return {};
    }

} // namespace

struct PoolBalancer::State {
    Pool pool;
    BalancerOptions options;
    Random random;
    std::vector<TargetState> targets;
    std::unordered_map<TargetId, std::size_t> indexes;
    AdmissionQueue queue;
    QueueTicket lastTicket = 0;
    std::vector<std::size_t> candidates;

    void applyTargets();
    TargetState* find(const TargetId&);
    void eraseIfIdle(const TargetId&);
    bool hasEligible() const;
    bool hasRoom(const TargetState&) const;
    std::optional<std::size_t> pick(const Demand&);
    Admission admit(std::size_t index);
    Admission refuse(ErrorCode);
    std::vector<QueueDecision> drain(TimePoint now);
};

void PoolBalancer::State::applyTargets()
{
    for (auto& state : targets)
        state.isRemoved = true;
    for (const auto& target : pool.targets) {
        if (auto* known = find(target.id)) {
            known->target = target;
            known->isRemoved = false;
        } else {
            targets.push_back(TargetState { target });
        }
    }
    std::erase_if(targets, [](const auto& state) { return state.isRemoved && state.inFlight == 0; });
    indexes.clear();
    for (std::size_t i = 0; i < targets.size(); ++i)
        indexes.emplace(targets[i].target.id, i);
}

TargetState* PoolBalancer::State::find(const TargetId& id)
{
    const auto found = indexes.find(id);
    return found == indexes.end() ? nullptr : &targets[found->second];
}

void PoolBalancer::State::eraseIfIdle(const TargetId& id)
{
    const auto* state = find(id);
    if (state && state->isRemoved && state->inFlight == 0)
        applyTargets();
}

bool PoolBalancer::State::hasEligible() const
{
    return std::any_of(targets.begin(), targets.end(), [](const auto& state) { return ineligibility(state).empty(); });
}

bool PoolBalancer::State::hasRoom(const TargetState& state) const
{
    return state.inFlight < pool.maximumInFlight;
}

std::optional<std::size_t> PoolBalancer::State::pick(const Demand& demand)
{
    const auto collect = [&](bool allowExcluded) {
        candidates.clear();
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const auto& state = targets[i];
            const bool isExcluded = std::find(demand.excluded.begin(), demand.excluded.end(), state.target.id) != demand.excluded.end();
            if (ineligibility(state).empty() && hasRoom(state) && (allowExcluded || !isExcluded))
                candidates.push_back(i);
        }
    };
    collect(false);
    if (candidates.empty() && !demand.excluded.empty())
        collect(true);
    if (candidates.empty())
        return std::nullopt;
    const auto first = candidates[randomIndex(random, candidates.size())];
    const auto second = candidates[randomIndex(random, candidates.size())];
    return targets[first].inFlight <= targets[second].inFlight ? first : second;
}

Admission PoolBalancer::State::admit(std::size_t index)
{
    ++targets[index].inFlight;
    Admission admission;
    admission.kind = AdmissionKind::Admitted;
    admission.target = targets[index].target.id;
    return admission;
}

Admission PoolBalancer::State::refuse(ErrorCode reason)
{
    Admission admission;
    admission.kind = AdmissionKind::Refused;
    admission.reason = reason;
    const auto spread = static_cast<double>((longestRetryAfter - shortestRetryAfter).count());
    admission.retryAfter = shortestRetryAfter + std::chrono::milliseconds(static_cast<long>(randomUnit(random) * spread));
    return admission;
}

std::vector<QueueDecision> PoolBalancer::State::drain(TimePoint now)
{
    std::vector<QueueDecision> decisions;
    const bool isServed = hasEligible();
    for (const auto& request : queue.removeIf([&](const QueuedRequest&queued, std::size_t) { return !isServed || queued.demand.deadline <= now; }))
        decisions.push_back({ request.ticket, refuse(isServed ? ErrorCode::Overloaded : ErrorCode::NoTargetAvailable) });
    while (const auto* next = queue.next()) {
        const auto index = pick(next->demand);
        if (!index)
            break;
        decisions.push_back({ queue.pop().ticket, admit(*index) });
    }
    return decisions;
}

PoolBalancer::PoolBalancer(Pool pool, BalancerOptions options, TimePoint now)
    : m_state(std::make_unique<State>())
{
    m_state->random.seed(options.seed);
    m_state->options = std::move(options);
    update(pool, now);
}

PoolBalancer::~PoolBalancer() = default;
PoolBalancer::PoolBalancer(PoolBalancer&&) noexcept = default;
PoolBalancer& PoolBalancer::operator=(PoolBalancer&&) noexcept = default;

Admission PoolBalancer::request(const Demand& demand, TimePoint now)
{
    auto& state = *m_state;
    if (!state.hasEligible())
        return state.refuse(ErrorCode::NoTargetAvailable);
    if (demand.deadline <= now)
        return state.refuse(ErrorCode::Overloaded);
    if (state.queue.sizeFrom(demand.priority) == 0) {
        if (const auto index = state.pick(demand))
            return state.admit(*index);
    }
    if (state.queue.size() >= state.options.maximumQueueLength)
        return state.refuse(ErrorCode::Overloaded);
    Admission admission;
    admission.kind = AdmissionKind::Queued;
    admission.ticket = ++state.lastTicket;
    state.queue.push({ admission.ticket, demand });
    return admission;
}

std::vector<QueueDecision> PoolBalancer::finished(const TargetId& id, const Completion&, TimePoint now)
{
    auto& state = *m_state;
    auto* target = state.find(id);
    if (target && target->inFlight > 0)
        --target->inFlight;
    state.eraseIfIdle(id);
    return state.drain(now);
}

bool PoolBalancer::withdraw(QueueTicket ticket, TimePoint)
{
    return m_state->queue.remove(ticket);
}

std::vector<QueueDecision> PoolBalancer::tick(TimePoint now)
{
    return m_state->drain(now);
}

void PoolBalancer::update(const Pool& pool, TimePoint)
{
    m_state->pool = pool;
    m_state->applyTargets();
}

void PoolBalancer::reportLoad(const TargetId& id, const LoadReport& report, TimePoint)
{
    if (auto* target = m_state->find(id))
        target->saysItIsLeaving = report.isLeaving;
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

std::vector<TargetView> PoolBalancer::targets(TimePoint) const
{
    std::vector<TargetView> views;
    for (const auto& state : m_state->targets) {
        const auto reason = ineligibility(state);
        views.push_back({ state.target.id, state.inFlight, static_cast<double>(m_state->pool.maximumInFlight), {}, reason.empty(), reason });
    }
    return views;
}

} // namespace cicadalb
