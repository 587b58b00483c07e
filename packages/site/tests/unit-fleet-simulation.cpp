#include "FleetSimulation.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::simulation;

namespace {

FleetResult resultOf(FleetRule rule, double load, double loadStep = 1)
{
    FleetScenario scenario;
    scenario.rule = rule;
    scenario.load = load;
    scenario.loadStep = loadStep;
    scenario.duration = std::chrono::seconds(160);
    return FleetSimulation(scenario).run();
}

} // namespace

TEST_CASE("fleet of engines, planned while failure domains are reclaimed and answers lost, finishes as many groups in time as the largest fleet at 0.7 of its cost")
{
    for (const double load : { 0.4, 0.8 }) {
        CAPTURE(load);
        const auto planned = resultOf(FleetRule::Planned, load);
        const auto maximum = resultOf(FleetRule::Maximum, load);
        CHECK(planned.trainers.inTime >= 0.99 * maximum.trainers.inTime);
        CHECK(planned.cost <= 0.7 * maximum.cost);
    }
}

TEST_CASE("fleet of engines, planned and demand rises by half, finishes as many groups in time as the largest fleet at 0.7 of its cost")
{
    const auto planned = resultOf(FleetRule::Planned, 0.6, 1.5);
    const auto maximum = resultOf(FleetRule::Maximum, 0.6, 1.5);
    CHECK(planned.trainers.inTime >= 0.99 * maximum.trainers.inTime);
    CHECK(planned.cost <= 0.7 * maximum.cost);
}

TEST_CASE("fleet of engines, planned, gives few orders")
{
    // Three failure domains with two kinds each; some ten changes of the fleet in 160 s, and the repeats of unanswered calls.
    CHECK(resultOf(FleetRule::Planned, 0.6).orders <= 60);
}
