#pragma once

#include "cicadalb/rollout/EngineSelector.h"
#include "cicadalb/transport/RoutingTable.h"

/// @file
/// Selects engines for steps through the same pool balancers as callers' requests.

namespace cicadalb {

class BalancerEngineSelector final : public EngineSelector {
public:
    explicit BalancerEngineSelector(const RoutingTable& routing)
        : m_routing(routing)
    {
    }

    Task<Result<TargetId>> acquire(PoolName pool, RequestRequirements) override;
    void release(const PoolName& pool, const TargetId&, const Completion&) override;
    std::size_t capacity(const PoolName& pool) const override;

private:
    std::shared_ptr<SharedPoolBalancer> balancer(const PoolName&) const;

    const RoutingTable& m_routing;
};

} // namespace cicadalb
