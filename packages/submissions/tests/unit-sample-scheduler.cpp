#include "cicadalb/submissions/SampleScheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const TargetId fastEngine("fast");
const TargetId slowEngine("slow");
const ModelName model("draft");
const PoolName pool("engines");

/// An engine of four slots that holds the first weight version and runs the same software as the others.
SchedulableEngine engineNamed(const TargetId& id) { return { id, pool, 4, { { "draft", 1 } }, SoftwareVersion("r1"), 1 }; }

/// Scheduler with two engines of four slots each, and a submission to which a test adds items.
struct SchedulerFixture {
    SampleScheduler scheduler;
    ManualClock clock;
    SubmissionPolicy policy;
    Submission submission;

    SchedulerFixture()
    {
        scheduler.setEngines({ engineNamed(fastEngine), engineNamed(slowEngine) });
        policy.softDeadline = clock.now() + 7500ms;
        policy.expiresAt = clock.now() + 40s;
        policy.pools = { pool };
        submission.id = SubmissionId("step-1");
        submission.model = model;
        submission.oldestVersion = 1;
    }

    void addItem(const std::string& id, const std::string& group, double lengthHint = 0)
    {
        SampleItem added;
        added.id = ItemId(id);
        added.group = GroupId(group);
        added.lengthHint = lengthHint;
        submission.items.push_back(std::move(added));
    }

    void addSubmission(const std::set<ItemId>& done = {}) { scheduler.add(submission, policy, done); }

    /// Places waiting items. @return the placed items, each as item@engine
    std::vector<std::string> placeItems()
    {
        std::vector<std::string> ids;
        for (const auto& placement : scheduler.place(clock.now()))
            ids.push_back(submission.items[placement.item.index].id.value() + "@" + placement.engine.value());
        return ids;
    }

    ItemKey key(std::size_t index) const { return { submission.id, index }; }

    /// Reports the events @p first to @p last of an item, each @p interval after the one before.
    void reportEvents(std::size_t index, std::uint64_t first, std::uint64_t last, std::chrono::milliseconds interval, WeightVersion version = 1)
    {
        for (auto event = first; event <= last; ++event) {
            clock.advance(interval);
            scheduler.onEvent(key(index), event, "e" + std::to_string(event), version, clock.now());
        }
    }

    /// Runs one item on each engine, so that the times per event are measured: 20 ms on the fast and 60 ms on the slow engine.
    void measureEngines()
    {
        addItem("first", "g", 4000);
        addItem("second", "g", 4000);
        addSubmission();
        const auto placements = scheduler.place(clock.now());
        REQUIRE(placements.size() == 2);
        for (const auto& placement : placements) {
            reportEvents(placement.item.index, 1, 200, placement.engine == fastEngine ? 20ms : 60ms);
            CHECK(scheduler.onRunEnd(placement.item, RunOutcome::Complete, clock.now()) == ItemAction::RequestReward);
            scheduler.settle(placement.item);
        }
        scheduler.remove(submission.id);
        submission.id = SubmissionId("step-2");
        submission.items.clear();
        policy.softDeadline = clock.now() + 7500ms;
        policy.expiresAt = clock.now() + 40s;
    }
};

} // namespace

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler with more items than slots places one item per slot")
{
    for (int i = 0; i < 10; ++i)
        addItem("i" + std::to_string(i), "g");
    addSubmission();
    CHECK(placeItems().size() == 8);
    CHECK(placeItems().empty());
    CHECK(scheduler.runningCount() == 8);
    CHECK(scheduler.waitingCount() == 2);
    clock.advance(100ms);
    reportEvents(0, 1, 1, 10ms);
    CHECK(scheduler.onRunEnd(key(0), RunOutcome::Complete, clock.now()) == ItemAction::RequestReward);
    CHECK(placeItems().size() == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler with measured engines places the longest item of the wanted groups first, on the fast engine")
{
    measureEngines();
    submission.wantedGroupCount = 2;
    addItem("short", "a", 500);
    addItem("long", "b", 5000);
    addItem("unwanted", "c", 9000);
    addSubmission();
    const auto ids = placeItems();
    REQUIRE(ids.size() == 3);
    CHECK(ids[0] == "long@fast");
    CHECK(ids[2].starts_with("unwanted@"));
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler does not use engines whose weights are too old or changing")
{
    submission.oldestVersion = 2;
    addItem("i", "g");
    addSubmission();
    CHECK(placeItems().empty());
    scheduler.setWeightVersion(fastEngine, model, std::nullopt);
    scheduler.setWeightVersion(slowEngine, model, 2);
    CHECK(placeItems() == std::vector<std::string> { "i@slow" });
    CHECK(scheduler.oldestAllowedVersion(model) == 2);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler uses only engines of the submission's current pools")
{
    addItem("i", "g");
    policy.pools = { PoolName("elsewhere") };
    addSubmission();
    CHECK(placeItems().empty());
    scheduler.setPools(submission.id, { PoolName("elsewhere"), pool });
    CHECK(placeItems().size() == 1);
    scheduler.onRunEnd(key(0), RunOutcome::Cancelled, clock.now());
    scheduler.setPools(submission.id, {});
    CHECK(placeItems().empty());
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler continues the text after a broken run and pauses the engine")
{
    scheduler.setEngines({ engineNamed(fastEngine) });
    addItem("i", "g");
    addSubmission();
    REQUIRE(placeItems().size() == 1);
    reportEvents(0, 1, 3, 20ms);
    CHECK(scheduler.onRunEnd(key(0), RunOutcome::Interrupted, clock.now()) == ItemAction::Retry);
    REQUIRE(scheduler.partialText(key(0)));
    CHECK(scheduler.partialText(key(0))->lastEventId == 3);
    CHECK(placeItems().empty());
    clock.advance(SampleScheduler::interruptionBackoff);
    CHECK(placeItems().size() == 1);
    reportEvents(0, 4, 4, 20ms);
    CHECK(scheduler.partialText(key(0))->text == "e1\ne2\ne3\ne4");
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler on a single-version route drops text of two versions and continues text only on its version")
{
    policy.requiresSingleVersion = true;
    scheduler.setEngines({ engineNamed(fastEngine) });
    addItem("i", "g");
    addSubmission();
    REQUIRE(placeItems().size() == 1);
    reportEvents(0, 1, 2, 20ms, 1);
    scheduler.onRunEnd(key(0), RunOutcome::Cancelled, clock.now());
    scheduler.setWeightVersion(fastEngine, model, 2);
    REQUIRE(placeItems().size() == 1);
    CHECK(scheduler.partialText(key(0))->eventCount == 0);
    reportEvents(0, 1, 2, 20ms, 2);
    scheduler.onRunEnd(key(0), RunOutcome::Cancelled, clock.now());
    REQUIRE(placeItems().size() == 1);
    CHECK(scheduler.partialText(key(0))->eventCount == 2);
    reportEvents(0, 3, 3, 20ms, 3);
    CHECK(scheduler.onRunEnd(key(0), RunOutcome::Complete, clock.now()) == ItemAction::Retry);
    CHECK(scheduler.partialText(key(0))->eventCount == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler gives an item up after the maximum of server errors or one answer that it is impossible")
{
    policy.maximumServerErrors = 2;
    addItem("a", "g");
    addItem("b", "g");
    addSubmission();
    REQUIRE(placeItems().size() == 2);
    CHECK(scheduler.onRunEnd(key(0), RunOutcome::ServerError, clock.now()) == ItemAction::Retry);
    REQUIRE(placeItems().size() == 1);
    CHECK(scheduler.onRunEnd(key(0), RunOutcome::ServerError, clock.now()) == ItemAction::GiveUp);
    CHECK(scheduler.onRunEnd(key(1), RunOutcome::Impossible, clock.now()) == ItemAction::GiveUp);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler keeps the text of items that are submitted again if its weights are still allowed")
{
    addItem("kept", "g");
    addItem("stale", "h");
    addSubmission();
    REQUIRE(placeItems().size() == 2);
    reportEvents(0, 1, 5, 20ms, 2);
    reportEvents(1, 1, 5, 20ms, 1);
    CHECK(scheduler.remove(submission.id).size() == 2);
    CHECK(scheduler.runningCount() == 0);
    submission.id = SubmissionId("step-2");
    submission.oldestVersion = 2;
    addSubmission();
    CHECK(scheduler.partialText(key(0))->eventCount == 5);
    CHECK(scheduler.partialText(key(1))->eventCount == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler continues another coordinator's texts whose weights are allowed, and exports the longest texts first")
{
    addItem("long", "g");
    addItem("short", "g");
    addSubmission();
    REQUIRE(placeItems().size() == 2);
    reportEvents(0, 1, 6, 20ms);
    reportEvents(1, 1, 2, 20ms);
    CHECK(scheduler.partialTexts(3, 1000).size() == 1);
    const auto texts = scheduler.partialTexts(1, 1000);
    REQUIRE(texts.size() == 2);
    CHECK(texts[0].item.value() == "long");
    CHECK(scheduler.partialTexts(1, texts[0].text.text.size()).size() == 1);

    SampleScheduler successor;
    successor.addPartialTexts(texts);
    successor.add(submission, policy, {});
    CHECK(successor.partialText(key(0))->lastEventId == 6);
    SampleScheduler strictSuccessor;
    strictSuccessor.addPartialTexts(texts);
    submission.oldestVersion = 2;
    strictSuccessor.add(submission, policy, {});
    CHECK(strictSuccessor.partialText(key(0))->eventCount == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler moves a run that is stalled or would be faster on another engine")
{
    measureEngines();
    scheduler.setWeightVersion(fastEngine, model, std::nullopt);
    addItem("i", "g", 8000);
    addSubmission();
    REQUIRE(placeItems() == std::vector<std::string> { "i@slow" });
    reportEvents(0, 1, 10, 60ms);
    CHECK(scheduler.itemsToMove(clock.now()).empty());
    scheduler.setWeightVersion(fastEngine, model, 1);
    CHECK(scheduler.itemsToMove(clock.now()).size() == 1);
    scheduler.setWeightVersion(fastEngine, model, std::nullopt);
    clock.advance(2s);
    CHECK(scheduler.itemsToMove(clock.now()).size() == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler frees the slot of a running item when the item is settled")
{
    addItem("i", "g");
    addSubmission();
    REQUIRE(placeItems().size() == 1);
    clock.advance(41s);
    REQUIRE(scheduler.expiredItems(clock.now()).size() == 1);
    scheduler.settle(key(0));
    CHECK(scheduler.runningCount() == 0);
    CHECK(scheduler.onRunEnd(key(0), RunOutcome::Cancelled, clock.now()) == ItemAction::Nothing);
    CHECK(scheduler.runningCount() == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler does not run items whose results are already stored")
{
    addItem("done", "g");
    addItem("open", "g");
    addSubmission({ ItemId("done") });
    REQUIRE(placeItems().size() == 1);
    CHECK_FALSE(scheduler.isOpen(key(0)));
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler pauses an engine whose weights differ from its report")
{
    scheduler.setEngines({ engineNamed(fastEngine) });
    addItem("a", "g");
    addSubmission();
    REQUIRE(placeItems() == std::vector<std::string> { "a@fast" });
    CHECK(scheduler.onRunEnd(key(0), RunOutcome::WrongWeights, clock.now()) == ItemAction::Retry);
    CHECK(placeItems().empty());
    clock.advance(SampleScheduler::interruptionBackoff + 1ms);
    CHECK(placeItems() == std::vector<std::string> { "a@fast" });
}
