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

/// Simulated engine that executes every order that names its count of accepted orders, even an order for older weights.
struct SimulatedEngine {
    WeightVersion version = 1;
    std::uint64_t accepted = 0;
    FencingNumber highestFence = 0;
    unsigned incarnation = 0;
    std::optional<LoadOrder> running;
    TimePoint runningUntil;
    /// Number of loads accepted for each version since the last restart.
    std::map<WeightVersion, unsigned> loads;

    void finishDueLoad(TimePoint now)
    {
        if (!running || now < runningUntil)
            return;
        version = running->version;
        running.reset();
    }

    EngineReport report(TimePoint now)
    {
        finishDueLoad(now);
        EngineReport status;
        status.models["draft"] = version;
        status.isLoading = running.has_value();
        status.acceptedOrders = accepted;
        return status;
    }

    OrderOutcome receive(const LoadOrder& order, TimePoint now)
    {
        finishDueLoad(now);
        if (order.fence < highestFence)
            return OrderOutcome::Fenced;
        highestFence = order.fence;
        if (running || order.expectedAcceptedOrders != accepted)
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
        ++incarnation;
    }
};

enum class OrderFault : std::uint8_t { None,
    AnswerLost,
    RequestLost,
    ReceivedLate };

/// Simulation of an engine and the hosts that send it orders, one at a time. The former host may resume and make the call that was due.
struct LoadSimulation {
    struct Holder {
        FencingNumber fence = 0;
        unsigned incarnation = 0;
        LoadAttempt attempt { decisionFor(1) };
    };
    struct DelayedOrder {
        TimePoint receivedAt;
        unsigned incarnation = 0;
        LoadOrder order;
    };

    ManualClock clock;
    SimulatedEngine engine;
    /// Time until the engine receives an order with the fault ReceivedLate.
    std::chrono::milliseconds orderDelay { 3000 };
    WeightVersion newest = 2;
    Holder holder { 1, 0, LoadAttempt(decisionFor(2)) };
    std::optional<Holder> formerHolder;
    std::vector<DelayedOrder> delayedOrders;

    void startAttempt()
    {
        holder.attempt = LoadAttempt(decisionFor(newest));
        holder.incarnation = engine.incarnation;
    }

    void advance(Duration time)
    {
        clock.advance(time);
        const auto now = clock.now();
        const auto due = std::partition(delayedOrders.begin(), delayedOrders.end(), [now](const auto& order) { return order.receivedAt > now; });
        for (auto order = due; order != delayedOrders.end(); ++order) {
            // An order names the id of the engine, which changes with a restart.
            if (order->incarnation == engine.incarnation)
                engine.receive(order->order, now);
        }
        delayedOrders.erase(due, delayedOrders.end());
        engine.finishDueLoad(now);
    }

    void makeDueCall(Holder& sender, OrderFault fault)
    {
        const auto now = clock.now();
        auto& attempt = sender.attempt;
        if (sender.incarnation != engine.incarnation)
            return;
        if (attempt.dueCall(now) == LoadCall::RequestReport)
            attempt.onReport(fault == OrderFault::RequestLost ? std::nullopt : std::optional(engine.report(now)), now);
        else if (attempt.dueCall(now) == LoadCall::SendOrder)
            attempt.onOrderOutcome(sendOrder(sender, fault), now);
    }

    std::optional<OrderOutcome> sendOrder(const Holder& sender, OrderFault fault)
    {
        const auto& decision = sender.attempt.decision();
        const LoadOrder order { decision.engine, decision.model, decision.version, LoadMode::Continue, HostId("host"), sender.fence, sender.attempt.acceptedOrders() };
        switch (fault) {
        case OrderFault::None:
            return engine.receive(order, clock.now());
        case OrderFault::AnswerLost:
            engine.receive(order, clock.now());
            return std::nullopt;
        case OrderFault::RequestLost:
            return std::nullopt;
        case OrderFault::ReceivedLate:
            delayedOrders.push_back({ clock.now() + orderDelay, engine.incarnation, order });
            return std::nullopt;
        }
        return std::nullopt;
    }

    /// Continues without faults. @return whether the engine has loaded the newest version in the end
    bool finishWithoutFaults()
    {
        for (int turn = 0; turn < 1000 && (engine.version != newest || engine.running || !delayedOrders.empty()); ++turn) {
            if (holder.attempt.isFinished() || holder.incarnation != engine.incarnation)
                startAttempt();
            makeDueCall(holder, OrderFault::None);
            advance(50ms);
        }
        return engine.version == newest;
    }
};

/// Draws from the whole range [from, to) regardless of the generator's size.
int drawNumber(int from, int to) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to)); }

/// Answers the report request that is due, after which an order is due.
void advanceToOrder(LoadAttempt& attempt, const EngineReport& report, TimePoint now)
{
    REQUIRE(attempt.dueCall(now) == LoadCall::RequestReport);
    attempt.onReport(report, now);
    REQUIRE(attempt.dueCall(now) == LoadCall::SendOrder);
}

EngineReport makeReport(WeightVersion version, std::uint64_t accepted, bool isLoading = false)
{
    EngineReport report;
    report.models["draft"] = version;
    report.acceptedOrders = accepted;
    report.isLoading = isLoading;
    return report;
}

} // namespace

TEST_CASE("load attempt for an engine that has the version finishes without an order")
{
    LoadAttempt attempt(decisionFor(3));
    attempt.onReport(makeReport(3, 2), {});
    CHECK(attempt.isFinished());
    CHECK(attempt.consecutiveFailures() == 0);
}

TEST_CASE("load attempt for an engine that is loading waits before the next report request")
{
    ManualClock clock;
    LoadAttempt attempt(decisionFor(3));
    attempt.onReport(makeReport(2, 2, true), clock.now());
    CHECK(attempt.dueCall(clock.now()) == LoadCall::None);
    clock.advance(attempt.nextCallAt() - clock.now());
    CHECK(attempt.dueCall(clock.now()) == LoadCall::RequestReport);
}

TEST_CASE("load attempt repeats an unanswered order only if the engine's count of accepted orders does not rise until the timeout")
{
    ManualClock clock;
    LoadAttempt attempt(decisionFor(3));
    advanceToOrder(attempt, makeReport(2, 5), clock.now());
    CHECK(attempt.acceptedOrders() == 5);
    attempt.onOrderOutcome(std::nullopt, clock.now());
    const auto orderedAt = clock.now();
    SECTION("order was accepted")
    {
        attempt.onReport(makeReport(2, 6, true), clock.now());
        clock.advance(3s);
        attempt.onReport(makeReport(2, 6, true), clock.now());
        CHECK(attempt.isAwaitingConfirmation());
    }
    SECTION("order was lost")
    {
        while (attempt.isAwaitingConfirmation()) {
            clock.advance(50ms);
            if (attempt.dueCall(clock.now()) == LoadCall::RequestReport)
                attempt.onReport(makeReport(2, 5), clock.now());
        }
        CHECK(clock.now() > orderedAt + 1s);
        CHECK_FALSE(attempt.isFinished());
    }
}

TEST_CASE("load attempt for an engine that does not answer is given up")
{
    ManualClock clock;
    LoadAttempt attempt(decisionFor(3));
    while (!attempt.isFinished()) {
        attempt.onReport(std::nullopt, clock.now());
        clock.advance(1s);
    }
    CHECK(attempt.consecutiveFailures() > 0);
}

TEST_CASE("load attempts of successive holders never load an older version and reach the newest one, despite lost or late orders and restarts at any step")
{
    CHECK(rc::check("load attempt property", [] {
        LoadSimulation simulation;
        auto highestVersion = simulation.engine.version;
        const auto steps = drawNumber(1, 400);
        const auto takeOver = [&] {
            simulation.formerHolder = simulation.holder;
            ++simulation.holder.fence;
            simulation.startAttempt();
        };
        for (int i = 0; i < steps; ++i) {
            // Over half of the calls have no fault, so that the engine makes progress.
            const auto fault = static_cast<OrderFault>(std::max(0, drawNumber(-4, 4)));
            simulation.orderDelay = std::chrono::milliseconds(drawNumber(2000, 12000));
            const auto kind = drawNumber(0, 40);
            if (kind == 0)
                simulation.engine.restart();
            else if (kind == 1)
                takeOver();
            else if (kind == 2 && simulation.formerHolder)
                simulation.makeDueCall(*simulation.formerHolder, fault);
            else if (kind < 6 && simulation.engine.version == simulation.newest)
                ++simulation.newest;
            else if (kind < 20)
                simulation.advance(std::chrono::milliseconds(drawNumber(0, 600)));
            else {
                if (simulation.holder.attempt.isFinished() || simulation.holder.incarnation != simulation.engine.incarnation)
                    simulation.startAttempt();
                simulation.makeDueCall(simulation.holder, fault);
            }
            RC_ASSERT(simulation.engine.version >= highestVersion);
            highestVersion = std::max(highestVersion, simulation.engine.version);
            for (const auto& [version, loads] : simulation.engine.loads)
                RC_ASSERT(loads == 1U);
        }
        RC_ASSERT(simulation.finishWithoutFaults());
    }));
}
