#pragma once

#include "cicadalb/routing/PoolBalancer.h"

#include <chrono>
#include <cstdint>
#include <vector>

/// @file
/// Inputs and results of PoolSimulation.

namespace cicadalb::simulation {

using Seconds = std::chrono::duration<double>;

/// @brief Fault injected half-way through a run.
enum class Fault : std::uint8_t { None,
    TargetCrash,
    DomainOutage,
    HalfOfTargetsSlow,
    AllTargetsReturnErrors };

/// @brief A stream of requests of one priority.
struct Stream {
    Priority priority = Priority::Normal;
    /// Offered load as a fraction of the pool's capacity.
    double load = 0.8;
    Seconds timeout { 5 };
};

/// @brief Parameters of one simulation run.
struct Scenario {
    PickPolicy policy = PickPolicy::LeastDelay;
    std::vector<Stream> streams = { Stream {} };
    /// Mean service time of the slowest targets divided by that of the fastest.
    double slowestToFastestRatio = 10;
    /// Mean service time of the fastest targets.
    Seconds fastestServiceTime { 0.02 };
    /// Fraction of the targets' load reports that are lost.
    double reportLossRate = 0.2;
    Fault fault = Fault::None;
    /// Each target has a home host, the only host that sends requests to it; other hosts forward their requests to the home host.
    bool hasHomeHosts = false;
    std::uint64_t seed = 1;
    Seconds warmUp { 5 };
    Seconds duration { 20 };
};

/// @brief Outcomes of those requests of one stream that arrive after the warm-up.
struct StreamResult {
    /// Time from arrival to the answer or the final failure; refused requests have no entry.
    std::vector<double> latencySeconds;
    std::uint64_t requests = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t refusedWithoutQueueing = 0;
    std::uint64_t refusedAfterQueueing = 0;
};

/// @brief Measurements of one simulation run.
struct RunResult {
    std::vector<StreamResult> streams;
    std::vector<std::uint64_t> servedByTarget;
    /// Requests per second that all targets together can serve.
    double capacity = 0;
    /// Rate of answers within the deadline, from the end of the warm-up to the end of the arrivals.
    double inTimeAnswersPerSecond = 0;
    /// Requests, attempts at targets and messages between hosts, each counted from the middle of the run, when the fault begins.
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t interHostMessages = 0;
    /// Coefficient of variation of the load among the fastest targets, averaged over time.
    double loadImbalance = 0;
    /// Requests in flight that a host forwards for callers of another host, and that its failure would lose. Averaged over time and hosts.
    double forwardedInFlight = 0;
};

} // namespace cicadalb::simulation
