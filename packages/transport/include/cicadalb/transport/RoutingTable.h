#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/routing/RetryBudget.h"
#include "cicadalb/routing/RouteMatcher.h"
#include "cicadalb/routing/TargetSubset.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/transport/SharedPoolBalancer.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

/// @file
/// The accepted configuration, prepared for routing requests.

namespace cicadalb {

/// @brief A route's retry budget with its own lock. Thread-safe.
class SharedRetryBudget {
public:
    explicit SharedRetryBudget(unsigned percent)
        : m_budget(percent)
    {
    }
    void recordRequest();
    bool tryTakeRetry();
    void setPercent(unsigned percent);

private:
    std::mutex m_mutex;
    RetryBudget m_budget;
};

using RetryBudgets = std::map<RouteName, std::shared_ptr<SharedRetryBudget>>;
using TargetEndpoints = std::unordered_map<TargetId, Endpoint>;
using PoolBalancers = std::map<PoolName, std::shared_ptr<SharedPoolBalancer>>;

/// @brief One accepted configuration with the balancers of its pools. Immutable except for the state of balancers and retry budgets.
struct RoutingSnapshot {
    ConfigurationNumber number = 0;
    RouteMatcher matcher;
    PoolBalancers balancers;
    RetryBudgets retryBudgets;
    /// All targets of the configuration, including those to which this host sends no callers' requests.
    TargetEndpoints endpoints;

    std::shared_ptr<SharedPoolBalancer> balancer(const PoolName&) const;
};

/// @brief Holds the snapshot of the configuration in force. Thread-safe. A request uses the snapshot that it started with to its end.
class RoutingTable {
public:
    /// @param self this host's id, which determines its subset of large pools
    RoutingTable(HostId self, BalancerOptions, const Clock&);

    /// @brief Puts a configuration in force. Pools that exist in the previous one keep their balancer and with it their requests in flight.
    /// @return false, without effect, if its number is not above the number in force
    bool apply(const AcceptedConfiguration&);

    /// @brief Sets the hosts that share the targets of large pools: each host sends to a subset (TargetSubset.h).
    /// Complexity: that of targetSubset() for each pool.
    void setSubsetHosts(std::vector<SubsetHost> hosts);

    /// @brief The snapshot in force, or null before the first configuration.
    std::shared_ptr<const RoutingSnapshot> snapshot() const;
    /// @brief Calls @p visit for the balancer of each pool in force.
    void forEachBalancer(const std::function<void(SharedPoolBalancer&)>& visit) const;

private:
    PoolBalancers balancersFor(const Tables&) const;
    Pool poolSubset(const Pool&) const;
    RetryBudgets retryBudgetsFor(const Tables&) const;

    HostId m_self;
    BalancerOptions m_balancerOptions;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::vector<SubsetHost> m_subsetHosts;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
};

} // namespace cicadalb
