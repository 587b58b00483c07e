#include "cicadalb/transport/RoutingTable.h"

namespace cicadalb {

std::shared_ptr<PoolGate> RoutingSnapshot::gate(const PoolName& name) const
{
    const auto found = gates.find(name);
    return found == gates.end() ? nullptr : found->second;
}

RoutingTable::RoutingTable(BalancerOptions options, const Clock& clock)
    : m_balancerOptions(std::move(options))
    , m_clock(clock)
{
}

bool RoutingTable::apply(const AcceptedConfiguration& configuration)
{
    const std::lock_guard lock(m_mutex);
    if (m_snapshot && configuration.number <= m_snapshot->number)
        return false;
    PoolGates gates;
    for (const auto& pool : configuration.tables.pools) {
        auto gate = m_snapshot ? m_snapshot->gate(pool.name) : nullptr;
        if (gate)
            gate->update(pool);
        else
            gate = std::make_shared<PoolGate>(pool, m_balancerOptions, m_clock);
        gates.emplace(pool.name, std::move(gate));
    }
    auto tables = std::make_shared<const Tables>(configuration.tables);
    m_snapshot = std::make_shared<const RoutingSnapshot>(RoutingSnapshot { configuration.number, RouteMatcher(std::move(tables)), std::move(gates) });
    return true;
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
