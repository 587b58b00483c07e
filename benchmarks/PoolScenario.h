#pragma once

#include "cicadalb/routing/PoolBalancer.h"

#include <chrono>
#include <cstdint>
#include <vector>

/// @file
/// What the simulation of a pool is given and what it measures.

namespace cicadalb::simulation {

using Seconds = std::chrono::duration<double>;

/// @brief What goes wrong half-way through a run.
enum class Fault : std::uint8_t { None,
    TargetDies,
    DomainDies,
    HalfSlow,
    AllErrors };

/// @brief A stream of requests of one priority.
struct Stream {
    Priority priority = Priority::Normal;
    /// Offered load as a part of the pool's capacity.
    double load = 0.8;
    Seconds timeout { 5 };
};

struct Scenario {
    PickPolicy policy = PickPolicy::LeastDelay;
    std::vector<Stream> streams = { Stream {} };
    /// The slowest target takes so many times as long as the fastest.
    double spread = 10;
    Seconds fastestService { 0.02 };
    /// Part of the targets' load reports that never arrive.
    double lostReports = 0.2;
    Fault fault = Fault::None;
    /// Each target belongs to one host, which alone sends to it; other hosts send through that one.
    bool hasHomes = false;
    std::uint64_t seed = 1;
    Seconds warmUp { 5 };
    Seconds duration { 20 };
};

/// @brief What became of the requests of one stream that arrived after the warm-up.
struct StreamResult {
    /// Seconds to the answer or the loss.
    std::vector<double> latencies;
    std::uint64_t requests = 0;
    std::uint64_t inTime = 0;
    std::uint64_t refusedAtOnce = 0;
    std::uint64_t refusedAfterWaiting = 0;
};

struct RunResult {
    std::vector<StreamResult> streams;
    std::vector<std::uint64_t> servedByTarget;
    /// Requests a second that all targets can serve.
    double capacity = 0;
    /// Answers in time that came between the warm-up and the end of the arrivals, for each second.
    double answersPerSecond = 0;
    /// Requests, attempts at targets and messages between hosts in the second half of the run, when the fault is there.
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t hops = 0;
    /// Coefficient of variation of the load of the fastest targets, averaged over time.
    double imbalance = 0;
    /// Requests in flight of hosts' callers that the failure of another host would lose, averaged over time and hosts.
    double foreignInFlight = 0;
};

} // namespace cicadalb::simulation
