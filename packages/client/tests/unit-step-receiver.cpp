#include "cicadalb/client/StepReceiver.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

struct StepReceiverFixture {
    StepSpec spec { { TrainerName("drafts"), 4 }, { { "a", "", 2 }, { "b", "", 1 } } };
    StepReceiver receiver { spec, 7, 100 };

    Batch batchOf(std::vector<SampleIndex> positions) const
    {
        Batch batch { 4, receiver.cursor().number, {}, false };
        for (const auto position : positions)
            batch.samples.push_back({ { 0, position }, position, "text", 1, { 7 } });
        return batch;
    }
};

} // namespace

TEST_CASE_METHOD(StepReceiverFixture, "receiver, given a batch for its cursor, accepts it and advances the cursor")
{
    CHECK(receiver.accept(batchOf({ 0, 2 })).size() == 2);
    CHECK(receiver.cursor().number == 101);
    CHECK_FALSE(receiver.isComplete());
    CHECK(receiver.accept(batchOf({ 1 })).size() == 1);
    CHECK(receiver.isComplete());
}

TEST_CASE_METHOD(StepReceiverFixture, "receiver, given the same batch twice, drops the second")
{
    const auto batch = batchOf({ 0 });
    CHECK(receiver.accept(batch).size() == 1);
    CHECK(receiver.accept(batch).empty());
}

TEST_CASE_METHOD(StepReceiverFixture, "receiver, given a batch selected for an older weight version, drops it")
{
    const auto batch = batchOf({ 0 });
    receiver.setWeightVersion(8);
    CHECK(receiver.accept(batch).empty());
    CHECK(receiver.cursor().received.none());
}

TEST_CASE_METHOD(StepReceiverFixture, "receiver, given another step's batch or a position out of range, drops it")
{
    auto batchOfOtherStep = batchOf({ 0 });
    batchOfOtherStep.step = 3;
    CHECK(receiver.accept(batchOfOtherStep).empty());
    CHECK(receiver.accept(batchOf({ 3 })).empty());
}
