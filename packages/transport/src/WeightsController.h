#pragma once

#include "cicadalb/membership/Assignment.h"
#include "cicadalb/rollout/OrderPermit.h"
#include "cicadalb/rollout/WeightRegistry.h"
#include "cicadalb/rollout/WeightRolloutService.h"
#include "cicadalb/services/LeaseCandidate.h"
#include "cicadalb/transport/RoutingTable.h"

#include <boost/asio/any_io_executor.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>

/// @file
/// Weight rollouts of the pools whose lease this host competes for.

namespace cicadalb {

struct WeightsControllerOptions {
    HostId self;
    std::uint64_t seed = 0;
    std::chrono::milliseconds refreshInterval { 500 };
    std::chrono::milliseconds leaseTimeToLive { 20000 };
    std::chrono::milliseconds orderTimeout { 8000 };
    /// Weight loads that one pool may start per second.
    double weightLoadsPerSecond = 700;
};

/// @brief Runs a rollout for each pool of engines whose first two hosts by assignment include this host. The two compete for the pool's
/// lease, and orders are sent only under the lease.
class WeightsController {
public:
    using AssignmentSource = std::function<std::shared_ptr<const Assignment>()>;

    WeightsController(boost::asio::any_io_executor, WeightsControllerOptions, KeyValueService&, EngineClient&, const RoutingTable&, AssignmentSource, const Clock&);
    ~WeightsController();
    WeightsController(const WeightsController&) = delete;
    WeightsController& operator=(const WeightsController&) = delete;

    /// @brief Runs until stop().
    Task<void> run();
    void stop();

    WeightRegistry& registry() noexcept { return m_registry; }
    /// @brief State of the rollouts as JSON, for the host's state report.
    nlohmann::json state() const;

private:
    struct PoolRollout;

    bool isCandidate(const PoolName&) const;
    void beginCandidacy(const Pool&);
    void endCandidacy(const PoolName&);
    void updateCandidacies();
    Task<void> refreshWantedVersions();

    boost::asio::any_io_executor m_executor;
    WeightsControllerOptions m_options;
    KeyValueService& m_service;
    EngineClient& m_engines;
    const RoutingTable& m_routing;
    AssignmentSource m_currentAssignment;
    const Clock& m_clock;
    WeightRegistry m_registry;
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::map<PoolName, std::shared_ptr<PoolRollout>> m_rollouts;
};

} // namespace cicadalb
