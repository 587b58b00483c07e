#pragma once

#include "cicadalb/rollout/EngineSelector.h"
#include "cicadalb/transport/RoutingTable.h"

/// @file
/// Selects engines for steps through the same pool balancers as callers' requests.

namespace cicadalb {

class GateEngineSelector final : public EngineSelector {
public:
    explicit GateEngineSelector(const RoutingTable& routing)
        : m_routing(routing)
    {
    }

    Task<Result<TargetId>> acquire(PoolName pool, Demand) override;
    void release(const PoolName& pool, const TargetId&, const Completion&) override;
    std::size_t capacity(const PoolName& pool) const override;

private:
    std::shared_ptr<PoolGate> balancer(const PoolName&) const;

    const RoutingTable& m_routing;
};

} // namespace cicadalb
