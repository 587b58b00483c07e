#include "cicadalb/submissions/SampleScheduler.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// One engine that runs one long item.
struct EngineTimingFixture {
    const TargetId engine { "engine" };
    const ModelName model { "draft" };
    ManualClock clock;
    SampleScheduler scheduler;
    ItemKey item;
    std::uint64_t lastEvent = 0;

    EngineTimingFixture()
    {
        clock.advance(1h);
        const PoolName pool("drafts");
        scheduler.setEngines({ { engine, pool, 4, { { model.value(), 1 } }, SoftwareVersion("r1"), 1 } });
        Submission submission;
        submission.id = SubmissionId("step");
        submission.model = model;
        submission.oldestVersion = 1;
        submission.items.emplace_back();
        submission.items.back().id = ItemId("item");
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 60s;
        policy.expiresAt = clock.now() + 60s;
        policy.pools = { pool };
        scheduler.add(submission, policy, {});
        const auto placed = scheduler.place(clock.now());
        REQUIRE(placed.size() == 1);
        item = placed.front().item;
    }

    /// Reports groups of events that arrive at the same time.
    void reportGroups(unsigned groups, unsigned eventsPerGroup, std::chrono::milliseconds interval)
    {
        for (unsigned group = 0; group < groups; ++group) {
            clock.advance(interval);
            for (unsigned event = 0; event < eventsPerGroup; ++event)
                scheduler.onEvent(item, ++lastEvent, "e", 1, clock.now());
        }
    }
};

} // namespace

// Guards against an assignment of engines that follows from single intervals between events.
TEST_CASE_METHOD(EngineTimingFixture, "engine timing, few events, has no average")
{
    reportGroups(20, 1, 4ms);
    CHECK_FALSE(scheduler.averageTimePerEvent(engine));
    reportGroups(99, 1, 4ms);
    CHECK_FALSE(scheduler.averageTimePerEvent(engine));
}

TEST_CASE_METHOD(EngineTimingFixture, "engine timing, events that arrive in groups, averages over all of them")
{
    reportGroups(40, 5, 100ms);
    const auto average = scheduler.averageTimePerEvent(engine);
    REQUIRE(average);
    CHECK(*average > 18ms);
    CHECK(*average < 22ms);
}

TEST_CASE_METHOD(EngineTimingFixture, "engine timing, first interval is far shorter than the others, counts as one of them")
{
    reportGroups(2, 1, 1ms);
    reportGroups(9, 1, 40ms);
    CHECK(scheduler.timePerEvent(engine) > 30ms);
}

TEST_CASE_METHOD(EngineTimingFixture, "engine timing, engine becomes slow, average follows")
{
    reportGroups(200, 1, 20ms);
    reportGroups(600, 1, 60ms);
    const auto average = scheduler.averageTimePerEvent(engine);
    REQUIRE(average);
    CHECK(*average > 50ms);
}
