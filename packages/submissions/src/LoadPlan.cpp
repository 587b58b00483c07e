#include "cicadalb/submissions/LoadPlan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>

namespace cicadalb {

namespace {

    /// Engines count as equally fast up to this ratio of their seconds per event.
    constexpr double similarSpeedRatio = 1.25;
    /// Engines slower than the model's fastest by more than this factor load last among equally urgent ones.
    constexpr double slowEngineRatio = 1.8;

    WeightVersion versionOf(const LoadableEngine& engine, const ModelName& model)
    {
        const auto found = engine.versions.find(model);
        return found == engine.versions.end() ? 0 : found->second;
    }

    double speedOf(const LoadableEngine& engine) { return engine.secondsPerEvent > 0 ? 1.0 / engine.secondsPerEvent : 1.0; }

    /// A model with less than this part of its share of the total speed is starved.
    constexpr double starvedShare = 0.6;

    /// Share of the engines' total speed that each model should get, in events per second.
    std::map<ModelName, double> speedShares(const std::vector<LoadableEngine>& engines, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand)
    {
        auto lowestDemand = std::numeric_limits<double>::infinity();
        for (const auto& [model, events] : demand)
            lowestDemand = std::min(lowestDemand, std::max(1.0, events));
        std::map<ModelName, double> shares;
        double totalWeight = 0;
        for (const auto& model : models) {
            const auto found = demand.find(model);
            const auto events = found != demand.end() ? std::max(1.0, found->second) : std::isfinite(lowestDemand) ? lowestDemand
                                                                                                                   : 1.0;
            totalWeight += shares[model] = std::sqrt(events);
        }
        double totalSpeed = 0;
        for (const auto& engine : engines)
            totalSpeed += speedOf(engine);
        for (auto& [model, share] : shares)
            share *= totalSpeed / totalWeight;
        return shares;
    }

    /// Index of the engine to assign to @p model next. Of the fastest remaining engines, those already assigned to the model come first, then
    /// those with newer weights. @p engines is sorted by speed.
    std::size_t nextEngine(const std::vector<LoadableEngine>& engines, const ModelName& model)
    {
        std::size_t best = 0;
        const auto preference = [&](const LoadableEngine& engine) {
            const bool isAmongFastest = engine.secondsPerEvent <= engines.front().secondsPerEvent * similarSpeedRatio;
            const bool isAssigned = engine.assignedModel == model;
            return std::tuple(!isAmongFastest, !isAssigned, -static_cast<std::int64_t>(versionOf(engine, model)));
        };
        for (std::size_t i = 1; i < engines.size(); ++i) {
            if (preference(engines[i]) < preference(engines[best]))
                best = i;
        }
        return best;
    }

    /// Number of engines per concurrent load at which the loads do not slow each other down.
    constexpr std::size_t enginesPerLoad = 5;
    constexpr std::size_t minimumConcurrentLoads = 2;

    std::size_t concurrentLoadLimit(const LoadPlanSettings& settings, std::size_t engines)
    {
        return settings.maximumConcurrentLoads > 0 ? settings.maximumConcurrentLoads : std::max(minimumConcurrentLoads, engines / enginesPerLoad);
    }

    struct LoadCandidate {
        LoadDecision decision;
        /// Whether the engine's weights are too old for the open submissions or the next one.
        bool isRequired = false;
        bool isSlow = false;
        std::size_t running = 0;

        auto sortKey() const { return std::tuple(!isRequired, isSlow, running); }
    };

    /// The oldest version that the open submissions of a model and the next one allow.
    WeightVersion oldestUsefulVersion(const ModelRequirement& requirement, const LoadPlanSettings& settings)
    {
        return std::max(requirement.oldestAllowedVersion, requirement.newestVersion > settings.allowedVersionLag ? requirement.newestVersion - settings.allowedVersionLag : 0);
    }

    /// The load of a model that none of its own engines can load, on another model's engine. Nothing if an engine has useful weights or is
    /// loading them. Engines with newer weights of the model come first, then those with fewer runs.
    std::optional<LoadCandidate> substituteCandidate(const ModelRequirement& requirement, const std::vector<LoadableEngine>& engines, const LoadPlanSettings& settings)
    {
        const auto oldestUseful = oldestUsefulVersion(requirement, settings);
        const auto preference = [&](const LoadableEngine& engine) { return std::tuple(-static_cast<std::int64_t>(versionOf(engine, requirement.model)), engine.running, engine.secondsPerEvent); };
        const LoadableEngine* best = nullptr;
        for (const auto& engine : engines) {
            const bool isLoadingModel = engine.loadingModel == requirement.model;
            if (isLoadingModel ? engine.canLoad() : versionOf(engine, requirement.model) >= oldestUseful)
                return std::nullopt;
            if (engine.isLoading() || !engine.canLoad())
                continue;
            if (!best || preference(engine) < preference(*best))
                best = &engine;
        }
        if (!best)
            return std::nullopt;
        return LoadCandidate { { best->id, requirement.model, requirement.newestVersion }, true, false, best->running };
    }

    /// Loads to consider for one model's engines.
    std::vector<LoadCandidate> loadCandidates(const ModelRequirement& requirement, const std::vector<const LoadableEngine*>& assigned, const LoadPlanSettings& settings)
    {
        const auto oldestUseful = oldestUsefulVersion(requirement, settings);
        auto lowestSecondsPerEvent = std::numeric_limits<double>::infinity();
        for (const auto* engine : assigned)
            lowestSecondsPerEvent = std::min(lowestSecondsPerEvent, engine->secondsPerEvent);
        std::vector<LoadCandidate> selected;
        std::vector<LoadCandidate> others;
        std::size_t upToDateOrLoading = 0;
        for (const auto* engine : assigned) {
            const auto version = versionOf(*engine, requirement.model);
            if (version >= requirement.newestVersion || engine->loadingModel == requirement.model) {
                ++upToDateOrLoading;
                continue;
            }
            if (engine->isLoading())
                continue;
            const bool isRequired = version < oldestUseful;
            const bool isSlow = engine->secondsPerEvent > lowestSecondsPerEvent * slowEngineRatio;
            (isRequired ? selected : others).push_back({ { engine->id, requirement.model, requirement.newestVersion }, isRequired, isSlow, engine->running });
        }
        if (requirement.waiting > 0)
            return selected;
        std::sort(others.begin(), others.end(), [](const auto& left, const auto& right) { return left.sortKey() < right.sortKey(); });
        for (const auto& candidate : others) {
            if (upToDateOrLoading + selected.size() >= assigned.size() / 2)
                break;
            selected.push_back(candidate);
        }
        return selected;
    }

} // namespace

std::map<TargetId, ModelName> assignModels(std::vector<LoadableEngine> engines, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand)
{
    std::map<TargetId, ModelName> assignments;
    if (models.empty())
        return assignments;
    auto deficits = speedShares(engines, models, demand);
    std::map<ModelName, std::size_t> engineCounts;
    std::stable_sort(engines.begin(), engines.end(), [](const auto& left, const auto& right) { return left.secondsPerEvent < right.secondsPerEvent; });
    while (!engines.empty()) {
        // Models without an engine come first, then the model that is furthest below its share of the speed.
        const auto model = *std::min_element(models.begin(), models.end(), [&](const auto& left, const auto& right) {
            return std::tuple(engineCounts[left] > 0, -deficits[left]) < std::tuple(engineCounts[right] > 0, -deficits[right]);
        });
        const auto index = nextEngine(engines, model);
        assignments[engines[index].id] = model;
        deficits[model] -= speedOf(engines[index]);
        ++engineCounts[model];
        engines.erase(engines.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return assignments;
}

std::optional<std::map<TargetId, ModelName>> relieveStarvedModels(const std::vector<LoadableEngine>& engines, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand, const std::set<ModelName>& waiting)
{
    const auto shares = speedShares(engines, models, demand);
    std::map<ModelName, double> speeds;
    for (const auto& engine : engines)
        speeds[engine.assignedModel] += speedOf(engine);
    const auto isStarved = [&](const ModelName& model) { return waiting.contains(model) && speeds[model] < shares.at(model) * starvedShare; };
    if (std::none_of(models.begin(), models.end(), isStarved))
        return std::nullopt;
    auto assignments = assignModels(engines, models, demand);
    std::map<ModelName, double> newSpeeds;
    for (const auto& engine : engines)
        newSpeeds[assignments.at(engine.id)] += speedOf(engine);
    const auto isRelieved = [&](const ModelName& model) { return isStarved(model) && newSpeeds[model] >= shares.at(model) * starvedShare; };
    if (std::none_of(models.begin(), models.end(), isRelieved))
        return std::nullopt;
    return assignments;
}

std::vector<LoadDecision> planLoads(const std::vector<LoadableEngine>& engines, const std::vector<ModelRequirement>& requirements, const LoadPlanSettings& settings)
{
    const auto loading = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return engine.isLoading() && engine.canLoad(); }));
    std::vector<LoadCandidate> candidates;
    for (const auto& requirement : requirements) {
        std::vector<const LoadableEngine*> assigned;
        for (const auto& engine : engines) {
            if (engine.assignedModel == requirement.model && engine.canLoad())
                assigned.push_back(&engine);
        }
        if (assigned.empty()) {
            if (auto substitute = substituteCandidate(requirement, engines, settings))
                candidates.push_back(std::move(*substitute));
            continue;
        }
        const auto modelCandidates = loadCandidates(requirement, assigned, settings);
        candidates.insert(candidates.end(), modelCandidates.begin(), modelCandidates.end());
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return left.sortKey() < right.sortKey(); });
    std::vector<LoadDecision> decisions;
    const auto isChosen = [&decisions](const TargetId& engine) { return std::any_of(decisions.begin(), decisions.end(), [&](const auto& decision) { return decision.engine == engine; }); };
    for (const auto& candidate : candidates) {
        if (loading + decisions.size() >= concurrentLoadLimit(settings, engines.size()))
            break;
        // An engine loads one model at a time.
        if (isChosen(candidate.decision.engine))
            continue;
        decisions.push_back(candidate.decision);
    }
    return decisions;
}

} // namespace cicadalb
