#include "GateEngineSelector.h"

#include <cmath>

namespace cicadalb {

std::shared_ptr<PoolGate> GateEngineSelector::balancer(const PoolName& pool) const
{
    const auto snapshot = m_routing.snapshot();
    return snapshot ? snapshot->balancer(pool) : nullptr;
}

Task<Result<TargetId>> GateEngineSelector::acquire(PoolName pool, Demand demand)
{
    const auto poolBalancer = balancer(pool);
    if (!poolBalancer)
        co_return failure(ErrorCode::NoTargetAvailable, "the pool is not in the configuration", pool.value());
    const auto admission = co_await poolBalancer->admit(std::move(demand));
    if (admission.kind != AdmissionKind::Admitted)
        co_return failure(admission.reason, "no engine can take the generation now", pool.value());
    co_return admission.target;
}

void GateEngineSelector::release(const PoolName& pool, const TargetId& target, const Completion& completion)
{
    const auto poolBalancer = balancer(pool);
    if (poolBalancer)
        poolBalancer->finished(target, completion);
}

std::size_t GateEngineSelector::capacity(const PoolName& pool) const
{
    const auto poolBalancer = balancer(pool);
    if (!poolBalancer)
        return 0;
    double capacity = 0;
    for (const auto& view : poolBalancer->targets())
        capacity += view.isEligible ? view.limit : 0;
    return static_cast<std::size_t>(std::ceil(capacity));
}

} // namespace cicadalb
