#pragma once

#include "TrainerSimulation.h"

#include "cicadalb/site/CapacityOrderBook.h"

#include <set>

/// @file
/// Simulation of a platform from which engines are ordered, for trainers whose submissions run on them. It opens no sockets.

namespace cicadalb::simulation {

enum class FleetRule : std::uint8_t {
    /// The engines of the start; those that are lost stay lost.
    Fixed,
    /// As many plain engines as may be ordered.
    Maximum,
    /// The real plan of capacity.
    Planned,
};

struct FleetScenario {
    FleetRule rule = FleetRule::Planned;
    std::uint64_t seed = 1;
    std::chrono::seconds duration { 240 };
    /// What the trainers ask for, as a multiple of what the engines of the start can generate, and its step at half time.
    double load = 0.5;
    double loadStep = 1;
    /// Time from one reclaimed failure domain to the next; 0: none.
    std::chrono::seconds reclaimInterval { 40 };
    /// Whether one plain engine is lost for good at a quarter of the time.
    bool hasLoss = true;
    /// Share of the orders whose answer is lost; they are carried out late.
    double lostAnswers = 0.2;
};

struct FleetResult {
    TrainerResult trainers;
    /// Price of the engines over the whole time.
    double cost = 0;
    double engineSeconds = 0;
    std::size_t orders = 0;
    std::size_t brokenRuns = 0;
};

/// @brief Three failure domains of twelve plain engines at the start; a third of all engines is slower by a factor of 2.4.
class FleetSimulation {
public:
    explicit FleetSimulation(const FleetScenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        m_scaling.minimum = 1;
        m_scaling.maximum = 24;
        m_scaling.bootTime = std::chrono::seconds(4);
        m_scaling.reclaimablePriceShare = 0.22;
        m_scaling.prices = { { FailureDomain("a"), 0.85 }, { FailureDomain("b"), 1.2 }, { FailureDomain("c"), 1.0 } };
    }

    FleetResult run()
    {
        TrainerScenario trainers;
        trainers.seed = m_scenario.seed;
        trainers.duration = m_scenario.duration;
        trainers.engines = std::size_t { 3 } * enginesPerDomain;
        trainers.load = m_scenario.load;
        trainers.secondHalfLength = m_scenario.loadStep;
        trainers.changeEngines = [this](TrainerSimulation& simulation) { update(simulation); };
        TrainerSimulation simulation(trainers);
        m_result.trainers = simulation.run();
        return m_result;
    }

private:
    static constexpr unsigned enginesPerDomain = 12;
    static constexpr unsigned slots = 6;
    static constexpr std::chrono::milliseconds interval { 500 };
    static constexpr std::chrono::milliseconds noticeTime { 2500 };
    static constexpr std::chrono::seconds reclaimedTime { 8 };
    static constexpr double slowTime = 2.4;

    struct Engine {
        EngineSource source;
        TimePoint readyAt;
        std::optional<TimePoint> leavesAt;
    };

    bool chance(double share) { return static_cast<double>(m_random() % 10000) < share * 10000; }

    void addEngine(TrainerSimulation& simulation, const EngineSource& source, TimePoint readyAt)
    {
        const TargetId id("fleet-" + std::to_string(m_nextEngine));
        simulation.addEngine(id, m_nextEngine++ % 3 == 2 ? slowTime : 1.0);
        m_engines[id] = { source, readyAt, std::nullopt };
    }

    void start(TrainerSimulation& simulation)
    {
        m_startedAt = simulation.now();
        m_nextReclaimAt = m_startedAt + m_scenario.reclaimInterval;
        const auto each = m_scenario.rule == FleetRule::Maximum ? m_scaling.maximum : enginesPerDomain;
        for (unsigned i = 0; i < each; ++i) {
            for (const auto& [failureDomain, price] : m_scaling.prices)
                addEngine(simulation, { failureDomain, false }, m_startedAt);
        }
    }

    bool isReclaimed(const EngineSource& source, TimePoint now) const
    {
        const auto found = m_reclaimedUntil.find(source.failureDomain);
        return source.isReclaimable && found != m_reclaimedUntil.end() && now < found->second;
    }

    void carryOut(TrainerSimulation& simulation, const CapacityDecision& order)
    {
        const auto now = simulation.now();
        if (isReclaimed(order.source, now))
            return;
        std::vector<TargetId> staying;
        for (const auto& [id, engine] : m_engines) {
            if (engine.source == order.source && !engine.leavesAt)
                staying.push_back(id);
        }
        for (auto count = static_cast<unsigned>(staying.size()); count < order.engines; ++count)
            addEngine(simulation, order.source, now + m_scaling.bootTime);
        for (auto count = staying.size(); count > order.engines; --count)
            m_engines[staying[count - 1]].leavesAt = now + std::chrono::seconds(3);
    }

    void update(TrainerSimulation& simulation)
    {
        const auto now = simulation.now();
        if (m_engines.empty())
            start(simulation);
        for (auto late = m_lateOrders.begin(); late != m_lateOrders.end() && late->first <= now; late = m_lateOrders.erase(late))
            carryOut(simulation, late->second);
        disturb(simulation);
        removeGone(simulation);
        m_use = {};
        m_present.clear();
        std::vector<TargetId> usable;
        for (const auto& [id, engine] : m_engines) {
            const auto price = m_scaling.prices.at(engine.source.failureDomain) * (engine.source.isReclaimable ? m_scaling.reclaimablePriceShare : 1);
            m_result.cost += price * std::chrono::duration<double>(interval).count();
            m_result.engineSeconds += std::chrono::duration<double>(interval).count();
            if (engine.leavesAt || engine.readyAt > now)
                continue;
            usable.push_back(id);
            ++m_present[engine.source.failureDomain].of(engine.source.isReclaimable);
            ++m_use.engines;
            m_use.slots += slots;
            m_use.running += static_cast<unsigned>(simulation.scheduler().runningCountOn(id));
        }
        simulation.setUsable(usable);
        for (const auto& [id, engine] : m_engines) {
            if (engine.leavesAt && engine.source.isReclaimable)
                simulation.scheduler().setLeaving(id, *engine.leavesAt);
        }
        if (m_scenario.rule == FleetRule::Planned)
            order(simulation);
    }

    void disturb(TrainerSimulation& simulation)
    {
        const auto now = simulation.now();
        if (m_scenario.hasLoss && !m_hasLost && now >= m_startedAt + m_scenario.duration / 4) {
            m_hasLost = true;
            const auto lost = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto& entry) { return !entry.second.leavesAt && entry.second.readyAt <= now; });
            m_result.brokenRuns += simulation.removeEngine(lost->first);
            m_engines.erase(lost);
        }
        if (m_scenario.reclaimInterval.count() == 0 || now < m_nextReclaimAt)
            return;
        m_nextReclaimAt = now + m_scenario.reclaimInterval;
        auto domain = m_scaling.prices.begin();
        std::advance(domain, static_cast<std::ptrdiff_t>(m_random() % m_scaling.prices.size()));
        m_reclaimedUntil[domain->first] = now + reclaimedTime;
        for (auto& [id, engine] : m_engines) {
            if (engine.source == EngineSource { domain->first, true } && !engine.leavesAt)
                engine.leavesAt = now + noticeTime;
        }
        m_book.markUnavailable({ domain->first, true }, now);
    }

    void removeGone(TrainerSimulation& simulation)
    {
        std::vector<TargetId> gone;
        for (const auto& [id, engine] : m_engines) {
            if (engine.leavesAt && *engine.leavesAt <= simulation.now())
                gone.push_back(id);
        }
        for (const auto& id : gone) {
            m_result.brokenRuns += simulation.removeEngine(id);
            m_engines.erase(id);
        }
    }

    void order(TrainerSimulation& simulation)
    {
        const auto now = simulation.now();
        m_use.lateShare = simulation.scheduler().lateShare();
        m_need.observe(m_use, now);
        if (m_need.engines()) {
            CapacityState state;
            state.needed = *m_need.engines();
            state.isNeedKnown = m_need.isKnown(now);
            state.mayReduce = m_need.isSteady(now);
            state.present = m_present;
            state.ordered = m_book.ordered();
            state.settling = m_book.settling(m_scaling.bootTime, now);
            state.changing = m_book.changing(m_scaling.bootTime, now);
            state.unavailable = m_book.unavailable(now);
            for (const auto& decision : decideOrders(m_scaling, state))
                m_book.propose(decision);
        }
        for (const auto& call : m_book.dueCalls(now)) {
            ++m_result.orders;
            m_book.onCall(call.source, now);
            if (chance(m_scenario.lostAnswers)) {
                m_lateOrders.emplace(now + std::chrono::milliseconds(m_random() % 7500), call);
                m_book.onOutcome(call.source, DutyOutcome::Unknown, now);
                continue;
            }
            const bool isRefused = isReclaimed(call.source, now);
            carryOut(simulation, call);
            m_book.onOutcome(call.source, isRefused ? DutyOutcome::Refused : DutyOutcome::Accepted, now);
        }
    }

    FleetScenario m_scenario;
    Random m_random;
    PoolScaling m_scaling;
    /// Three engines for each of the trainers' models.
    EngineNeed m_need { 24 };
    CapacityOrderBook m_book;
    std::map<TargetId, Engine> m_engines;
    unsigned m_nextEngine = 0;
    TimePoint m_startedAt;
    TimePoint m_nextReclaimAt;
    bool m_hasLost = false;
    std::map<FailureDomain, TimePoint> m_reclaimedUntil;
    std::multimap<TimePoint, CapacityDecision> m_lateOrders;
    EngineUse m_use;
    Fleet m_present;
    FleetResult m_result;
};

} // namespace cicadalb::simulation
