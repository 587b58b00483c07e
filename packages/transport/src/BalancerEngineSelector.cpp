#include "BalancerEngineSelector.h"

#include <cmath>

namespace cicadalb {

std::shared_ptr<SharedPoolBalancer> BalancerEngineSelector::balancer(const PoolName& pool) const
{
    const auto snapshot = m_routing.snapshot();
    return snapshot ? snapshot->balancer(pool) : nullptr;
}

Task<Result<TargetId>> BalancerEngineSelector::acquire(PoolName pool, RequestRequirements requirements)
{
    const auto poolBalancer = balancer(pool);
    if (!poolBalancer)
        co_return failure(ErrorCode::NoTargetAvailable, "the pool is not in the configuration", pool.value());
    const auto admission = co_await poolBalancer->admit(std::move(requirements));
    if (admission.kind != AdmissionKind::Admitted)
        co_return failure(admission.reason, "no engine can take the generation now", pool.value());
    co_return admission.target;
}

void BalancerEngineSelector::release(const PoolName& pool, const TargetId& target, const Completion& completion)
{
    const auto poolBalancer = balancer(pool);
    if (poolBalancer)
        poolBalancer->recordCompletion(target, completion);
}

std::size_t BalancerEngineSelector::capacity(const PoolName& pool) const
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
