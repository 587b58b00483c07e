#pragma once

#include "TargetState.h"

#include <vector>

/// @file
/// Strategies that choose one of the candidates of a pool.

namespace cicadalb {

/// @brief What a strategy sees. Indexes are those of targets.
struct PickContext {
    const std::vector<TargetState>& targets;
    /// Targets with room; never empty.
    const std::vector<std::size_t>& candidates;
    /// Targets that may serve but have no room now.
    const std::vector<std::size_t>& full;
    /// Least service time of them, in seconds.
    double bestService;
    const Demand& demand;
    /// Requests of its priority and above that wait besides this one.
    std::size_t waiting;
    TimePoint now;
    Random& random;
    /// Rises with each pick.
    std::size_t turn;
};

/// @brief One row of the table of strategies.
struct PickStrategy {
    PickPolicy policy;
    /// @brief Index of the chosen target, or nothing if waiting for a better one is expected to answer earlier.
    std::optional<std::size_t> (*pick)(const PickContext&);
    bool hasAdaptiveLimit;
};

const PickStrategy& pickStrategy(PickPolicy);

} // namespace cicadalb
