#include "cicadalb/submissions/LoadAttempt.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const ModelName draft("draft");

LoadDecision decisionFor(WeightVersion version) { return { TargetId("engine"), draft, version }; }

/// An engine that carries out any order that names its count of accepted orders, also one for older weights.
struct EngineModel {
    WeightVersion version = 1;
    std::uint64_t accepted = 0;
    FencingNumber highestFence = 0;
    unsigned life = 0;
    std::optional<LoadOrder> running;
    TimePoint runningUntil;
    /// Loads that were accepted for each version in this life.
    std::map<WeightVersion, unsigned> loads;

    void settle(TimePoint now)
    {
        if (!running || now < runningUntil)
            return;
        version = running->version;
        running.reset();
    }

    EngineReport report(TimePoint now)
    {
        settle(now);
        EngineReport made;
        made.models["draft"] = version;
        made.isLoading = running.has_value();
        made.acceptedOrders = accepted;
        return made;
    }

    OrderOutcome receive(const LoadOrder& order, TimePoint now)
    {
        settle(now);
        if (order.fence < highestFence)
            return OrderOutcome::Fenced;
        highestFence = order.fence;
        if (running || order.acceptedOrders != accepted)
            return OrderOutcome::Busy;
        if (order.version == version)
            return OrderOutcome::AlreadyHolds;
        ++accepted;
        ++loads[order.version];
        running = order;
        runningUntil = now + 900ms;
        return OrderOutcome::Accepted;
    }

    void restart()
    {
        accepted = 0;
        highestFence = 0;
        running.reset();
        loads.clear();
        ++life;
    }
};

enum class OrderFault : std::uint8_t { None,
    AnswerLost,
    RequestLost,
    CarriedOutLate };

/// An engine and those that give it orders: one at a time, of which a former one may wake and make the call that was due.
struct LoadWorld {
    struct Holder {
        FencingNumber fence = 0;
        unsigned life = 0;
        LoadAttempt attempt { decisionFor(1) };
    };
    struct LateOrder {
        TimePoint at;
        unsigned life = 0;
        LoadOrder order;
    };

    ManualClock clock;
    EngineModel engine;
    /// Of an order that is carried out late.
    std::chrono::milliseconds lateness { 3000 };
    WeightVersion newest = 2;
    Holder holder { 1, 0, LoadAttempt(decisionFor(2)) };
    std::optional<Holder> former;
    std::vector<LateOrder> late;

    void begin()
    {
        holder.attempt = LoadAttempt(decisionFor(newest));
        holder.life = engine.life;
    }

    void advance(Duration time)
    {
        clock.advance(time);
        const auto now = clock.now();
        const auto due = std::partition(late.begin(), late.end(), [now](const auto& order) { return order.at > now; });
        for (auto order = due; order != late.end(); ++order) {
            // A new life has another id, which the order names.
            if (order->life == engine.life)
                engine.receive(order->order, now);
        }
        late.erase(due, late.end());
        engine.settle(now);
    }

    void act(Holder& actor, OrderFault fault)
    {
        const auto now = clock.now();
        auto& attempt = actor.attempt;
        if (actor.life != engine.life)
            return;
        if (attempt.due(now) == LoadCall::Report)
            attempt.onReport(fault == OrderFault::RequestLost ? std::nullopt : std::optional(engine.report(now)), now);
        else if (attempt.due(now) == LoadCall::Order)
            attempt.onOrder(give(actor, fault), now);
    }

    std::optional<OrderOutcome> give(const Holder& actor, OrderFault fault)
    {
        const auto& decision = actor.attempt.decision();
        const LoadOrder order { decision.engine, decision.model, decision.version, LoadMode::Continue, HostId("host"), actor.fence, actor.attempt.acceptedOrders() };
        switch (fault) {
        case OrderFault::None:
            return engine.receive(order, clock.now());
        case OrderFault::AnswerLost:
            engine.receive(order, clock.now());
            return std::nullopt;
        case OrderFault::RequestLost:
            return std::nullopt;
        case OrderFault::CarriedOutLate:
            late.push_back({ clock.now() + lateness, engine.life, order });
            return std::nullopt;
        }
        return std::nullopt;
    }

    /// Goes on without faults. @return whether the engine came to hold the newest version
    bool finish()
    {
        for (int turn = 0; turn < 1000 && (engine.version != newest || engine.running || !late.empty()); ++turn) {
            if (holder.attempt.isOver() || holder.life != engine.life)
                begin();
            act(holder, OrderFault::None);
            advance(50ms);
        }
        return engine.version == newest;
    }
};

/// Any number of the range, in small cases too.
int pick(int from, int to) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to)); }

/// Makes the calls that are due until one is an order.
void askUntilOrder(LoadAttempt& attempt, const EngineReport& report, TimePoint now)
{
    REQUIRE(attempt.due(now) == LoadCall::Report);
    attempt.onReport(report, now);
    REQUIRE(attempt.due(now) == LoadCall::Order);
}

EngineReport reportOf(WeightVersion version, std::uint64_t accepted, bool isLoading = false)
{
    EngineReport report;
    report.models["draft"] = version;
    report.acceptedOrders = accepted;
    report.isLoading = isLoading;
    return report;
}

} // namespace

TEST_CASE("load attempt, of an engine that holds the version, is over without an order")
{
    LoadAttempt attempt(decisionFor(3));
    attempt.onReport(reportOf(3, 2), {});
    CHECK(attempt.isOver());
    CHECK(attempt.failures() == 0);
}

TEST_CASE("load attempt, of an engine that loads, waits before it asks again")
{
    ManualClock clock;
    LoadAttempt attempt(decisionFor(3));
    attempt.onReport(reportOf(2, 2, true), clock.now());
    CHECK(attempt.due(clock.now()) == LoadCall::None);
    clock.advance(attempt.nextDue() - clock.now());
    CHECK(attempt.due(clock.now()) == LoadCall::Report);
}

TEST_CASE("load attempt, of an order without an answer, gives it again only when the engine's count has not risen for long")
{
    ManualClock clock;
    LoadAttempt attempt(decisionFor(3));
    askUntilOrder(attempt, reportOf(2, 5), clock.now());
    CHECK(attempt.acceptedOrders() == 5);
    attempt.onOrder(std::nullopt, clock.now());
    const auto orderedAt = clock.now();
    SECTION("it was accepted")
    {
        attempt.onReport(reportOf(2, 6, true), clock.now());
        clock.advance(3s);
        attempt.onReport(reportOf(2, 6, true), clock.now());
        CHECK(attempt.isOrdered());
    }
    SECTION("it was lost")
    {
        while (attempt.isOrdered()) {
            clock.advance(50ms);
            if (attempt.due(clock.now()) == LoadCall::Report)
                attempt.onReport(reportOf(2, 5), clock.now());
        }
        CHECK(clock.now() > orderedAt + 1s);
        CHECK_FALSE(attempt.isOver());
    }
}

TEST_CASE("load attempt, of an engine that does not answer, is given up")
{
    ManualClock clock;
    LoadAttempt attempt(decisionFor(3));
    while (!attempt.isOver()) {
        attempt.onReport(std::nullopt, clock.now());
        clock.advance(1s);
    }
    CHECK(attempt.failures() > 0);
}

TEST_CASE("load attempts, of holders in turn, with lost and late orders and restarts at every step, never take an engine back and end at the newest version")
{
    CHECK(rc::check("load attempt property", [] {
        LoadWorld world;
        auto highest = world.engine.version;
        const auto steps = pick(1, 400);
        const auto tookOver = [&] {
            world.former = world.holder;
            ++world.holder.fence;
            world.begin();
        };
        for (int i = 0; i < steps; ++i) {
            // Half of the calls meet no fault, so that the engine gets on.
            const auto fault = static_cast<OrderFault>(std::max(0, pick(-4, 4)));
            world.lateness = std::chrono::milliseconds(pick(2000, 12000));
            const auto kind = pick(0, 40);
            if (kind == 0)
                world.engine.restart();
            else if (kind == 1)
                tookOver();
            else if (kind == 2 && world.former)
                world.act(*world.former, fault);
            else if (kind < 6 && world.engine.version == world.newest)
                ++world.newest;
            else if (kind < 20)
                world.advance(std::chrono::milliseconds(pick(0, 600)));
            else {
                if (world.holder.attempt.isOver() || world.holder.life != world.engine.life)
                    world.begin();
                world.act(world.holder, fault);
            }
            RC_ASSERT(world.engine.version >= highest);
            highest = std::max(highest, world.engine.version);
            for (const auto& [version, loads] : world.engine.loads)
                RC_ASSERT(loads == 1U);
        }
        RC_ASSERT(world.finish());
    }));
}
