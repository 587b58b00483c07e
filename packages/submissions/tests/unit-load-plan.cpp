#include "cicadalb/submissions/LoadPlan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cicadalb;

namespace {

const ModelName shortTexts("short");
const ModelName longTexts("long");
constexpr double fastSecondsPerEvent = 0.025;
constexpr double slowSecondsPerEvent = 0.060;

LoadableEngine engine(const std::string& id, double secondsPerEvent, WeightVersion version = 1, const ModelName& assignedModel = {})
{
    LoadableEngine result;
    result.id = TargetId(id);
    result.secondsPerEvent = secondsPerEvent;
    result.assignedModel = assignedModel;
    result.versions = { { shortTexts, version }, { longTexts, version } };
    return result;
}

/// Six fast and three slow engines, as at one of the users' sites.
std::vector<LoadableEngine> siteEngines()
{
    std::vector<LoadableEngine> engines;
    engines.reserve(9);
    for (int i = 0; i < 9; ++i)
        engines.push_back(engine("e" + std::to_string(i), i % 3 == 2 ? slowSecondsPerEvent : fastSecondsPerEvent));
    return engines;
}

std::size_t engineCount(const std::map<TargetId, ModelName>& assignments, const ModelName& model)
{
    return static_cast<std::size_t>(std::count_if(assignments.begin(), assignments.end(), [&](const auto& assignment) { return assignment.second == model; }));
}

std::size_t fastEngineCount(const std::map<TargetId, ModelName>& assignments, const ModelName& model)
{
    std::size_t count = 0;
    for (const auto& candidate : siteEngines())
        count += candidate.secondsPerEvent == fastSecondsPerEvent && assignments.at(candidate.id) == model ? 1U : 0U;
    return count;
}

} // namespace

TEST_CASE("engine assignment gives the model with texts three times as long more of the fast engines, and the other at least two")
{
    const auto assignments = assignModels(siteEngines(), { shortTexts, longTexts }, { { shortTexts, 480 }, { longTexts, 1620 } });
    CHECK(assignments.size() == 9);
    CHECK(fastEngineCount(assignments, longTexts) > fastEngineCount(assignments, shortTexts));
    CHECK(fastEngineCount(assignments, shortTexts) >= 2);
}

TEST_CASE("engine assignment stays the same when it is computed again")
{
    auto engines = siteEngines();
    const std::map<ModelName, double> demand { { shortTexts, 480 }, { longTexts, 1620 } };
    const auto assignments = assignModels(engines, { shortTexts, longTexts }, demand);
    for (auto& assigned : engines)
        assigned.assignedModel = assignments.at(assigned.id);
    std::reverse(engines.begin(), engines.end());
    CHECK(assignModels(engines, { shortTexts, longTexts }, demand) == assignments);
}

TEST_CASE("engine assignment is even if all engines are equally fast and no demand is known")
{
    std::vector<LoadableEngine> engines;
    engines.reserve(8);
    for (int i = 0; i < 8; ++i)
        engines.push_back(engine("e" + std::to_string(i), 0.04));
    const auto assignments = assignModels(engines, { shortTexts, longTexts }, {});
    CHECK(engineCount(assignments, shortTexts) == 4);
    CHECK(assignModels(engines, {}, {}).empty());
}

TEST_CASE("load plan for outdated engines starts as many loads as do not slow each other down, on fast engines first")
{
    std::vector<LoadableEngine> engines { engine("slow", slowSecondsPerEvent, 1, longTexts), engine("a", fastSecondsPerEvent, 1, longTexts), engine("b", fastSecondsPerEvent, 1, longTexts) };
    const auto loads = planLoads(engines, { { longTexts, 4, 3, 10 } }, {});
    REQUIRE(loads.size() == 2);
    CHECK(loads[0].engine.value() == "a");
    CHECK(loads[1].engine.value() == "b");
    CHECK(loads[0].version == 4);
    engines[1].isLoading = true;
    CHECK(planLoads(engines, { { longTexts, 4, 3, 10 } }, {}).size() == 1);
}

TEST_CASE("load plan for engines one version behind loads half of them, and none while samples wait")
{
    std::vector<LoadableEngine> engines;
    engines.reserve(4);
    for (int i = 0; i < 4; ++i)
        engines.push_back(engine("e" + std::to_string(i), fastSecondsPerEvent, 3, longTexts));
    LoadPlanSettings settings;
    settings.maximumConcurrentLoads = 4;
    CHECK(planLoads(engines, { { longTexts, 4, 3, 1 } }, settings).empty());
    CHECK(planLoads(engines, { { longTexts, 4, 3, 0 } }, settings).size() == 2);
    engines[0].versions[longTexts] = 4;
    engines[1].versions[longTexts] = 4;
    CHECK(planLoads(engines, { { longTexts, 4, 3, 0 } }, settings).empty());
    CHECK(planLoads(engines, { { longTexts, 5, 4, 9 } }, settings).size() == 2);
}

TEST_CASE("load plan leaves engines of another model alone")
{
    CHECK(planLoads({ engine("a", fastSecondsPerEvent, 1, shortTexts) }, { { longTexts, 4, 3, 10 } }, {}).empty());
}
