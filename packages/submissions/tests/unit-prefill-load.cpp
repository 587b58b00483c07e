#include "PromptSimulation.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::simulation;
using namespace std::chrono_literals;

namespace {

/// An engine whose reading speed is measured: 100 tokens a millisecond, and 10 ms to the first event of a short prompt.
struct MeasuredEngineFixture {
    PrefillLoad load;
    ManualClock clock;

    MeasuredEngineFixture()
    {
        read(100, { 200, {} }, 10ms);
        read(101, { 4000, {} }, 50ms);
    }

    void read(std::uint64_t run, const Prompt& prompt, Duration duration)
    {
        load.begin(run, prompt, clock.now());
        clock.advance(std::chrono::duration_cast<std::chrono::milliseconds>(duration));
        load.finish(run, clock.now());
    }
};

} // namespace

TEST_CASE_METHOD(MeasuredEngineFixture, "engine that has read a long prompt, reading time of another, follows from its speed")
{
    CHECK(load.readingTime(30000) == 300ms);
}

TEST_CASE("engine whose speed was not measured, reading time, is zero and every prompt is admitted")
{
    PrefillLoad load;
    ManualClock clock;
    load.begin(0, { 1000000, {} }, clock.now());
    CHECK(load.readingTime(30000) == Duration::zero());
    CHECK(PrefillBound::forAim(400ms).admits(load, 30000, clock.now()));
}

TEST_CASE_METHOD(MeasuredEngineFixture, "engine that reads a long prompt, another prompt, is admitted once the rest fits half of the aim")
{
    load.begin(0, { 30000, {} }, clock.now());
    const auto bound = PrefillBound::forAim(400ms);
    CHECK_FALSE(bound.admits(load, 300, clock.now()));
    clock.advance(110ms);
    CHECK(bound.admits(load, 300, clock.now()));
    CHECK_FALSE(bound.admits(load, 30000, clock.now()));
}

TEST_CASE_METHOD(MeasuredEngineFixture, "engine that reads nothing, the longest prompt, is admitted")
{
    CHECK(PrefillBound::forAim(400ms).admits(load, 1000000, clock.now()));
}

TEST_CASE_METHOD(MeasuredEngineFixture, "engine that has read a shared part, prompt with this part first, has to read only the rest")
{
    const Prompt prompt { 5000, { { 1, 4000 }, { 2, 1000 } } };
    CHECK(load.unreadTokens(prompt) == 5000);
    read(0, prompt, 60ms);
    CHECK(load.unreadTokens({ 4700, { { 1, 4000 }, { 3, 700 } } }) == 700);
    CHECK(load.unreadTokens({ 4700, { { 4, 700 }, { 1, 4000 } } }) == 4700);
    load.forgetParts();
    CHECK(load.unreadTokens(prompt) == 5000);
}

TEST_CASE_METHOD(MeasuredEngineFixture, "prompt whose run ended without an event, time until the prompts are read, does not count it")
{
    load.begin(0, { 30000, {} }, clock.now());
    load.abandon(0);
    CHECK(load.timeUntilRead(clock.now()) == Duration::zero());
}

TEST_CASE("long prompts among short ones at 0.5 and 0.9 load, placing by prompts under way, keeps the short ones' aim and no fewer long ones in theirs")
{
    for (const auto load : { 0.5, 0.9 }) {
        for (const std::uint64_t tokens : { 10000U, 30000U }) {
            PromptScenario scenario;
            scenario.load = load;
            scenario.longPromptTokens = tokens;
            scenario.areSizesKnown = false;
            const auto before = PromptSimulation(scenario).run();
            scenario.areSizesKnown = true;
            const auto after = PromptSimulation(scenario).run();
            CAPTURE(load, tokens);
            CHECK(PromptResult::percentile(after.shortPrompts, 0.99) <= PromptResult::percentile(before.shortPrompts, 0.99));
            CHECK(PromptResult::shareWithin(after.shortPrompts, PromptSimulation::shortAimMs) >= 0.99);
            CHECK(PromptResult::shareWithin(after.longPrompts, PromptSimulation::longAimMs) >= PromptResult::shareWithin(before.longPrompts, PromptSimulation::longAimMs));
        }
    }
}

TEST_CASE("prompts that are read within a few milliseconds, placing by prompts under way, changes nothing")
{
    PromptScenario scenario;
    scenario.load = 0.9;
    scenario.longPromptTokens = 1000;
    scenario.tokensPerMillisecond = 600;
    scenario.areSizesKnown = false;
    const auto before = PromptSimulation(scenario).run();
    scenario.areSizesKnown = true;
    const auto after = PromptSimulation(scenario).run();
    CHECK(after.shortPrompts == before.shortPrompts);
    CHECK(after.longPrompts == before.longPrompts);
}
