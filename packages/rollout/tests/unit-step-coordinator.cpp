#include "cicadalb/rollout/StepCoordinator.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

struct StepCoordinatorFixture {
    StepSpec spec { { TrainerName("drafts"), 4 }, { { "a", "", 2 }, { "b", "", 2 } } };
    ManualClock clock;
    StepCoordinator coordinator { spec, options(), clock.now() };
    EngineObservations engines;
    StepCursor cursor { 4, 100, SampleBitmap(4), 7 };

    static StepOptions options()
    {
        StepOptions options;
        options.firstPullTimeout = std::chrono::milliseconds(0);
        return options;
    }
    std::vector<Dispatch> start(std::size_t count) { return coordinator.nextDispatches(count, engines, clock.now()); }
    void finish(const Dispatch& dispatch, std::vector<WeightVersion> versions = { 7 })
    {
        coordinator.onStarted(dispatch.attempt, TargetId("e1"), clock.now());
        coordinator.onResult(dispatch.attempt, Generation { "text", 10, std::move(versions) }, clock.now());
    }
    Batch pull(std::size_t maximum = 64) { return coordinator.pull(cursor, maximum, clock.now()).value(); }
    std::size_t discarded(DiscardCause cause) const { return coordinator.progress(clock.now()).discarded[static_cast<std::size_t>(cause)]; }
};

} // namespace

TEST_CASE_METHOD(StepCoordinatorFixture, "step, submitted again, is accepted with the same body and a conflict with another")
{
    CHECK(coordinator.resubmit(spec));
    auto other = spec;
    other.groups[0].prompt = "c";
    CHECK(coordinator.resubmit(other).error().code == ErrorCode::StepConflict);
}

TEST_CASE_METHOD(StepCoordinatorFixture, "step, generated and pulled in several batches, hands over each sample once")
{
    const auto dispatches = start(10);
    REQUIRE(dispatches.size() == 4);
    CHECK(start(10).empty());
    for (const auto& dispatch : dispatches)
        finish(dispatch);
    const auto first = pull(3);
    REQUIRE(first.samples.size() == 3);
    CHECK_FALSE(first.isDone);
    for (const auto& sample : first.samples)
        cursor.received.set(sample.position);
    ++cursor.number;
    const auto second = pull();
    REQUIRE(second.samples.size() == 1);
    CHECK(second.samples[0].id == SampleId { 1, 1 });
    CHECK(second.isDone);
}

TEST_CASE_METHOD(StepCoordinatorFixture, "batch, pulled again with the same cursor, holds the same samples")
{
    finish(start(1)[0]);
    CHECK(pull() == pull());
}

TEST_CASE_METHOD(StepCoordinatorFixture, "ready sample, stale when the trainer has newer weights, is discarded and generated again")
{
    finish(start(1)[0], { 6, 7 });
    cursor.weightVersion = 8;
    CHECK(pull().samples.empty());
    CHECK(discarded(DiscardCause::Stale) == 1);
    CHECK(start(10).size() == 4);
}

TEST_CASE_METHOD(StepCoordinatorFixture, "running generation, stale when the trainer has newer weights, is cancelled early")
{
    const auto dispatch = start(1)[0];
    CHECK(coordinator.onProgress(dispatch.attempt, { 3, 6 }, clock.now()));
    cursor.weightVersion = 8;
    pull();
    CHECK(coordinator.takeCancellations() == std::vector<AttemptId> { dispatch.attempt });
    coordinator.onResult(dispatch.attempt, failure(ErrorCode::Cancelled, "cancelled"), clock.now());
    CHECK(discarded(DiscardCause::BecomingStale) == 1);
    CHECK(start(10).size() == 4);
}

TEST_CASE_METHOD(StepCoordinatorFixture, "generation, without weight versions, is discarded and retried on another engine after the backoff")
{
    finish(start(1)[0], {});
    CHECK(pull().samples.empty());
    CHECK(discarded(DiscardCause::Unlabelled) == 1);
    CHECK(start(10).size() == 3);
    clock.advance(std::chrono::milliseconds(100));
    const auto again = start(10);
    REQUIRE(again.size() == 1);
    CHECK(again[0].excluded == std::vector<TargetId> { TargetId("e1") });
}

TEST_CASE_METHOD(StepCoordinatorFixture, "sample, already received from another coordinator, has its generation cancelled")
{
    const auto dispatches = start(4);
    cursor.received.set(2);
    pull();
    CHECK(coordinator.takeCancellations() == std::vector<AttemptId> { dispatches[2].attempt });
    finish(dispatches[2]);
    CHECK(pull().samples.empty());
    CHECK(discarded(DiscardCause::Superseded) == 1);
}

TEST_CASE_METHOD(StepCoordinatorFixture, "trainer, restarted with an empty cursor, gets every sample again")
{
    for (const auto& dispatch : start(4))
        finish(dispatch);
    cursor.received.set();
    CHECK(pull().isDone);
    StepCursor outdatedCursor { 4, 99, SampleBitmap(4), 7 };
    coordinator.pull(outdatedCursor, 64, clock.now()).value();
    CHECK(start(10).empty());
    cursor = { 4, CursorNumber { 1 } << 60U, SampleBitmap(4), 7 };
    pull();
    CHECK(start(10).size() == 4);
}

TEST_CASE_METHOD(StepCoordinatorFixture, "cursor, of another bitmap size or step, is refused")
{
    CHECK(coordinator.pull({ 4, 1, SampleBitmap(5), 7 }, 1, clock.now()).error().code == ErrorCode::CursorInvalid);
    CHECK(coordinator.pull({ 5, 1, SampleBitmap(4), 7 }, 1, clock.now()).error().code == ErrorCode::CursorInvalid);
}
