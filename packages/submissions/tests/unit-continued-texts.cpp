#include "cicadalb/submissions/SampleScheduler.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A scheduler whose only engine has taken 300 ms to read a text of thirty events that was continued on it.
struct ContinuedTextFixture {
    SampleScheduler scheduler;
    ManualClock clock;

    ContinuedTextFixture()
    {
        scheduler.setEngines({ { TargetId("engine"), PoolName("engines"), 8, { { "draft", 1 } }, SoftwareVersion("r1"), 1 } });
        addStep("first", 1, 1000);
        const ItemKey key { SubmissionId("first"), 0 };
        REQUIRE(scheduler.place(clock.now()).size() == 1);
        clock.advance(10ms);
        std::uint64_t event = 0;
        while (event < 30) {
            scheduler.onEvent(key, ++event, "e", 1, clock.now());
            clock.advance(40ms);
        }
        scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
        clock.advance(SampleScheduler::interruptionBackoff);
        REQUIRE(scheduler.place(clock.now()).size() == 1);
        clock.advance(300ms);
        scheduler.onEvent(key, ++event, "e", 1, clock.now());
    }

    void addStep(const std::string& id, unsigned items, std::uint64_t promptTokens)
    {
        Submission submission;
        submission.id = SubmissionId(id);
        submission.model = ModelName("draft");
        submission.oldestVersion = 1;
        for (unsigned i = 0; i < items; ++i) {
            SampleItem item;
            item.id = ItemId(id + std::to_string(i));
            item.group = GroupId("group");
            item.prompt = { promptTokens, {} };
            submission.items.push_back(std::move(item));
        }
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 20s;
        policy.expiresAt = clock.now() + 40s;
        policy.firstEventWithin = 400ms;
        policy.pools = { PoolName("engines") };
        scheduler.add(submission, policy, {});
    }
};

} // namespace

TEST_CASE_METHOD(ContinuedTextFixture, "engine that was slow to continue a text, items with short prompts only, begin on all of its free slots")
{
    addStep("second", 4, 1000);
    CHECK(scheduler.place(clock.now()).size() == 4);
    CHECK(scheduler.prefillWaits() == 0);
}

TEST_CASE_METHOD(ContinuedTextFixture, "engine that was slow to continue a text, long prompts beside short ones, are read one after the other")
{
    addStep("second", 2, 10000);
    CHECK(scheduler.place(clock.now()).size() == 1);
    CHECK(scheduler.prefillWaits() > 0);
}
