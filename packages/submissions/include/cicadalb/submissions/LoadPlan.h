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
    /// Loads at the same time; more of them slow each other down. 0: one for every five engines, two at least, which is what the users'
    /// sheets allow at each of their sites.
    unsigned loadsAtOnce = 0;
    /// Versions behind the newest that submissions still allow.
    unsigned allowedLag = 1;
};

/// @brief Shares engines among models: each model gets a part of the engines' speed that grows with the square root of its demand, so that
/// a model with short texts still has enough engines to change versions in turns. An engine stays where it is among engines of like speed.
/// Load that it answers: several models whose versions change every few seconds and whose texts differ in length by a factor of three, on
/// engines that differ in speed by two and a half, so that each change concerns the model's own engines alone.
/// @param demand events that a model's submissions ask for; models without one count as the least of the others
std::map<TargetId, ModelName> assignHomes(std::vector<LoadableEngine>, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand);

/// @brief What one model's submissions ask of its engines.
struct ModelNeed {
    ModelName model;
    /// The version that was named last.
    WeightVersion newest = 0;
    /// The oldest that open submissions allow; 0: none is open.
    WeightVersion oldestAllowed = 0;
    /// Samples that wait for an engine.
    std::size_t waiting = 0;
};

/// @brief Loads to begin now. Engines too old for the next submission go first, fast ones before slow ones. Of the others at most half of a
/// model's engines move to the newest version, and only while no sample of the model waits: the rest serve meanwhile, and at the next
/// change it is their turn.
std::vector<LoadDecision> planLoads(const std::vector<LoadableEngine>&, const std::vector<ModelNeed>&, const LoadPlanSettings&);

} // namespace cicadalb
