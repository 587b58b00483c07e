#include "FairQueue.h"
#include "OrganisationLoad.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdio>
#include <set>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct Group {
    unsigned asked = 0;
    unsigned served = 0;
    std::vector<double> milliseconds;

    void add(const OrganisationResult& result)
    {
        asked += result.asked;
        served += result.served;
        milliseconds.insert(milliseconds.end(), result.milliseconds.begin(), result.milliseconds.end());
    }
    double servedRatio() const { return asked > 0 ? static_cast<double>(served) / asked : 1; }
    double percentile(double fraction)
    {
        if (milliseconds.empty())
            return 0;
        std::sort(milliseconds.begin(), milliseconds.end());
        return milliseconds[static_cast<std::size_t>(fraction * static_cast<double>(milliseconds.size() - 1))];
    }
};

constexpr std::size_t largeOrganisations = 8;

/// @brief Served part of the worst tenth and of all, small and large organisations apart.
struct Summary {
    explicit Summary(const std::vector<OrganisationResult>& results)
    {
        std::vector<double> ratios;
        for (std::size_t i = 0; i < results.size(); ++i) {
            (i < largeOrganisations ? large : small).add(results[i]);
            all.add(results[i]);
            ratios.push_back(results[i].servedRatio());
        }
        std::sort(ratios.begin(), ratios.end());
        least = ratios.front();
        const auto tenth = ratios.size() / 10;
        for (std::size_t i = 0; i < tenth; ++i)
            worstTenth += ratios[i] / static_cast<double>(tenth);
    }

    void print(const char* order, double load)
    {
        std::printf("%-8s load %.1f  served: all %.3f large %.3f small %.3f least %.3f worst tenth %.3f  ms: large p50 %.0f p99 %.0f, small p50 %.0f p99 %.0f\n", order, load, all.servedRatio(), large.servedRatio(),
            small.servedRatio(), least, worstTenth, large.percentile(0.5), large.percentile(0.99), small.percentile(0.5), small.percentile(0.99));
    }

    Group all;
    Group large;
    Group small;
    double least = 0;
    double worstTenth = 0;
};

unsigned servedOfOthersThan(std::size_t organisation, const std::vector<OrganisationResult>& results)
{
    unsigned served = 0;
    for (std::size_t i = 0; i < results.size(); ++i)
        served += i == organisation ? 0 : results[i].served;
    return served;
}

} // namespace

TEST_CASE("organisation shares, 80 organisations of unequal size ask for too much, serves each at least a quarter as often as all and nobody idles")
{
    const auto load = GENERATE(0.7, 1.0, 1.5, 3.0);
    OrganisationLoadOptions options;
    options.load = load;
    options.areShared = false;
    OrganisationLoad plain(options);
    Summary(plain.run()).print("plain", load);
    options.areShared = true;
    OrganisationLoad shared(options);
    Summary summary(shared.run());
    summary.print("shared", load);
    for (const auto* run : { &plain, &shared }) {
        const auto& totals = run->totals();
        std::printf("         queued %lu refused %lu for room %lu after waiting %lu, without target %lu, idle %u\n", totals.queued, totals.refused, totals.refusedForRoom, totals.refusedAfterWaiting, totals.refusedWithoutTarget, run->idleWhileWaiting());
    }
    CHECK(summary.least >= summary.all.servedRatio() / 4);
    CHECK(shared.idleWhileWaiting() == 0);
}

TEST_CASE("organisation shares, one organisation floods the pool, costs the others at most 5% of what they get without it")
{
    const auto load = GENERATE(0.7, 1.0, 1.5);
    OrganisationLoadOptions options;
    options.load = load;
    OrganisationLoad quiet(options);
    const auto without = servedOfOthersThan(0, quiet.run());
    options.flood = 3;
    OrganisationLoad flooded(options);
    const auto& results = flooded.run();
    const auto with = servedOfOthersThan(0, results);
    options.areShared = false;
    OrganisationLoad plain(options);
    const auto withPlain = servedOfOthersThan(0, plain.run());
    Summary summary(results);
    std::printf("flood at load %.1f: others served without %u, with %u (%.3f), plain queue %.3f; flooding organisation %.3f, least %.3f, all %.3f\n", load, without, with, static_cast<double>(with) / without, static_cast<double>(withPlain) / without, results[0].servedRatio(), summary.least, summary.all.servedRatio());
    CHECK(with >= 0.95 * without);
    CHECK(summary.least >= summary.all.servedRatio() / 4);
}

TEST_CASE("organisation shares, the organisation that floods stops, has others use its places within half a second")
{
    OrganisationLoadOptions options;
    options.load = 1.5;
    options.flood = 3;
    options.floodEndsAt = 40s;
    OrganisationLoad load(options);
    load.run();
    for (long halfSecond = 81; halfSecond < 100; ++halfSecond) {
        INFO("half second " << halfSecond);
        CHECK(load.servedOfAll().at(halfSecond) >= 0.9 * OrganisationLoad::capacity / 2);
    }
}
