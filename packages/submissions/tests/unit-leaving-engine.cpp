#include "cicadalb/submissions/SampleScheduler.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const TargetId leavingEngine("leaving");
const TargetId stayingEngine("staying");

SchedulableEngine engineNamed(const TargetId& id, Incarnation startedAt = 1) { return { id, PoolName("engines"), 4, { { "draft", 1 } }, SoftwareVersion("r1"), startedAt }; }

/// A scheduler with one run on an engine that then leaves the list of engines.
struct LeavingEngineFixture {
    SampleScheduler scheduler;
    ManualClock clock;
    ItemKey key { SubmissionId("step"), 0 };

    /// @param events expected events of the item, of which a third has been received
    explicit LeavingEngineFixture(double events = 60)
    {
        scheduler.setEngines({ engineNamed(leavingEngine) });
        Submission submission;
        submission.id = key.submission;
        submission.model = ModelName("draft");
        submission.oldestVersion = 1;
        SampleItem item;
        item.id = ItemId("item");
        item.group = GroupId("group");
        constexpr double tokensPerEvent = 54;
        item.lengthHint = events * tokensPerEvent;
        submission.items.push_back(std::move(item));
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 7500ms;
        policy.expiresAt = clock.now() + 40s;
        policy.pools = { PoolName("engines") };
        scheduler.add(submission, policy, {});
        REQUIRE(scheduler.place(clock.now()).size() == 1);
        for (std::uint64_t event = 1; static_cast<double>(event) <= events / 3; ++event) {
            clock.advance(40ms);
            scheduler.onEvent(key, event, "e", 1, clock.now());
        }
        scheduler.setEngines({ engineNamed(stayingEngine) });
    }

    /// Time after which the run is moved, or nothing if it is not moved before the engine is gone. Events go on meanwhile.
    std::optional<Duration> movedAfter(Duration limit)
    {
        const auto start = clock.now();
        auto event = scheduler.partialText(key)->lastEventId.value_or(0);
        while (clock.now() < start + limit) {
            if (!scheduler.itemsToMove(clock.now()).empty())
                return clock.now() - start;
            clock.advance(40ms);
            scheduler.onEvent(key, ++event, "e", 1, clock.now());
        }
        return std::nullopt;
    }
};

} // namespace

TEST_CASE_METHOD(LeavingEngineFixture, "sample scheduler, engine leaves before its run ends, moves the run before the engine is gone and keeps its text")
{
    scheduler.setLeaving(leavingEngine, clock.now() + 1500ms);
    const auto moved = movedAfter(1500ms);
    REQUIRE(moved);
    CHECK(*moved >= 500ms);
    const auto events = scheduler.partialText(key)->eventCount;
    CHECK(scheduler.onRunEnd(key, RunOutcome::Cancelled, clock.now()) == ItemAction::Retry);
    const auto placements = scheduler.place(clock.now());
    REQUIRE(placements.size() == 1);
    CHECK(placements.front().engine == stayingEngine);
    CHECK(scheduler.partialText(key)->eventCount == events);
}

TEST_CASE("sample scheduler, engine leaves after its run ends, leaves the run where it is")
{
    LeavingEngineFixture fixture(15);
    fixture.scheduler.setLeaving(leavingEngine, fixture.clock.now() + 1500ms);
    // The run has 10 events left, of 40 ms each.
    CHECK_FALSE(fixture.movedAfter(400ms));
}

TEST_CASE_METHOD(LeavingEngineFixture, "sample scheduler, engine states no time left, leaves its run where it is")
{
    CHECK_FALSE(movedAfter(1500ms));
}

TEST_CASE_METHOD(LeavingEngineFixture, "sample scheduler, later statement of a later end, keeps to the earlier one")
{
    scheduler.setLeaving(leavingEngine, clock.now() + 1000ms);
    scheduler.setLeaving(leavingEngine, clock.now() + 30s);
    CHECK(movedAfter(1000ms));
}

TEST_CASE_METHOD(LeavingEngineFixture, "sample scheduler, engine starts again under the same id, forgets that it was leaving")
{
    scheduler.setLeaving(leavingEngine, clock.now() + 1000ms);
    scheduler.setEngines({ engineNamed(leavingEngine, 2), engineNamed(stayingEngine) });
    CHECK_FALSE(movedAfter(1500ms));
}
