#include "cicadalb/rollout/StepCoordinator.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using std::chrono::seconds;

namespace {

/// One group of 30: 29 samples of 100 tokens are done by a fast engine, the last runs on a slow one.
struct StragglerFixture {
    StragglerFixture()
    {
        engines.recordSpeed(TargetId("fast"), 30);
        engines.recordSpeed(TargetId("slow"), 10);
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
    StepSpec spec { { TrainerName("drafts"), 4 }, { { "a", "", 30 } }, 1000 };
    StepCoordinator coordinator { spec, {}, clock.now() };
    StepCursor cursor { 4, 100, SampleBitmap(30), 7 };
};

} // namespace

TEST_CASE_METHOD(StragglerFixture, "straggler, on a slow engine, gets a second run elsewhere and the first whole answer wins")
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

TEST_CASE_METHOD(StragglerFixture, "straggler, beyond the budget of duplicated tokens, gets no second run")
{
    clock.advance(seconds(16));
    coordinator.onProgress(30, { 200, 7 }, clock.now());
    CHECK_FALSE(coordinator.nextSecondRun(engines, clock.now()));
}

TEST_CASE_METHOD(StragglerFixture, "straggler, whose engine is frozen, gets a second run on any other engine")
{
    EngineObservations equal;
    equal.recordSpeed(TargetId("fast"), 10);
    equal.recordSpeed(TargetId("slow"), 10);
    CHECK_FALSE(coordinator.nextSecondRun(equal, clock.now()));
    clock.advance(seconds(4));
    CHECK(coordinator.nextSecondRun(equal, clock.now()));
}

TEST_CASE("engine report, lagging behind its chunks, does not hide the chunks' version")
{
    ManualClock clock;
    EngineObservations engines;
    engines.recordChunk(TargetId("e1"), 7, clock.now());
    engines.recordReport(TargetId("e1"), 6, clock.now());
    CHECK(engines.mayHold(7, clock.now()));
    engines.recordChunk(TargetId("e1"), 5, clock.now());
    CHECK_FALSE(engines.mayHold(6, clock.now()));
    CHECK(engines.enginesOlderThan(6, clock.now()) == std::vector<TargetId> { TargetId("e1") });
    clock.advance(seconds(11));
    CHECK(engines.mayHold(6, clock.now()));
}

TEST_CASE("sample, of a trainer that weighs staleness, waits for an engine with fresh weights, else takes one within the bound")
{
    ManualClock clock;
    EngineObservations engines;
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
