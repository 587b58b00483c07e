#include "CapacityOrders.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Interval between two looks at the engines.
    constexpr std::chrono::milliseconds updateInterval { 500 };
    /// Orders that wait for an answer at the same time; the platform limits the calls of all duties together.
    constexpr unsigned maximumCallsInFlight = 4;
    /// Each model needs an engine that serves while another one loads its next version, and one more in case one of them fails.
    constexpr unsigned enginesPerModel = 3;

    std::string yesNo(bool value) { return value ? "yes" : "no"; }

} // namespace

CapacityOrders::CapacityOrders(asio::any_io_executor executor, const SiteProtocol& protocol, SiteDirectory& directory, const SampleScheduler& scheduler, const Clock& clock, CapacityOrderSettings settings, std::function<bool()> mayOrder)
    : m_executor(std::move(executor))
    , m_protocol(protocol)
    , m_directory(directory)
    , m_scheduler(scheduler)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_mayOrder(std::move(mayOrder))
    , m_client(m_executor, protocol, m_settings.platform, clock)
{
}

void CapacityOrders::tick()
{
    const auto view = m_directory.view();
    const auto now = m_clock.now();
    if (m_isStopped || !view)
        return;
    if (now >= m_nextUpdateAt) {
        m_nextUpdateAt = now + updateInterval;
        for (const auto& pool : view->configuration.pools) {
            if (pool.scaling)
                update(pool, m_pools[pool.name]);
        }
        std::erase_if(m_pools, [&](const auto& entry) {
            const auto* pool = view->configuration.pool(entry.first);
            return !pool || !pool->scaling;
        });
    }
    for (auto& [pool, state] : m_pools) {
        for (const auto& decision : state.book.dueCalls(now)) {
            if (m_callsInFlight >= maximumCallsInFlight || !m_mayOrder())
                return;
            state.book.onCall(decision.source, now);
            ++m_callsInFlight;
            asio::co_spawn(m_executor, order(pool, decision), asio::detached);
        }
    }
}

/// Counts the engines of a pool and what runs on them, and notes where the platform takes engines away.
EngineUse CapacityOrders::observe(const SitePool& pool, PoolState& state) const
{
    const auto now = m_clock.now();
    EngineUse use;
    std::set<EngineSource> leaving;
    state.present.clear();
    for (const auto& [id, target] : m_directory.registry().targets()) {
        if (target.pool != pool.name)
            continue;
        if (target.isDraining) {
            // One that is replaced by other software states no time.
            if (target.isReclaimable && target.leavesWithin)
                leaving.insert({ target.failureDomain, true });
            continue;
        }
        ++state.present[target.failureDomain].of(target.isReclaimable);
        ++use.engines;
        use.slots += target.slots;
        use.running += static_cast<unsigned>(m_scheduler.runningCountOn(id));
    }
    use.lateShare = m_scheduler.lateShare();
    const auto known = state.book.unavailable(now);
    for (const auto& source : leaving) {
        if (state.book.hasReduced(source, pool.scaling->bootTime, now))
            continue;
        if (!known.contains(source))
            logEvent(Event::EnginesUnavailable, { { "pool", pool.name.value() }, { "failure-domain", source.failureDomain.value() }, { "reclaimable", yesNo(source.isReclaimable) }, { "cause", "reclaimed" } });
        state.book.markUnavailable(source, now);
    }
    return use;
}

void CapacityOrders::update(const SitePool& pool, PoolState& state)
{
    const auto now = m_clock.now();
    const auto neededBefore = state.need.engines();
    state.need.setFloor(enginesPerModel * static_cast<unsigned>(pool.models.size()));
    const auto use = observe(pool, state);
    state.need.observe(use, now);
    const auto needed = state.need.engines();
    if (!needed)
        return;
    if (needed != neededBefore)
        logEvent(Event::EngineNeedChanged, { { "pool", pool.name.value() }, { "from", std::to_string(neededBefore.value_or(0)) }, { "to", std::to_string(*needed) }, { "registered", std::to_string(use.engines) }, { "running", std::to_string(use.running) } });
    CapacityState capacity;
    capacity.needed = *needed;
    capacity.isNeedKnown = state.need.isKnown(now);
    capacity.mayReduce = state.need.isSteady(now);
    capacity.present = state.present;
    capacity.ordered = state.book.ordered();
    capacity.settling = state.book.settling(pool.scaling->bootTime, now);
    capacity.changing = state.book.changing(pool.scaling->bootTime, now);
    capacity.unavailable = state.book.unavailable(now);
    for (const auto& decision : decideOrders(*pool.scaling, capacity))
        state.book.propose(decision);
}

Task<void> CapacityOrders::order(PoolName pool, CapacityDecision decision)
{
    const auto self = shared_from_this();
    const auto& source = decision.source;
    auto outcome = DutyOutcome::NotExecuted;
    const auto fence = m_settings.fence;
    if (!m_isStopped && m_mayOrder()) {
        const DutyHolder holder { m_settings.holder, fence };
        const CapacityOrder order { pool, source.failureDomain, decision.engines, source.isReclaimable };
        auto request = m_protocol.capacityOrder(holder, order);
        outcome = co_await m_client.send(std::move(request));
    }
    --m_callsInFlight;
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        co_return;
    auto& state = found->second;
    const auto registered = state.present[source.failureDomain].of(source.isReclaimable);
    logEvent(Event::CapacityOrdered, { { "pool", pool.value() }, { "failure-domain", source.failureDomain.value() }, { "reclaimable", yesNo(source.isReclaimable) }, { "from", std::to_string(decision.from) }, { "to", std::to_string(decision.engines) }, { "registered", std::to_string(registered) }, { "cause", std::string(name(decision.cause)) }, { "fence", std::to_string(fence) }, { "outcome", std::string(name(outcome)) } });
    if (outcome == DutyOutcome::Refused)
        logEvent(Event::EnginesUnavailable, { { "pool", pool.value() }, { "failure-domain", source.failureDomain.value() }, { "reclaimable", yesNo(source.isReclaimable) }, { "cause", "refused" } });
    state.book.onOutcome(source, outcome, m_clock.now());
}

CapacitySummary CapacityOrders::summary() const
{
    CapacitySummary summary;
    for (const auto& [name, state] : m_pools) {
        summary.needed += state.need.engines().value_or(0);
        summary.registered += engineCount(state.present);
        for (const auto& [source, number] : state.book.ordered())
            summary.ordered += number;
    }
    return summary;
}

} // namespace cicadalb
