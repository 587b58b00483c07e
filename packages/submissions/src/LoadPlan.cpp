#include "cicadalb/submissions/LoadPlan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace cicadalb {

namespace {

    /// Engines count as equally fast up to this ratio of their paces.
    constexpr double likePaces = 1.25;
    /// Engines slower than the fastest by more than this are loaded after all others.
    constexpr double slowPaces = 1.8;

    WeightVersion versionOf(const LoadableEngine& engine, const ModelName& model)
    {
        const auto found = engine.versions.find(model);
        return found == engine.versions.end() ? 0 : found->second;
    }

    double speedOf(const LoadableEngine& engine) { return engine.pace > 0 ? 1.0 / engine.pace : 1.0; }

    /// Part of the engines' speed that each model should have.
    std::map<ModelName, double> targetSpeeds(const std::vector<LoadableEngine>& engines, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand)
    {
        auto least = std::numeric_limits<double>::infinity();
        for (const auto& [model, events] : demand)
            least = std::min(least, std::max(1.0, events));
        std::map<ModelName, double> targets;
        double total = 0;
        for (const auto& model : models) {
            const auto found = demand.find(model);
            const auto events = found != demand.end() ? std::max(1.0, found->second) : std::isfinite(least) ? least
                                                                                                            : 1.0;
            total += targets[model] = std::sqrt(events);
        }
        double speed = 0;
        for (const auto& engine : engines)
            speed += speedOf(engine);
        for (auto& [model, target] : targets)
            target *= speed / total;
        return targets;
    }

    /// The engine that @p model should get next: the fastest that is left, or one of like speed that it has already.
    std::size_t nextEngine(const std::vector<LoadableEngine>& engines, const ModelName& model)
    {
        std::size_t best = 0;
        const auto rank = [&](const LoadableEngine& engine) {
            const bool isLike = engine.pace <= engines.front().pace * likePaces;
            const bool isOwn = engine.home == model;
            return std::tuple(!isLike, !isOwn, -static_cast<std::int64_t>(versionOf(engine, model)));
        };
        for (std::size_t i = 1; i < engines.size(); ++i) {
            if (rank(engines[i]) < rank(engines[best]))
                best = i;
        }
        return best;
    }

    /// Engines for each load that runs without slowing the others.
    constexpr std::size_t enginesForLoad = 5;
    constexpr std::size_t fewestLoads = 2;

    std::size_t loadsAtOnce(const LoadPlanSettings& settings, std::size_t engines)
    {
        return settings.loadsAtOnce > 0 ? settings.loadsAtOnce : std::max(fewestLoads, engines / enginesForLoad);
    }

    struct Wish {
        LoadDecision decision;
        /// Too old for what is asked for now or next.
        bool isNeeded = false;
        bool isSlow = false;
        std::size_t running = 0;

        auto order() const { return std::tuple(!isNeeded, isSlow, running); }
    };

    /// Loads that one model's engines want.
    std::vector<Wish> wishesOf(const ModelNeed& need, const std::vector<const LoadableEngine*>& own, const LoadPlanSettings& settings)
    {
        const auto oldestUseful = std::max(need.oldestAllowed, need.newest > settings.allowedLag ? need.newest - settings.allowedLag : 0);
        auto bestPace = std::numeric_limits<double>::infinity();
        for (const auto* engine : own)
            bestPace = std::min(bestPace, engine->pace);
        std::vector<Wish> needs;
        std::vector<Wish> others;
        std::size_t current = 0;
        for (const auto* engine : own) {
            const auto version = versionOf(*engine, need.model);
            if (version >= need.newest || engine->isLoading) {
                ++current;
                continue;
            }
            const bool isNeeded = version < oldestUseful;
            const bool isSlow = engine->pace > bestPace * slowPaces;
            (isNeeded ? needs : others).push_back({ { engine->id, need.model, need.newest }, isNeeded, isSlow, engine->running });
        }
        if (need.waiting > 0)
            return needs;
        std::sort(others.begin(), others.end(), [](const auto& left, const auto& right) { return left.order() < right.order(); });
        for (const auto& wish : others) {
            if (current + needs.size() >= own.size() / 2)
                break;
            needs.push_back(wish);
        }
        return needs;
    }

} // namespace

std::map<TargetId, ModelName> assignHomes(std::vector<LoadableEngine> engines, const std::vector<ModelName>& models, const std::map<ModelName, double>& demand)
{
    std::map<TargetId, ModelName> homes;
    if (models.empty())
        return homes;
    auto missing = targetSpeeds(engines, models, demand);
    std::map<ModelName, std::size_t> counts;
    std::stable_sort(engines.begin(), engines.end(), [](const auto& left, const auto& right) { return left.pace < right.pace; });
    while (!engines.empty()) {
        // A model without any engine comes first, then the one that lacks most.
        const auto model = *std::min_element(models.begin(), models.end(), [&](const auto& left, const auto& right) {
            return std::tuple(counts[left] > 0, -missing[left]) < std::tuple(counts[right] > 0, -missing[right]);
        });
        const auto index = nextEngine(engines, model);
        homes[engines[index].id] = model;
        missing[model] -= speedOf(engines[index]);
        ++counts[model];
        engines.erase(engines.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return homes;
}

std::vector<LoadDecision> planLoads(const std::vector<LoadableEngine>& engines, const std::vector<ModelNeed>& needs, const LoadPlanSettings& settings)
{
    const auto loading = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return engine.isLoading; }));
    std::vector<Wish> wishes;
    for (const auto& need : needs) {
        std::vector<const LoadableEngine*> own;
        for (const auto& engine : engines) {
            if (engine.home == need.model)
                own.push_back(&engine);
        }
        const auto more = wishesOf(need, own, settings);
        wishes.insert(wishes.end(), more.begin(), more.end());
    }
    std::stable_sort(wishes.begin(), wishes.end(), [](const auto& left, const auto& right) { return left.order() < right.order(); });
    std::vector<LoadDecision> decisions;
    for (const auto& wish : wishes) {
        if (loading + decisions.size() >= loadsAtOnce(settings, engines.size()))
            break;
        decisions.push_back(wish.decision);
    }
    return decisions;
}

} // namespace cicadalb
