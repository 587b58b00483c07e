#pragma once

#include "cicadalb/submissions/Submission.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// @file
/// Assignment of engines to models, and the choice of engines that load a new version of the weights.

namespace cicadalb {

struct LoadableEngine {
    TargetId id;
    /// Loaded weight version of each model.
    std::map<ModelName, WeightVersion> versions;
    /// Model that the engine is loading; empty if it is not loading.
    ModelName loadingModel;
    /// Whether the load in progress takes so long that it may never end.
    bool isLoadOverdue = false;
    /// Whether the last load failed so recently that no other is started yet.
    bool isBackingOff = false;
    /// Model that the engine is assigned to. It loads other models only while these have no engine.
    ModelName assignedModel;
    /// Seconds per event.
    double secondsPerEvent = 0;
    /// Number of runs of the assigned model.
    std::size_t running = 0;

    bool isLoading() const { return !loadingModel.isEmpty(); }
    /// @brief Whether the engine can start a load now, or is expected to end the one in progress soon.
    bool canLoad() const { return isLoading() ? !isLoadOverdue : !isBackingOff; }
};

/// @brief A load to start on an engine.
struct LoadDecision {
    TargetId engine;
    ModelName model;
    WeightVersion version = 0;
};

struct LoadPlanSettings {
    /// Maximum number of concurrent loads; more would slow each other down. 0: one per five engines, at least two, which the users' data
    /// sheets allow at each of their sites.
    unsigned maximumConcurrentLoads = 0;
    /// Number of versions behind the newest that submissions still allow.
    unsigned allowedVersionLag = 1;
};

/// @brief Assigns each engine to one model. A model's share of the total speed is proportional to the square root of its demand, so that a
/// model with short texts still has enough engines to load new versions on some of them while the others serve. Among engines of similar speed,
/// a model keeps those that it has. Designed for several models whose versions change every few seconds and whose texts differ in length by a
/// factor of three, on engines that differ in speed by a factor of 2.5; a new version then concerns only the engines of its model.
/// @param demand expected events per submission of each model; a model without an entry counts like the one with the lowest demand
std::map<TargetId, ModelName> assignModels(std::vector<LoadableEngine>, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand);

/// @brief Assigns the engines anew if a model has far less than its share of the total speed and would get much more of it.
/// @param waiting models with waiting samples; the others do not count as starved
/// @return the assignments of all engines, or nothing if the present ones may stay
std::optional<std::map<TargetId, ModelName>> relieveStarvedModels(const std::vector<LoadableEngine>&, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand, const std::set<ModelName>& waiting);

/// @brief Weight versions that one model's submissions require, and the number of its waiting samples.
struct ModelRequirement {
    ModelName model;
    /// Newest version that was announced.
    WeightVersion newestVersion = 0;
    /// Oldest version that all open submissions allow; 0 if none is open.
    WeightVersion oldestAllowedVersion = 0;
    /// Number of samples that wait for an engine.
    std::size_t waiting = 0;
};

/// @brief Chooses the loads to start now. Engines whose weights are too old for the next submission come first, fast ones before slow ones.
/// Other engines load the newest version only while no sample of the model waits, and only until half of the model's engines have it or are
/// loading it: the rest keep serving and load at the next version change. A model without an engine that can load it, because there are fewer
/// engines than models or because loads on its own engines fail or do not end, is loaded on one engine of another model, unless an engine has
/// weights that are new enough.
std::vector<LoadDecision> planLoads(const std::vector<LoadableEngine>&, const std::vector<ModelRequirement>&, const LoadPlanSettings&);

} // namespace cicadalb
