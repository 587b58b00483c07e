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

bool SharedRetryBudget::tryTakeRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_budget.tryTakeRetry();
}

void SharedRetryBudget::setPercent(unsigned percent)
{
    const std::lock_guard lock(m_mutex);
    m_budget.setPercent(percent);
}

std::shared_ptr<SharedPoolBalancer> RoutingSnapshot::balancer(const PoolName& name) const
{
    const auto found = balancers.find(name);
    return found == balancers.end() ? nullptr : found->second;
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
        RoutingSnapshot { configuration.number, RouteMatcher(tables), balancersFor(*tables), retryBudgetsFor(*tables), endpointsOf(*tables) });
    return true;
}

PoolBalancers RoutingTable::balancersFor(const Tables& tables) const
{
    PoolBalancers balancers;
    for (const auto& pool : tables.pools) {
        auto balancer = m_snapshot ? m_snapshot->balancer(pool.name) : nullptr;
        if (balancer)
            balancer->update(poolSubset(pool));
        else
            balancer = std::make_shared<SharedPoolBalancer>(poolSubset(pool), m_balancerOptions, m_clock);
        balancers.emplace(pool.name, std::move(balancer));
    }
    return balancers;
}

Pool RoutingTable::poolSubset(const Pool& pool) const
{
    Pool subset = pool;
    if (!m_subsetHosts.empty())
        subset.targets = targetSubset(m_self, m_subsetHosts, pool.targets);
    return subset;
}

void RoutingTable::setSubsetHosts(std::vector<SubsetHost> hosts)
{
    const std::lock_guard lock(m_mutex);
    m_subsetHosts = std::move(hosts);
    if (!m_snapshot)
        return;
    for (const auto& pool : m_snapshot->matcher.tables().pools)
        m_snapshot->balancers.at(pool.name)->update(poolSubset(pool));
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

void RoutingTable::forEachBalancer(const std::function<void(SharedPoolBalancer&)>& visit) const
{
    const auto current = snapshot();
    if (!current)
        return;
    for (const auto& [name, balancer] : current->balancers)
        visit(*balancer);
}

} // namespace cicadalb
