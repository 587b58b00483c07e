#pragma once

#include "cicadalb/services/HostList.h"
#include "cicadalb/transport/RoutingTable.h"
#include "cicadalb/transport/TargetClients.h"

#include <functional>
#include <memory>
#include <set>

/// @file
/// Keeps the gates informed: the targets' own load reports and the platform's host list.

namespace cicadalb {

struct TargetMonitorOptions {
    std::chrono::milliseconds loadInterval { 250 };
    /// Load requests that one host sends in a second; with more targets each is asked less often.
    double loadRequestsPerSecond = 24;
    std::chrono::milliseconds hostListInterval { 1000 };
    std::chrono::milliseconds tickInterval { 5 };
};

/// @brief Called with the weight version that an engine reports.
using WeightReportHandler = std::function<void(const PoolName&, const TargetId&, WeightVersion)>;

/// @brief Loops on the control worker until stopped.
class TargetMonitor : public std::enable_shared_from_this<TargetMonitor> {
public:
    TargetMonitor(TargetMonitorOptions, RoutingTable&, TargetClients&, std::size_t worker, HostList&, WeightReportHandler);

    void start();
    void stop() { m_isStopping = true; }

private:
    Task<void> tickGates();
    Task<void> pollLoads();
    /// @brief Starts a request to each target that has none open. @return the number of targets
    std::size_t startLoadRequests();
    std::chrono::milliseconds loadIntervalFor(std::size_t targets) const;
    Task<void> pollLoad(std::shared_ptr<PoolGate>, Target);
    Task<void> pollHostList();
    void applyHostList(const std::vector<ListedHost>&);
    Task<void> sleep(std::chrono::milliseconds);

    TargetMonitorOptions m_options;
    RoutingTable& m_routing;
    TargetClients& m_clients;
    std::size_t m_worker;
    HostList& m_hostList;
    WeightReportHandler m_onWeights;
    std::atomic<bool> m_isStopping { false };
    /// Targets whose load request has not ended yet.
    std::set<TargetId> m_pending;
    bool m_isHostListAvailable = true;
};

} // namespace cicadalb
