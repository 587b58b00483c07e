#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/routing/RetryBudget.h"
#include "cicadalb/routing/RouteMatcher.h"
#include "cicadalb/routing/TargetSubset.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/transport/PoolGate.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

/// @file
/// The accepted configuration in the form that requests use.

namespace cicadalb {

/// @brief A route's retry budget under its own lock. Thread-safe.
class SharedRetryBudget {
public:
    explicit SharedRetryBudget(unsigned percent)
        : m_budget(percent)
    {
    }
    void recordRequest();
    bool tryRetry();
    void setPercent(unsigned percent);

private:
    std::mutex m_mutex;
    RetryBudget m_budget;
};

using RetryBudgets = std::map<RouteName, std::shared_ptr<SharedRetryBudget>>;
using TargetEndpoints = std::unordered_map<TargetId, Endpoint>;
using PoolGates = std::map<PoolName, std::shared_ptr<PoolGate>>;

/// @brief One accepted configuration with the gates of its pools. Immutable but for the gates and retry budgets.
struct RoutingSnapshot {
    ConfigurationNumber number = 0;
    RouteMatcher matcher;
    PoolGates gates;
    RetryBudgets retryBudgets;
    /// All targets of the configuration, also those that this host does not send callers' requests to.
    TargetEndpoints endpoints;

    std::shared_ptr<PoolGate> gate(const PoolName&) const;
};

/// @brief Holds the snapshot in force; thread-safe. A request keeps the snapshot that it started with.
class RoutingTable {
public:
    /// @param self this host, for its subset of large pools
    RoutingTable(HostId self, BalancerOptions, const Clock&);

    /// @brief Puts a configuration in force. Pools that stay keep their gate and with it what is in flight.
    /// @return false if the number is not above the present one
    bool apply(const AcceptedConfiguration&);

    /// @brief Takes over who shares the targets of large pools: each host sends to a subset (TargetSubset.h). Complexity: that of targetSubset().
    void shareWith(std::vector<SubsetHost> hosts);

    /// @brief The snapshot in force, or null before the first configuration.
    std::shared_ptr<const RoutingSnapshot> snapshot() const;
    /// @brief Calls @p visit for each gate in force.
    void forEachGate(const std::function<void(PoolGate&)>& visit) const;

private:
    PoolGates gatesFor(const Tables&) const;
    Pool sharedPool(const Pool&) const;
    RetryBudgets retryBudgetsFor(const Tables&) const;

    HostId m_self;
    BalancerOptions m_balancerOptions;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::vector<SubsetHost> m_hosts;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
};

} // namespace cicadalb
