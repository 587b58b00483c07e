#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/LeaseKeeper.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <ostream>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds longestAction { 3000 };

/// Candidates for one lease on a paused clock.
struct Candidates {
    static constexpr std::size_t count = 3;
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    std::vector<std::unique_ptr<LeaseKeeper>> keepers;
    std::vector<Pending<TimePoint>> steps { count };

    Candidates()
    {
        for (std::size_t i = 0; i < count; ++i) {
            LeaseSettings settings;
            settings.key = "lease";
            settings.holder = "host-" + std::to_string(i);
            keepers.push_back(std::make_unique<LeaseKeeper>(service, clock, settings, i));
        }
    }

    /// Lets one candidate run until it waits for an answer or for time.
    void step(std::size_t i)
    {
        if (!steps[i] || *steps[i])
            steps[i] = startTask(context.get_executor(), keepers[i]->step());
        settle();
    }

    void settle()
    {
        context.restart();
        context.poll();
    }

    void advance(std::chrono::milliseconds time)
    {
        service.advance(time);
        settle();
    }

    /// Steps all candidates for @p time.
    void runAll(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds tick { 100 };
        for (auto passed = 0ms; passed < time; passed += tick) {
            for (std::size_t i = 0; i < count; ++i)
                step(i);
            advance(tick);
        }
    }

    std::size_t holders() const
    {
        return static_cast<std::size_t>(std::count_if(keepers.begin(), keepers.end(), [](const auto& keeper) { return keeper->mayAct(longestAction); }));
    }
};

struct Move {
    std::size_t candidate;
    std::chrono::milliseconds pause;
    CallFault fault;
    std::chrono::milliseconds delay;
};

void showValue(const Move& move, std::ostream& stream)
{
    stream << "step " << move.candidate << " fault " << static_cast<int>(move.fault) << " delay " << move.delay.count() << " then " << move.pause.count() << " ms";
}

rc::Gen<Move> anyMove()
{
    return rc::gen::construct<Move>(rc::gen::inRange<std::size_t>(0, Candidates::count),
        rc::gen::element(0ms, 0ms, 100ms, 1000ms, 4000ms, 11000ms),
        rc::gen::weightedElement<CallFault>({ { 6, CallFault::None }, { 1, CallFault::Unavailable }, { 1, CallFault::NotSent }, { 2, CallFault::AnswerLost }, { 2, CallFault::RequestLost } }),
        rc::gen::element(0ms, 0ms, 0ms, 500ms, 9000ms));
}

} // namespace

TEST_CASE("lease, pauses, outages and lost answers, let only the owner of the key act, with rising fencing numbers")
{
    CHECK(rc::check("one holder acts", [] {
        const auto moves = *rc::gen::scale(2.0, rc::gen::container<std::vector<Move>>(anyMove()));
        Candidates candidates;
        FencingNumber highest = 0;
        std::size_t holder = Candidates::count;
        TimePoint actionEnds;
        for (const auto& move : moves) {
            candidates.service.faultOf = [&](CallKind) { return move.fault; };
            candidates.service.delay = move.delay;
            candidates.step(move.candidate);
            candidates.advance(move.pause);
            for (std::size_t i = 0; i < Candidates::count; ++i) {
                if (!candidates.keepers[i]->mayAct(longestAction))
                    continue;
                const auto number = *candidates.keepers[i]->fencingNumber();
                RC_ASSERT(number >= highest);
                RC_ASSERT(i == holder || candidates.clock.now() >= actionEnds);
                RC_ASSERT(candidates.service.entries().at("lease").revision == number);
                highest = number;
                holder = i;
                actionEnds = candidates.clock.now() + longestAction;
            }
        }
    }));
}

TEST_CASE_METHOD(Candidates, "lease, several candidates, has one holder that keeps it")
{
    runAll(5000ms);
    REQUIRE(holders() == 1);
    const auto revision = service.entries().at("lease").revision;
    runAll(60000ms);
    CHECK(holders() == 1);
    CHECK(service.entries().at("lease").revision == revision);
}

TEST_CASE_METHOD(Candidates, "lease, its holder paused past it, goes to another and the old holder does not act")
{
    runAll(5000ms);
    const auto first = static_cast<std::size_t>(std::find_if(keepers.begin(), keepers.end(), [](const auto& keeper) { return keeper->mayAct(longestAction); }) - keepers.begin());
    const auto before = *keepers[first]->fencingNumber();
    constexpr int ticks = 300;
    for (int i = 0; i < ticks; ++i) {
        for (std::size_t j = 0; j < count; ++j) {
            if (j != first)
                step(j);
        }
        advance(100ms);
    }
    CHECK(!keepers[first]->mayAct(0ms));
    REQUIRE(holders() == 1);
    step(first);
    CHECK(!keepers[first]->fencingNumber());
    const auto& next = *std::find_if(keepers.begin(), keepers.end(), [](const auto& keeper) { return keeper->mayAct(longestAction); });
    CHECK(*next->fencingNumber() > before);
}

TEST_CASE_METHOD(Candidates, "lease, less of it left than the longest action, allows only shorter ones")
{
    constexpr int stepsToHold = 4;
    for (int i = 0; i < stepsToHold; ++i)
        step(0);
    advance(8000ms);
    CHECK(!keepers[0]->mayAct(longestAction));
    CHECK(keepers[0]->mayAct(1000ms));
}

TEST_CASE_METHOD(Candidates, "lease, the answer to its taking lost, is held after reading back")
{
    service.faultOf = [](CallKind kind) { return kind == CallKind::Write ? CallFault::AnswerLost : CallFault::None; };
    constexpr int stepsToHold = 4;
    for (int i = 0; i < stepsToHold; ++i)
        step(0);
    CHECK(keepers[0]->mayAct(longestAction));
}

TEST_CASE_METHOD(Candidates, "lease, targets that ignore fencing numbers, are left alone until earlier orders have ended")
{
    constexpr int stepsToHold = 4;
    for (int i = 0; i < stepsToHold; ++i)
        step(0);
    CHECK(keepers[0]->mayAct(longestAction));
    CHECK(!keepers[0]->mayActUnfenced(longestAction));
    for (auto passed = 0ms; passed <= 14000ms; passed += 100ms) {
        step(0);
        advance(100ms);
    }
    CHECK(keepers[0]->mayActUnfenced(longestAction));
}

TEST_CASE_METHOD(Candidates, "lease, released, is free at once")
{
    runAll(5000ms);
    for (auto& keeper : keepers) {
        const auto released = [](LeaseKeeper& candidate) -> Task<int> {
            co_await candidate.release();
            co_return 0;
        };
        (void)startTask(context.get_executor(), released(*keeper));
    }
    settle();
    CHECK(holders() == 0);
    CHECK(service.entries().empty());
}
