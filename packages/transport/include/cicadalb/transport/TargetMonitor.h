#pragma once

#include "cicadalb/services/HostList.h"
#include "cicadalb/transport/RoutingTable.h"
#include "cicadalb/transport/TargetClients.h"

#include <functional>
#include <memory>
#include <set>

/// @file
/// Passes the targets' load reports and the platform's host list to the pool balancers.

namespace cicadalb {

struct TargetMonitorOptions {
    std::chrono::milliseconds loadPollInterval { 250 };
    /// Maximum rate of load polls from this host; with more targets, each target is polled less often.
    double loadPollsPerSecond = 24;
    std::chrono::milliseconds hostListPollInterval { 1000 };
    std::chrono::milliseconds tickInterval { 5 };
};

/// @brief Called with the weight version that an engine reports.
using WeightReportHandler = std::function<void(const PoolName&, const TargetId&, WeightVersion)>;

/// @brief Polls the targets and the host list on the control worker until stopped.
class TargetMonitor : public std::enable_shared_from_this<TargetMonitor> {
public:
    TargetMonitor(TargetMonitorOptions, RoutingTable&, TargetClients&, std::size_t worker, HostList&, WeightReportHandler);

    void start();
    void stop() { m_isStopping = true; }

private:
    Task<void> tickBalancers();
    Task<void> pollLoads();
    /// @brief Starts a load poll of each target that has none in progress. @return the number of targets
    std::size_t startLoadPolls();
    std::chrono::milliseconds loadPollIntervalFor(std::size_t targets) const;
    Task<void> pollLoad(std::shared_ptr<SharedPoolBalancer>, Target);
    Task<void> pollHostList();
    void applyHostList(const std::vector<ListedHost>&);
    Task<void> sleepFor(std::chrono::milliseconds);

    TargetMonitorOptions m_options;
    RoutingTable& m_routing;
    TargetClients& m_clients;
    std::size_t m_worker;
    HostList& m_hostList;
    WeightReportHandler m_onWeightReport;
    std::atomic<bool> m_isStopping { false };
    std::set<TargetId> m_targetsBeingPolled;
    bool m_isHostListAvailable = true;
};

} // namespace cicadalb
