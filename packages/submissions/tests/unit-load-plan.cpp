#include "cicadalb/submissions/LoadPlan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cicadalb;

namespace {

const ModelName shortTexts("short");
const ModelName longTexts("long");
constexpr double fastPace = 0.025;
constexpr double slowPace = 0.060;

LoadableEngine engine(const std::string& id, double pace, WeightVersion version = 1, const ModelName& home = {})
{
    LoadableEngine result;
    result.id = TargetId(id);
    result.pace = pace;
    result.home = home;
    result.versions = { { shortTexts, version }, { longTexts, version } };
    return result;
}

/// Six fast and three slow engines, as at one of the users' sites.
std::vector<LoadableEngine> siteEngines()
{
    std::vector<LoadableEngine> engines;
    engines.reserve(9);
    for (int i = 0; i < 9; ++i)
        engines.push_back(engine("e" + std::to_string(i), i % 3 == 2 ? slowPace : fastPace));
    return engines;
}

std::size_t countOf(const std::map<TargetId, ModelName>& homes, const ModelName& model)
{
    return static_cast<std::size_t>(std::count_if(homes.begin(), homes.end(), [&](const auto& home) { return home.second == model; }));
}

std::size_t fastOf(const std::map<TargetId, ModelName>& homes, const ModelName& model)
{
    std::size_t count = 0;
    for (const auto& row : siteEngines())
        count += row.pace == fastPace && homes.at(row.id) == model ? 1U : 0U;
    return count;
}

} // namespace

TEST_CASE("homes, of models whose texts differ threefold, give the longer ones more of the fast engines and each at least two")
{
    const auto homes = assignHomes(siteEngines(), { shortTexts, longTexts }, { { shortTexts, 480 }, { longTexts, 1620 } });
    CHECK(homes.size() == 9);
    CHECK(fastOf(homes, longTexts) > fastOf(homes, shortTexts));
    CHECK(fastOf(homes, shortTexts) >= 2);
}

TEST_CASE("homes, computed again, stay where they are")
{
    auto engines = siteEngines();
    const std::map<ModelName, double> demand { { shortTexts, 480 }, { longTexts, 1620 } };
    const auto homes = assignHomes(engines, { shortTexts, longTexts }, demand);
    for (auto& row : engines)
        row.home = homes.at(row.id);
    std::reverse(engines.begin(), engines.end());
    CHECK(assignHomes(engines, { shortTexts, longTexts }, demand) == homes);
}

TEST_CASE("homes, without measured paces or demand, are shared evenly")
{
    std::vector<LoadableEngine> engines;
    engines.reserve(8);
    for (int i = 0; i < 8; ++i)
        engines.push_back(engine("e" + std::to_string(i), 0.04));
    const auto homes = assignHomes(engines, { shortTexts, longTexts }, {});
    CHECK(countOf(homes, shortTexts) == 4);
    CHECK(assignHomes(engines, {}, {}).empty());
}

TEST_CASE("load plan, of engines that are too old, loads as many at once as do not slow each other down, fast ones first")
{
    std::vector<LoadableEngine> engines { engine("slow", slowPace, 1, longTexts), engine("a", fastPace, 1, longTexts), engine("b", fastPace, 1, longTexts) };
    const auto loads = planLoads(engines, { { longTexts, 4, 3, 10 } }, {});
    REQUIRE(loads.size() == 2);
    CHECK(loads[0].engine.value() == "a");
    CHECK(loads[1].engine.value() == "b");
    CHECK(loads[0].version == 4);
    engines[1].isLoading = true;
    CHECK(planLoads(engines, { { longTexts, 4, 3, 10 } }, {}).size() == 1);
}

TEST_CASE("load plan, of engines one version behind, loads half of them, and none while samples wait")
{
    std::vector<LoadableEngine> engines;
    engines.reserve(4);
    for (int i = 0; i < 4; ++i)
        engines.push_back(engine("e" + std::to_string(i), fastPace, 3, longTexts));
    LoadPlanSettings settings;
    settings.loadsAtOnce = 4;
    CHECK(planLoads(engines, { { longTexts, 4, 3, 1 } }, settings).empty());
    CHECK(planLoads(engines, { { longTexts, 4, 3, 0 } }, settings).size() == 2);
    engines[0].versions[longTexts] = 4;
    engines[1].versions[longTexts] = 4;
    CHECK(planLoads(engines, { { longTexts, 4, 3, 0 } }, settings).empty());
    CHECK(planLoads(engines, { { longTexts, 5, 4, 9 } }, settings).size() == 2);
}

TEST_CASE("load plan, of another model's engines, leaves them alone")
{
    CHECK(planLoads({ engine("a", fastPace, 1, shortTexts) }, { { longTexts, 4, 3, 10 } }, {}).empty());
}
