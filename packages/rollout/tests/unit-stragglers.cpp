#include "cicadalb/rollout/StepCoordinator.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using std::chrono::seconds;

namespace {

/// One group of 30 samples: a fast engine has completed 29 of them with 100 tokens each, the last one runs on a slow engine.
struct StragglerFixture {
    StragglerFixture()
    {
        engines.recordRun(TargetId("fast"), 30, seconds(1));
        engines.recordRun(TargetId("slow"), 10, seconds(1));
        pull();
        const auto dispatches = coordinator.nextDispatches(30, engines, clock.now());
        for (const auto& dispatch : dispatches)
            coordinator.onStarted(dispatch.attempt, TargetId(dispatch.attempt == 30 ? "slow" : "fast"), clock.now());
        clock.advance(seconds(4));
        for (AttemptId attempt = 1; attempt < 30; ++attempt)
            coordinator.onResult(attempt, Generation { "text", 100, { 7 } }, clock.now());
        coordinator.onProgress(30, { 40, 7 }, clock.now());
    }

    Batch pull() { return coordinator.pull(cursor, 64, clock.now()).value(); }

    ManualClock clock;
    EngineObservations engines;
    StepSpec spec { { TrainerName("drafts"), 4 }, { { "a", "", 30 } }, 1000, 1, seconds(8) };
    StepCoordinator coordinator { spec, {}, clock.now() };
    StepCursor cursor { 4, 100, SampleBitmap(30), 7 };
};

} // namespace

TEST_CASE_METHOD(StragglerFixture, "straggler, on a slow engine, gets a second run on another engine and the first complete result is kept")
{
    const auto second = coordinator.nextSecondRun(engines, clock.now());
    REQUIRE(second);
    CHECK(second->excluded.front() == TargetId("slow"));
    CHECK_FALSE(second->affinity);
    CHECK_FALSE(coordinator.nextSecondRun(engines, clock.now()));
    coordinator.onResult(second->attempt, Generation { "text", 100, { 7 } }, clock.now());
    CHECK(coordinator.takeCancellations() == std::vector<AttemptId> { 30 });
    coordinator.onResult(30, failure(ErrorCode::Cancelled, "cancelled"), clock.now());
    CHECK(pull().samples.size() == 30);
    CHECK(coordinator.progress(clock.now()).tokensDuplicated == 40);
}

TEST_CASE_METHOD(StragglerFixture, "straggler, overtaken by its second run, is cancelled at once")
{
    const auto second = coordinator.nextSecondRun(engines, clock.now());
    REQUIRE(second);
    coordinator.onStarted(second->attempt, TargetId("fast"), clock.now());
    CHECK(coordinator.onProgress(second->attempt, { 39, 7 }, clock.now()));
    CHECK(coordinator.takeCancellations().empty());
    CHECK(coordinator.onProgress(second->attempt, { 41, 7 }, clock.now()));
    CHECK(coordinator.takeCancellations() == std::vector<AttemptId> { 30 });
}

TEST_CASE_METHOD(StragglerFixture, "straggler, expected to end long before the deadline, gets no second run")
{
    spec.deadline = seconds(100);
    StepCoordinator relaxed(spec, {}, clock.now());
    CHECK(relaxed.pull(cursor, 64, clock.now()));
    const auto dispatches = relaxed.nextDispatches(30, engines, clock.now());
    relaxed.onStarted(30, TargetId("slow"), clock.now());
    for (AttemptId attempt = 1; attempt < 30; ++attempt)
        relaxed.onResult(attempt, Generation { "text", 100, { 7 } }, clock.now());
    clock.advance(seconds(4));
    relaxed.onProgress(30, { 40, 7 }, clock.now());
    CHECK_FALSE(relaxed.nextSecondRun(engines, clock.now()));
    clock.advance(seconds(84));
    CHECK(relaxed.nextSecondRun(engines, clock.now()));
}

TEST_CASE_METHOD(StragglerFixture, "straggler, whose second run would exceed the budget of duplicated tokens, gets none")
{
    clock.advance(seconds(16));
    coordinator.onProgress(30, { 200, 7 }, clock.now());
    CHECK_FALSE(coordinator.nextSecondRun(engines, clock.now()));
}

TEST_CASE_METHOD(StragglerFixture, "straggler, whose engine has stalled, gets a second run on an engine that is no faster")
{
    EngineObservations equalSpeeds;
    equalSpeeds.recordRun(TargetId("fast"), 10, seconds(1));
    equalSpeeds.recordRun(TargetId("slow"), 10, seconds(1));
    CHECK_FALSE(coordinator.nextSecondRun(equalSpeeds, clock.now()));
    clock.advance(seconds(4));
    CHECK(coordinator.nextSecondRun(equalSpeeds, clock.now()));
}

TEST_CASE("engine report, after a recent chunk of the same engine, does not replace the chunk's version")
{
    ManualClock clock;
    EngineObservations engines;
    engines.recordChunk(TargetId("e1"), 7, clock.now());
    engines.recordReport(TargetId("e1"), 6, clock.now());
    CHECK(engines.anyMayHold(7, clock.now()));
    engines.recordChunk(TargetId("e1"), 5, clock.now());
    CHECK_FALSE(engines.anyMayHold(6, clock.now()));
    CHECK(engines.enginesOlderThan(6, clock.now()) == std::vector<TargetId> { TargetId("e1") });
    clock.advance(seconds(11));
    CHECK(engines.anyMayHold(6, clock.now()));
}

TEST_CASE("short run, during which the engine's weights were swapped, is restarted if the trainer weighs staleness")
{
    ManualClock clock;
    EngineObservations engines;
    engines.recordRun(TargetId("e1"), 100, seconds(10));
    const auto isKeptWith = [&](double weight, Duration elapsed) {
        StepOptions options;
        options.stalenessWeight = weight;
        StepCoordinator coordinator({ { TrainerName("drafts"), 4 }, { { "a", "", 1 } } }, options, clock.now());
        CHECK(coordinator.pull({ 4, 100, SampleBitmap(1), 7 }, 1, clock.now()));
        const auto attempt = coordinator.nextDispatches(1, engines, clock.now()).at(0).attempt;
        coordinator.onStarted(attempt, TargetId("e1"), clock.now());
        CHECK(coordinator.onProgress(attempt, { 5, 6 }, clock.now()));
        clock.advance(elapsed);
        return coordinator.onProgress(attempt, { 9, 7 }, clock.now());
    };
    CHECK(isKeptWith(0, seconds(1)));
    CHECK_FALSE(isKeptWith(0.5, seconds(9)));
    CHECK(isKeptWith(0.5, seconds(11)));
    CHECK(isKeptWith(1, seconds(41)));
}

TEST_CASE("sample, with only older weights available, waits if the trainer weighs staleness and otherwise runs within the staleness bound")
{
    ManualClock clock;
    EngineObservations engines;
    engines.recordRun(TargetId("old"), 100, seconds(10));
    engines.recordChunk(TargetId("old"), 6, clock.now());
    const StepSpec spec { { TrainerName("drafts"), 4 }, { { "a", "", 2 } } };
    const StepCursor cursor { 4, 100, SampleBitmap(2), 7 };
    const auto dispatchesWith = [&](double weight) {
        StepOptions options;
        options.stalenessWeight = weight;
        StepCoordinator coordinator(spec, options, clock.now());
        CHECK(coordinator.nextDispatches(2, engines, clock.now()).empty());
        CHECK(coordinator.pull(cursor, 1, clock.now()));
        return coordinator.nextDispatches(2, engines, clock.now()).size();
    };
    CHECK(dispatchesWith(0) == 2);
    CHECK(dispatchesWith(1) == 0);
    engines.recordChunk(TargetId("old"), 5, clock.now());
    CHECK(dispatchesWith(0) == 0);
    engines.recordChunk(TargetId("new"), 7, clock.now());
    CHECK(dispatchesWith(1) == 2);
}
