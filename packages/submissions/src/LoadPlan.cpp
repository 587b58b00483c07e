#include "cicadalb/submissions/LoadPlan.h"

#include <algorithm>

namespace cicadalb {

namespace {

    WeightVersion versionOf(const LoadableEngine& engine, const ModelName& model)
    {
        const auto found = engine.versions.find(model);
        return found == engine.versions.end() ? 0 : found->second;
    }

    WeightVersion valueOf(const std::map<ModelName, WeightVersion>& values, const ModelName& model)
    {
        const auto found = values.find(model);
        return found == values.end() ? 0 : found->second;
    }

    /// Engines that a model may keep.
    std::size_t quota(std::size_t engines, std::size_t models) { return (engines + models - 1) / models; }

    struct Wish {
        LoadDecision decision;
        /// Too old for what is asked for now or next.
        bool isNeeded = false;
        std::size_t running = 0;
    };

    /// Loads that one model's engines want, in no order.
    std::vector<Wish> wishesOf(const ModelName& model, WeightVersion newest, WeightVersion needed, const std::vector<const LoadableEngine*>& own, const LoadPlanSettings& settings)
    {
        const auto oldestUseful = std::max(needed, newest > settings.allowedLag ? newest - settings.allowedLag : 0);
        std::vector<Wish> needs;
        std::vector<Wish> others;
        std::size_t current = 0;
        for (const auto* engine : own) {
            const auto version = versionOf(*engine, model);
            if (version >= newest || engine->isLoading) {
                ++current;
                continue;
            }
            const bool isNeeded = version < oldestUseful;
            (isNeeded ? needs : others).push_back({ { engine->id, model, newest }, isNeeded, engine->running });
        }
        std::sort(others.begin(), others.end(), [](const auto& left, const auto& right) { return left.running < right.running; });
        for (const auto& wish : others) {
            if (current + needs.size() >= own.size() / 2)
                break;
            needs.push_back(wish);
        }
        return needs;
    }

} // namespace

std::map<TargetId, ModelName> assignHomes(std::vector<LoadableEngine> engines, const std::vector<ModelName>& models)
{
    std::map<TargetId, ModelName> homes;
    if (models.empty())
        return homes;
    std::map<ModelName, std::size_t> counts;
    const auto most = quota(engines.size(), models.size());
    for (const auto& engine : engines) {
        if (!engine.home.isEmpty() && counts[engine.home] < most && std::find(models.begin(), models.end(), engine.home) != models.end()) {
            homes[engine.id] = engine.home;
            ++counts[engine.home];
        }
    }
    std::stable_sort(engines.begin(), engines.end(), [](const auto& left, const auto& right) { return left.pace < right.pace; });
    for (const auto& engine : engines) {
        if (homes.contains(engine.id))
            continue;
        // The model with the fewest engines; among equals the one whose weights the engine holds best.
        const auto model = *std::min_element(models.begin(), models.end(), [&](const auto& left, const auto& right) {
            return std::tuple(counts[left], -static_cast<std::int64_t>(versionOf(engine, left))) < std::tuple(counts[right], -static_cast<std::int64_t>(versionOf(engine, right)));
        });
        homes[engine.id] = model;
        ++counts[model];
    }
    return homes;
}

std::vector<LoadDecision> planLoads(const std::vector<LoadableEngine>& engines, const std::map<ModelName, WeightVersion>& newest,
    const std::map<ModelName, WeightVersion>& needed, const LoadPlanSettings& settings)
{
    const auto loading = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return engine.isLoading; }));
    std::vector<Wish> wishes;
    for (const auto& [model, version] : newest) {
        std::vector<const LoadableEngine*> own;
        for (const auto& engine : engines) {
            if (engine.home == model)
                own.push_back(&engine);
        }
        const auto more = wishesOf(model, version, valueOf(needed, model), own, settings);
        wishes.insert(wishes.end(), more.begin(), more.end());
    }
    std::stable_sort(wishes.begin(), wishes.end(), [](const auto& left, const auto& right) {
        return std::tuple(!left.isNeeded, left.running) < std::tuple(!right.isNeeded, right.running);
    });
    std::vector<LoadDecision> decisions;
    for (const auto& wish : wishes) {
        if (loading + decisions.size() >= settings.loadsAtOnce)
            break;
        decisions.push_back(wish.decision);
    }
    return decisions;
}

} // namespace cicadalb
