#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/routing/RouteMatcher.h"
#include "cicadalb/transport/PoolGate.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

/// @file
/// The accepted configuration in the form that requests use.

namespace cicadalb {

using PoolGates = std::map<PoolName, std::shared_ptr<PoolGate>>;

/// @brief One accepted configuration with the gates of its pools. Immutable but for the gates.
struct RoutingSnapshot {
    ConfigurationNumber number = 0;
    RouteMatcher matcher;
    PoolGates gates;

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
    BalancerOptions m_balancerOptions;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
};

} // namespace cicadalb
