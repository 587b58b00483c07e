#include "cicadalb/submissions/LoadPlan.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

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
    engines[1].loadingModel = longTexts;
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

TEST_CASE("load plan leaves engines of another model alone while the model has an engine")
{
    auto own = engine("own", fastSecondsPerEvent, 1, longTexts);
    const auto other = engine("other", fastSecondsPerEvent, 1, shortTexts);
    const auto loads = planLoads({ own, other }, { { longTexts, 4, 3, 10 } }, {});
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].engine.value() == "own");
    own.loadingModel = longTexts;
    CHECK(planLoads({ own, other }, { { longTexts, 4, 3, 10 } }, {}).empty());
    own.loadingModel = {};
    own.versions[longTexts] = 4;
    CHECK(planLoads({ own, other }, { { longTexts, 4, 3, 10 } }, {}).empty());
}

// Review case 3: with fewer engines than models, the items of a model without an engine were never placed.
TEST_CASE("load plan with fewer engines than models loads the model without an engine on one engine of another model")
{
    auto busy = engine("busy", fastSecondsPerEvent, 1, shortTexts);
    busy.running = 3;
    auto idle = engine("idle", fastSecondsPerEvent, 1, shortTexts);
    const ModelRequirement requirement { longTexts, 3, 2, 24 };
    const auto loads = planLoads({ busy, idle }, { requirement }, {});
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].engine.value() == "idle");
    CHECK(loads[0].model == longTexts);
    CHECK(loads[0].version == 3);
    idle.loadingModel = longTexts;
    CHECK(planLoads({ busy, idle }, { requirement }, {}).empty());
    idle.loadingModel = {};
    idle.versions[longTexts] = 2;
    CHECK(planLoads({ busy, idle }, { requirement }, {}).empty());
}

TEST_CASE("load plan for a model whose only engine fails or does not end its load uses an engine of another model")
{
    auto own = engine("own", fastSecondsPerEvent, 1, longTexts);
    const auto other = engine("other", slowSecondsPerEvent, 1, shortTexts);
    const ModelRequirement requirement { longTexts, 3, 2, 24 };
    SECTION("the last load has failed")
    {
        own.isBackingOff = true;
    }
    SECTION("the load is overdue")
    {
        own.loadingModel = longTexts;
        own.isLoadOverdue = true;
    }
    const auto loads = planLoads({ own, other }, { requirement }, {});
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].engine.value() == "other");
}

TEST_CASE("load plan with overdue loads on as many engines as may load at a time still starts others")
{
    std::vector<LoadableEngine> engines;
    for (const auto* id : { "a", "b", "c" })
        engines.push_back(engine(id, fastSecondsPerEvent, 1, longTexts));
    for (std::size_t i = 0; i < 2; ++i) {
        engines[i].loadingModel = longTexts;
        engines[i].isLoadOverdue = true;
    }
    const auto loads = planLoads(engines, { { longTexts, 4, 3, 10 } }, {});
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].engine.value() == "c");
}

namespace {

/// Nine equally fast engines; the first @p shortEngines are assigned to the short texts.
std::vector<LoadableEngine> assignedEngines(int shortEngines)
{
    std::vector<LoadableEngine> engines;
    engines.reserve(9);
    for (int i = 0; i < 9; ++i)
        engines.push_back(engine("e" + std::to_string(i), fastSecondsPerEvent, 1, i < shortEngines ? shortTexts : longTexts));
    return engines;
}

} // namespace

// Guards against a model that keeps one engine of nine although its samples wait.
TEST_CASE("engine assignment, model with waiting samples has one engine of nine, relieves it and moves no more engines than needed")
{
    const auto relieved = relieveStarvedModels(assignedEngines(1), { shortTexts, longTexts }, {}, { shortTexts });
    REQUIRE(relieved);
    CHECK(engineCount(*relieved, shortTexts) >= 4);
    CHECK(engineCount(*relieved, longTexts) >= 4);
    CHECK(relieved->at(TargetId("e0")) == shortTexts);
}

TEST_CASE("engine assignment, model without waiting samples or with most of its share, is left as it is")
{
    CHECK_FALSE(relieveStarvedModels(assignedEngines(1), { shortTexts, longTexts }, {}, { longTexts }));
    CHECK_FALSE(relieveStarvedModels(assignedEngines(1), { shortTexts, longTexts }, {}, {}));
    CHECK_FALSE(relieveStarvedModels(assignedEngines(3), { shortTexts, longTexts }, {}, { shortTexts }));
}

TEST_CASE("engine assignment, fewer engines than models, is not changed again and again")
{
    const std::vector<ModelName> models { shortTexts, longTexts, ModelName("other") };
    const std::vector<LoadableEngine> engines { engine("e0", fastSecondsPerEvent, 1, shortTexts), engine("e1", fastSecondsPerEvent, 1, longTexts) };
    CHECK_FALSE(relieveStarvedModels(engines, models, {}, { models.begin(), models.end() }));
}

TEST_CASE("engine assignment, any engines and shares, relieving a starved model leaves it unstarved and is final")
{
    CHECK(rc::check("a relieved assignment stays", [] {
        std::vector<LoadableEngine> engines(*rc::gen::inRange<std::size_t>(1, 12));
        std::vector<ModelName> models;
        const auto modelCount = *rc::gen::inRange<std::size_t>(1, 5);
        for (std::size_t i = 0; i < modelCount; ++i)
            models.emplace_back("m" + std::to_string(i));
        std::map<ModelName, double> demand;
        for (const auto& model : models)
            demand[model] = *rc::gen::inRange(1, 2000);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            engines[i].id = TargetId("e" + std::to_string(i));
            engines[i].secondsPerEvent = *rc::gen::element(fastSecondsPerEvent, slowSecondsPerEvent);
            engines[i].assignedModel = models[*rc::gen::inRange<std::size_t>(0, modelCount)];
        }
        const std::set<ModelName> waiting(models.begin(), models.end());
        for (unsigned round = 0; round < 3; ++round) {
            const auto relieved = relieveStarvedModels(engines, models, demand, waiting);
            if (!relieved)
                return;
            RC_ASSERT(round < 2U);
            for (auto& assigned : engines)
                assigned.assignedModel = relieved->at(assigned.id);
        }
    }));
}

TEST_CASE("load plan, any engines and models, never leaves a model without an engine")
{
    CHECK(rc::check("each model has useful weights on an engine after some loads", [] {
        std::vector<LoadableEngine> engines(*rc::gen::inRange<std::size_t>(1, 7));
        std::vector<ModelName> models;
        const auto modelCount = *rc::gen::inRange<std::size_t>(1, 9);
        for (std::size_t i = 0; i < modelCount; ++i)
            models.emplace_back("m" + std::to_string(i));
        std::map<ModelName, double> demand;
        for (const auto& model : models)
            demand[model] = *rc::gen::inRange(1, 2000);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            engines[i].id = TargetId("e" + std::to_string(i));
            engines[i].secondsPerEvent = *rc::gen::element(fastSecondsPerEvent, slowSecondsPerEvent);
            for (const auto& model : models)
                engines[i].versions[model] = *rc::gen::inRange<WeightVersion>(1, 4);
        }
        const auto assignments = assignModels(engines, models, demand);
        for (auto& assigned : engines)
            assigned.assignedModel = assignments.at(assigned.id);
        // All engines but one may fail each load or never end one.
        for (std::size_t i = 1; i < engines.size(); ++i) {
            engines[i].isBackingOff = *rc::gen::arbitrary<bool>();
            if (*rc::gen::inRange(0, 4) == 0) {
                engines[i].loadingModel = models[*rc::gen::inRange<std::size_t>(0, models.size())];
                engines[i].isLoadOverdue = true;
            }
        }
        std::vector<ModelRequirement> requirements;
        requirements.reserve(models.size());
        for (const auto& model : models)
            requirements.push_back({ model, 4, 3, *rc::gen::inRange<std::size_t>(0, 9) });
        for (std::size_t round = 0; round <= models.size() * engines.size(); ++round) {
            for (const auto& decision : planLoads(engines, requirements, {})) {
                auto& loaded = *std::find_if(engines.begin(), engines.end(), [&](const auto& candidate) { return candidate.id == decision.engine; });
                RC_ASSERT(loaded.canLoad());
                loaded.versions[decision.model] = decision.version;
            }
        }
        for (const auto& model : models) {
            const auto isServed = [&](const LoadableEngine& candidate) { return candidate.loadingModel != model && candidate.versions.at(model) >= 3; };
            RC_ASSERT(std::any_of(engines.begin(), engines.end(), isServed));
        }
    }));
}
