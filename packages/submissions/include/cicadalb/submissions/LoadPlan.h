#pragma once

#include "cicadalb/submissions/Submission.h"

#include <map>
#include <optional>
#include <vector>

/// @file
/// Which engines take a new version of a model's weights, and when.

namespace cicadalb {

struct LoadableEngine {
    TargetId id;
    /// Versions that it holds.
    std::map<ModelName, WeightVersion> versions;
    bool isLoading = false;
    /// Model that it serves first; it takes that model's versions alone.
    ModelName home;
    /// Seconds for one event.
    double pace = 0;
    /// Runs of its home model.
    std::size_t running = 0;
};

struct LoadDecision {
    TargetId engine;
    ModelName model;
    WeightVersion version = 0;
};

struct LoadPlanSettings {
    /// Loads at the same time; more of them slow each other down.
    unsigned loadsAtOnce = 2;
    /// Versions behind the newest that submissions still allow.
    unsigned allowedLag = 1;
};

/// @brief Shares engines among models so that each gets as many and as fast ones as the others, and keeps an engine where it is as far as
/// that allows. Load that it answers: several models whose versions change every few seconds, so that each change concerns the model's
/// own engines alone.
std::map<TargetId, ModelName> assignHomes(std::vector<LoadableEngine>, const std::vector<ModelName>& models);

/// @brief Loads to begin now. An engine too old for the next submission goes first; of the others, at most half of a model's engines move
/// to the newest version, so that the rest serve while they load and at the next change it is the others' turn.
/// @param newest the version that was named last, by model; @param needed the oldest that open submissions allow
std::vector<LoadDecision> planLoads(const std::vector<LoadableEngine>&, const std::map<ModelName, WeightVersion>& newest,
    const std::map<ModelName, WeightVersion>& needed, const LoadPlanSettings&);

} // namespace cicadalb
