#include "TrainerSimulation.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::simulation;

namespace {

TrainerResult resultOf(double load, GroupOrder order, bool hasSlowPeriod = false)
{
    TrainerScenario scenario;
    scenario.load = load;
    scenario.order = order;
    scenario.hasSlowPeriod = hasSlowPeriod;
    return TrainerSimulation(scenario).run();
}

} // namespace

TEST_CASE("engines that keep up with their trainers, in-time-first order, finishes as many groups in time as the order of due times")
{
    for (const double load : { 0.7, 1.0 })
        CHECK(resultOf(load, GroupOrder::InTimeFirst).inTime >= resultOf(load, GroupOrder::DueTime).inTime);
}

TEST_CASE("engines asked for more than they can generate, in-time-first order, finishes far more groups in time")
{
    constexpr double wantedGain = 1.8;
    for (const double load : { 1.7, 2.5 }) {
        const auto before = resultOf(load, GroupOrder::DueTime);
        const auto after = resultOf(load, GroupOrder::InTimeFirst);
        CHECK(after.inTime >= wantedGain * before.inTime);
        CHECK(after.leastInTime > before.leastInTime);
    }
}

TEST_CASE("engines that turn slow for a while, in-time-first order, finishes more groups in time and no trainer is starved")
{
    const auto before = resultOf(1.3, GroupOrder::DueTime, true);
    const auto after = resultOf(1.3, GroupOrder::InTimeFirst, true);
    CHECK(after.inTime > before.inTime);
    CHECK(after.leastInTime > 0.5 * after.inTime);
}
