#pragma once

#include "cicadalb/membership/Assignment.h"
#include "cicadalb/rollout/OrderPermit.h"
#include "cicadalb/rollout/WeightRegistry.h"
#include "cicadalb/rollout/WeightRolloutService.h"
#include "cicadalb/services/LeaseKeeper.h"
#include "cicadalb/transport/RoutingTable.h"

#include <boost/asio/any_io_executor.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>

/// @file
/// Weight rollouts of all pools for which this host is a candidate.

namespace cicadalb {

struct WeightsControllerOptions {
    HostId self;
    std::uint64_t seed = 0;
    std::chrono::milliseconds lookInterval { 500 };
    std::chrono::milliseconds leaseTimeToLive { 20000 };
    std::chrono::milliseconds longestOrder { 8000 };
    /// Weight loads that one pool may start in a second.
    double loadsPerSecond = 700;
};

/// @brief Runs a rollout for each pool of engines whose first two hosts by assignment include this one. One of the two holds the lease.
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
    /// @brief State of the rollouts for the dump.
    nlohmann::json state() const;

private:
    struct PoolRollout;

    bool isCandidate(const PoolName&) const;
    void beginCandidacy(const Pool&);
    void endCandidacy(const PoolName&);
    void reviewCandidacies();
    Task<void> refresh();

    boost::asio::any_io_executor m_executor;
    WeightsControllerOptions m_options;
    KeyValueService& m_service;
    EngineClient& m_engines;
    const RoutingTable& m_routing;
    AssignmentSource m_assignment;
    const Clock& m_clock;
    WeightRegistry m_registry;
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::map<PoolName, std::shared_ptr<PoolRollout>> m_rollouts;
};

} // namespace cicadalb
