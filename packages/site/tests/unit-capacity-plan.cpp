#include "cicadalb/site/CapacityPlan.h"

#include "cicadalb/base/Clock.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

FailureDomain domain(unsigned index) { return FailureDomain("domain-" + std::to_string(index)); }

PoolScaling scaling(std::vector<double> prices, double reclaimablePriceShare, unsigned minimum = 1, unsigned maximum = 24)
{
    PoolScaling result;
    result.minimum = minimum;
    result.maximum = maximum;
    result.bootTime = 4s;
    result.reclaimablePriceShare = reclaimablePriceShare;
    for (unsigned i = 0; i < prices.size(); ++i)
        result.prices[domain(i)] = prices[i];
    return result;
}

rc::Gen<PoolScaling> anyScaling(unsigned mostDomains = 5, unsigned highestMaximum = 30)
{
    return rc::gen::exec([=] {
        std::vector<double> prices;
        const auto domains = *rc::gen::inRange(1U, mostDomains + 1);
        for (unsigned i = 0; i < domains; ++i)
            prices.push_back(0.5 + 0.1 * *rc::gen::inRange(0, 15));
        const auto maximum = *rc::gen::inRange(1U, highestMaximum + 1);
        return scaling(prices, *rc::gen::element(0.0, 0.22, 0.5, 0.9), *rc::gen::inRange(0U, std::min(3U, maximum) + 1), maximum);
    });
}

unsigned limitOf(const PoolScaling& scaling) { return static_cast<unsigned>(scaling.prices.size()) * scaling.maximum; }

/// Lowest cost of all fleets within the limits that keep @p needed engines.
double lowestCost(const PoolScaling& scaling, unsigned needed, unsigned index, Fleet& fleet)
{
    if (index == scaling.prices.size())
        return remainingEngines(fleet) >= needed ? costPerSecond(fleet, scaling) : std::numeric_limits<double>::infinity();
    auto lowest = std::numeric_limits<double>::infinity();
    for (unsigned total = scaling.minimum; total <= scaling.maximum; ++total) {
        for (unsigned reclaimable = 0; reclaimable <= (scaling.reclaimablePriceShare > 0 ? total : 0); ++reclaimable) {
            fleet[domain(index)] = { total - reclaimable, reclaimable };
            lowest = std::min(lowest, lowestCost(scaling, needed, index + 1, fleet));
        }
    }
    return lowest;
}

/// A platform that carries orders out at once or after a while, and a fleet under the real decisions.
class Site {
public:
    Site(PoolScaling poolScaling, Fleet fleet)
        : m_scaling(std::move(poolScaling))
    {
        m_state.present = std::move(fleet);
        m_state.isNeedKnown = true;
        m_state.mayReduce = true;
    }

    CapacityState& state() { return m_state; }

    /// @return number of orders
    std::size_t round()
    {
        const auto decisions = decideOrders(m_scaling, m_state);
        for (const auto& decision : decisions) {
            m_state.ordered[decision.source] = decision.engines;
            m_state.present[decision.source.failureDomain].of(decision.source.isReclaimable) = decision.engines;
        }
        return decisions.size();
    }

private:
    PoolScaling m_scaling;
    CapacityState m_state;
};

Fleet plainFleet(unsigned domains, unsigned each)
{
    Fleet fleet;
    for (unsigned i = 0; i < domains; ++i)
        fleet[domain(i)] = { each, 0 };
    return fleet;
}

EngineUse use(unsigned engines, double share, double lateShare = 0)
{
    constexpr unsigned slots = 6;
    return { engines, engines * slots, static_cast<unsigned>(share * engines * slots), lateShare };
}

void observe(EngineNeed& need, const EngineUse& use, ManualClock& clock, std::chrono::seconds duration)
{
    for (auto passed = 0ms; passed < duration; passed += 500ms) {
        need.observe(use, clock.now());
        clock.advance(500ms);
    }
}

} // namespace

TEST_CASE("fleet plan, any limits and prices, keeps to the limits of each failure domain and survives the loss of one's reclaimable engines")
{
    CHECK(rc::check([] {
        const auto limits = *anyScaling();
        const auto needed = *rc::gen::inRange(0U, 100U);
        const auto fleet = planFleet(limits, needed);
        RC_ASSERT(fleet.size() == limits.prices.size());
        for (const auto& [failureDomain, counts] : fleet) {
            RC_ASSERT(counts.total() >= limits.minimum);
            RC_ASSERT(counts.total() <= limits.maximum);
        }
        RC_ASSERT(remainingEngines(fleet) >= std::min(needed, limitOf(limits)));
    }));
}

TEST_CASE("fleet plan, small limits, costs no more than any other fleet that does as well")
{
    CHECK(rc::check([] {
        const auto limits = *anyScaling(3, 4);
        const auto needed = *rc::gen::inRange(0U, limitOf(limits) + 1);
        Fleet tried;
        const auto lowest = lowestCost(limits, needed, 0, tried);
        RC_ASSERT(costPerSecond(planFleet(limits, needed), limits) <= lowest + 1e-9);
    }));
}

TEST_CASE("fleet plan, more is needed, never costs less and never keeps fewer engines")
{
    CHECK(rc::check([] {
        const auto limits = *anyScaling();
        const auto less = *rc::gen::inRange(0U, 60U);
        const auto more = *rc::gen::inRange(less, 90U);
        const auto small = planFleet(limits, less);
        const auto large = planFleet(limits, more);
        RC_ASSERT(remainingEngines(large) >= std::min(less, limitOf(limits)));
        RC_ASSERT(costPerSecond(large, limits) >= costPerSecond(small, limits) - 1e-9);
    }));
}

TEST_CASE("fleet plan, none to be had of some sources, asks for no more of them than are there")
{
    CHECK(rc::check([] {
        const auto limits = *anyScaling();
        const auto present = planFleet(limits, *rc::gen::inRange(0U, 60U));
        std::set<EngineSource> unavailable;
        for (unsigned i = 0; i < limits.prices.size(); ++i) {
            for (const bool isReclaimable : { false, true }) {
                if (*rc::gen::arbitrary<bool>())
                    unavailable.insert({ domain(i), isReclaimable });
            }
        }
        const auto fleet = planFleet(limits, *rc::gen::inRange(0U, 90U), unavailable, present);
        for (const auto& source : unavailable)
            RC_ASSERT(fleet.at(source.failureDomain).of(source.isReclaimable) <= present.at(source.failureDomain).of(source.isReclaimable));
    }));
}

TEST_CASE("capacity decisions, constant need, reach the planned fleet, never go below the need on the way, and then stop")
{
    CHECK(rc::check([] {
        const auto limits = *anyScaling();
        Fleet fleet;
        for (const auto& [failureDomain, price] : limits.prices)
            fleet[failureDomain].plain = *rc::gen::inRange(limits.minimum, limits.maximum + 1);
        const auto needed = *rc::gen::inRange(0U, limitOf(limits) + 1);
        Site site(limits, fleet);
        site.state().needed = needed;
        constexpr int rounds = 60;
        for (int round = 0; round < rounds; ++round) {
            const bool wasMet = remainingEngines(site.state().present) >= needed;
            site.round();
            if (wasMet)
                RC_ASSERT(remainingEngines(site.state().present) >= needed);
        }
        RC_ASSERT(site.round() == 0U);
        RC_ASSERT(costPerSecond(site.state().present, limits) <= costPerSecond(fleet, limits) + costPerSecond(planFleet(limits, needed), limits));
    }));
}

TEST_CASE("capacity decisions, need is not known yet, order what the work lacks and give nothing up")
{
    const auto limits = scaling({ 0.85, 1.2, 1.0 }, 0.22);
    CapacityState state;
    state.present = plainFleet(3, 12);
    state.needed = 30;
    CHECK(decideOrders(limits, state).empty());
    state.needed = 44;
    const auto decisions = decideOrders(limits, state);
    REQUIRE_FALSE(decisions.empty());
    for (const auto& decision : decisions) {
        CHECK(decision.source.isReclaimable);
        CHECK(decision.cause == OrderCause::Need);
    }
}

TEST_CASE("capacity decisions, engines that replace others are not there yet, give none of the others up")
{
    const auto limits = scaling({ 1.0, 1.0, 1.0 }, 0.22);
    CapacityState state;
    state.present = plainFleet(3, 12);
    state.needed = 30;
    state.isNeedKnown = true;
    state.mayReduce = true;
    for (const auto& decision : decideOrders(limits, state)) {
        CHECK(decision.source.isReclaimable);
        state.ordered[decision.source] = decision.engines;
        state.settling.insert(decision.source);
        state.changing.insert(decision.source);
    }
    CHECK(decideOrders(limits, state).empty());
    for (const auto& [source, number] : state.ordered)
        state.present[source.failureDomain].reclaimable = number;
    CHECK(decideOrders(limits, state).empty());
    state.settling.clear();
    state.changing.clear();
    unsigned givenUp = 0;
    for (const auto& reduction : decideOrders(limits, state)) {
        CHECK_FALSE(reduction.source.isReclaimable);
        givenUp += reduction.from - reduction.engines;
    }
    CHECK(givenUp > 0);
    CHECK(givenUp <= engineCount(state.present) / 3);
}

TEST_CASE("capacity decisions, an engine is lost for good, repeats the order once it does not settle any more")
{
    const auto limits = scaling({ 1.0, 1.0, 1.0 }, 0);
    Site site(limits, plainFleet(3, 4));
    site.state().needed = 12;
    CHECK(site.round() == 0);
    for (unsigned i = 0; i < 3; ++i)
        site.state().ordered[{ domain(i), false }] = 4;
    site.state().present[domain(1)].plain = 3;
    site.state().settling = { { domain(1), false } };
    CHECK(site.round() == 0);
    site.state().settling.clear();
    const auto decisions = decideOrders(limits, site.state());
    CHECK(decisions == std::vector<CapacityDecision> { { { domain(1), false }, 4, OrderCause::Missing, 3 } });
}

TEST_CASE("capacity decisions, an engine is lost before anything was ordered, orders the number that the work needs")
{
    const auto limits = scaling({ 1.0 }, 0);
    CapacityState state;
    state.present = plainFleet(1, 5);
    state.needed = 6;
    CHECK(decideOrders(limits, state) == std::vector<CapacityDecision> { { { domain(0), false }, 6, OrderCause::Need, 5 } });
}

TEST_CASE("capacity decisions, a failure domain is reclaimed and none are to be had there, the others make up for it")
{
    const auto limits = scaling({ 1.0, 1.0, 1.0 }, 0.22);
    Site site(limits, planFleet(limits, 30));
    for (const auto& [failureDomain, counts] : site.state().present)
        site.state().ordered[{ failureDomain, true }] = counts.reclaimable;
    site.state().needed = 30;
    REQUIRE(site.state().present[domain(0)].reclaimable > 0);
    site.state().present[domain(0)].reclaimable = 0;
    REQUIRE(engineCount(site.state().present) >= 30);
    site.state().unavailable = { { domain(0), true } };
    CHECK(site.round() > 0);
    CHECK(remainingEngines(site.state().present) >= 30);
    CHECK(site.state().present[domain(0)].reclaimable == 0);
}

TEST_CASE("capacity decisions, no reclaimable engines are to be had anywhere, order plain ones")
{
    const auto limits = scaling({ 0.85, 1.2, 1.0 }, 0.22);
    CapacityState state;
    state.present = plainFleet(3, 10);
    state.needed = 40;
    for (unsigned i = 0; i < 3; ++i)
        state.unavailable.insert({ domain(i), true });
    const auto decisions = decideOrders(limits, state);
    CHECK(decisions == std::vector<CapacityDecision> { { { domain(0), false }, 20, OrderCause::Need, 10 } });
}

TEST_CASE("capacity decisions, engines that were ordered never come, give up others that are not needed all the same")
{
    const auto limits = scaling({ 1.0, 1.0, 1.0 }, 0.22);
    CapacityState state;
    state.isNeedKnown = true;
    state.mayReduce = true;
    state.needed = 12;
    state.present = { { domain(0), { 12, 2 } }, { domain(1), { 12, 6 } }, { domain(2), { 12, 6 } } };
    state.ordered = { { { domain(0), true }, 6 }, { { domain(1), true }, 6 }, { { domain(2), true }, 6 } };
    state.settling = { { domain(0), true } };
    unsigned givenUp = 0;
    for (const auto& decision : decideOrders(limits, state)) {
        CHECK_FALSE(decision.source.isReclaimable);
        givenUp += decision.from - decision.engines;
    }
    CHECK(givenUp > 0);
}

TEST_CASE("capacity decisions, need is met while none are to be had somewhere, order nothing for its price")
{
    const auto limits = scaling({ 0.85, 1.2, 1.0 }, 0.22);
    CapacityState state;
    state.isNeedKnown = true;
    state.needed = 20;
    state.present = plainFleet(3, 12);
    state.unavailable = { { domain(0), true }, { domain(2), true } };
    CHECK(decideOrders(limits, state).empty());
}

TEST_CASE("engine need, no sample has run, is unknown")
{
    ManualClock clock;
    EngineNeed need(8);
    observe(need, use(36, 0), clock, 60s);
    CHECK_FALSE(need.engines());
    CHECK_FALSE(need.isKnown(clock.now()));
}

TEST_CASE("engine need, steady use, asks for engines that are in use to 70 % or less and does not change")
{
    ManualClock clock;
    EngineNeed need;
    observe(need, use(36, 0.5), clock, 10s);
    REQUIRE(need.engines());
    const auto first = *need.engines();
    CHECK(first >= 26);
    CHECK(first <= 36);
    observe(need, use(36, 0.52), clock, 60s);
    CHECK(need.engines() == first);
    CHECK(need.isKnown(clock.now()));
}

TEST_CASE("engine need, step of demand, rises within the averaging time")
{
    ManualClock clock;
    EngineNeed need;
    observe(need, use(36, 0.4), clock, 30s);
    const auto before = need.engines().value_or(0);
    observe(need, use(36, 1.0, 0.4), clock, EngineNeed::averagingTime + 1s);
    CHECK(need.engines().value_or(0) >= 60);
    CHECK(before < 30);
}

TEST_CASE("engine need, work ends, falls only after a minute and not below the floor")
{
    ManualClock clock;
    EngineNeed need(8);
    observe(need, use(36, 0.6), clock, 20s);
    const auto busy = need.engines();
    observe(need, use(36, 0), clock, 55s);
    CHECK(need.engines() == busy);
    observe(need, use(36, 0), clock, 15s);
    CHECK(need.engines().value_or(0) < busy.value_or(0));
    CHECK(need.engines().value_or(0) >= 8);
}
