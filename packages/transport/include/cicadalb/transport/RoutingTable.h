#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/routing/RetryBudget.h"
#include "cicadalb/routing/RouteMatcher.h"
#include "cicadalb/transport/PoolGate.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

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
using PoolGates = std::map<PoolName, std::shared_ptr<PoolGate>>;

/// @brief One accepted configuration with the gates of its pools. Immutable but for the gates and retry budgets.
struct RoutingSnapshot {
    ConfigurationNumber number = 0;
    RouteMatcher matcher;
    PoolGates gates;
    RetryBudgets retryBudgets;

    std::shared_ptr<PoolGate> gate(const PoolName&) const;
};

/// @brief Holds the snapshot in force; thread-safe. A request keeps the snapshot that it started with.
class RoutingTable {
public:
    RoutingTable(BalancerOptions, const Clock&);

    /// @brief Puts a configuration in force. Pools that stay keep their gate and with it what is in flight.
    /// @return false if the number is not above the present one
    bool apply(const AcceptedConfiguration&);

    /// @brief The snapshot in force, or null before the first configuration.
    std::shared_ptr<const RoutingSnapshot> snapshot() const;
    /// @brief Calls @p visit for each gate in force.
    void forEachGate(const std::function<void(PoolGate&)>& visit) const;

private:
    PoolGates gatesFor(const Tables&) const;
    RetryBudgets retryBudgetsFor(const Tables&) const;

    BalancerOptions m_balancerOptions;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
};

} // namespace cicadalb
