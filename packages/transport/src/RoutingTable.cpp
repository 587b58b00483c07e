#include "cicadalb/transport/RoutingTable.h"

namespace cicadalb {

namespace {

    TargetEndpoints endpointsOf(const Tables& tables)
    {
        TargetEndpoints endpoints;
        for (const auto& pool : tables.pools) {
            for (const auto& target : pool.targets)
                endpoints.emplace(target.id, Endpoint { target.address, target.port });
        }
        return endpoints;
    }

} // namespace

void SharedRetryBudget::recordRequest()
{
    const std::lock_guard lock(m_mutex);
    m_budget.recordRequest();
}

bool SharedRetryBudget::tryRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_budget.tryRetry();
}

void SharedRetryBudget::setPercent(unsigned percent)
{
    const std::lock_guard lock(m_mutex);
    m_budget.setPercent(percent);
}

std::shared_ptr<PoolGate> RoutingSnapshot::gate(const PoolName& name) const
{
    const auto found = gates.find(name);
    return found == gates.end() ? nullptr : found->second;
}

RoutingTable::RoutingTable(HostId self, BalancerOptions options, const Clock& clock)
    : m_self(std::move(self))
    , m_balancerOptions(std::move(options))
    , m_clock(clock)
{
}

bool RoutingTable::apply(const AcceptedConfiguration& configuration)
{
    const std::lock_guard lock(m_mutex);
    if (m_snapshot && configuration.number <= m_snapshot->number)
        return false;
    const auto tables = std::make_shared<const Tables>(configuration.tables);
    m_snapshot = std::make_shared<const RoutingSnapshot>(
        RoutingSnapshot { configuration.number, RouteMatcher(tables), gatesFor(*tables), retryBudgetsFor(*tables), endpointsOf(*tables) });
    return true;
}

PoolGates RoutingTable::gatesFor(const Tables& tables) const
{
    PoolGates gates;
    for (const auto& pool : tables.pools) {
        auto gate = m_snapshot ? m_snapshot->gate(pool.name) : nullptr;
        if (gate)
            gate->update(sharedPool(pool));
        else
            gate = std::make_shared<PoolGate>(sharedPool(pool), m_balancerOptions, m_clock);
        gates.emplace(pool.name, std::move(gate));
    }
    return gates;
}

Pool RoutingTable::sharedPool(const Pool& pool) const
{
    Pool shared = pool;
    if (!m_hosts.empty())
        shared.targets = targetSubset(m_self, m_hosts, pool.targets);
    return shared;
}

void RoutingTable::shareWith(std::vector<SubsetHost> hosts)
{
    const std::lock_guard lock(m_mutex);
    m_hosts = std::move(hosts);
    if (!m_snapshot)
        return;
    for (const auto& pool : m_snapshot->matcher.tables().pools)
        m_snapshot->gates.at(pool.name)->update(sharedPool(pool));
}

RetryBudgets RoutingTable::retryBudgetsFor(const Tables& tables) const
{
    RetryBudgets budgets;
    for (const auto& route : tables.routes) {
        std::shared_ptr<SharedRetryBudget> budget;
        if (m_snapshot && m_snapshot->retryBudgets.count(route.name) > 0)
            budget = m_snapshot->retryBudgets.at(route.name);
        if (budget)
            budget->setPercent(route.retryPercent);
        else
            budget = std::make_shared<SharedRetryBudget>(route.retryPercent);
        budgets.emplace(route.name, std::move(budget));
    }
    return budgets;
}

std::shared_ptr<const RoutingSnapshot> RoutingTable::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_snapshot;
}

void RoutingTable::forEachGate(const std::function<void(PoolGate&)>& visit) const
{
    const auto current = snapshot();
    if (!current)
        return;
    for (const auto& [name, gate] : current->gates)
        visit(*gate);
}

} // namespace cicadalb
