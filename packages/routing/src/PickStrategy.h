#pragma once

#include "TargetState.h"

#include <vector>

/// @file
/// Strategies that choose a target from the candidates of a pool.

namespace cicadalb {

/// @brief Input of a strategy. Indexes refer to targets.
struct PickContext {
    const std::vector<TargetState>& targets;
    /// Usable targets below their concurrency limit; never empty.
    const std::vector<std::size_t>& candidates;
    /// Usable targets that have reached their concurrency limit.
    const std::vector<std::size_t>& full;
    /// Lowest service time of the candidates and the full targets.
    double bestServiceSeconds;
    const RequestRequirements& requirements;
    /// Other queued requests of the same or a higher priority.
    std::size_t waiting;
    TimePoint now;
    Random& random;
    /// Number of earlier picks.
    std::size_t pickCount;
};

/// @brief Strategy of one policy.
struct PickStrategy {
    PickPolicy policy;
    /// @brief Returns the index of the chosen target, or nothing if waiting for a faster target is expected to be better.
    std::optional<std::size_t> (*pick)(const PickContext&);
    bool hasAdaptiveLimit;
};

const PickStrategy& pickStrategy(PickPolicy);

} // namespace cicadalb
