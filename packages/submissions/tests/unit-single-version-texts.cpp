#include "cicadalb/submissions/SampleScheduler.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const ModelName model("draft");
const PoolName pool("engines");

SchedulableEngine engineWith(const std::string& id, WeightVersion weights, const std::string& software = "r1")
{
    return { TargetId(id), pool, 4, { { model.value(), weights } }, SoftwareVersion(software), 1 };
}

/// A text of ten events with weights 1 on a route that requires a single version. Its run has ended.
struct SingleVersionFixture {
    SampleScheduler scheduler;
    ManualClock clock;
    const ItemKey key { SubmissionId("step-1"), 0 };

    SingleVersionFixture()
    {
        scheduler.setEngines({ engineWith("first", 1) });
        Submission submission;
        submission.id = key.submission;
        submission.model = model;
        submission.oldestVersion = 1;
        submission.items.emplace_back();
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 7500ms;
        policy.expiresAt = clock.now() + 1min;
        policy.requiresSingleVersion = true;
        policy.pools = { pool };
        scheduler.add(submission, policy, {});
        REQUIRE(engineOfNextRun() == "first");
        for (std::uint64_t event = 1; event <= 10; ++event) {
            clock.advance(20ms);
            scheduler.onEvent(key, event, "e", 1, clock.now());
        }
        scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
    }

    std::string engineOfNextRun()
    {
        const auto placements = scheduler.place(clock.now());
        return placements.empty() ? "" : placements.front().engine.value();
    }
    std::size_t events() const { return scheduler.partialText(key)->eventCount; }
};

} // namespace

// Review case 2: an item of a route that requires a single version was never placed again once no engine had the weights of its text.
TEST_CASE_METHOD(SingleVersionFixture, "sample scheduler, no engine with the weights of a single-version text left, begins the text again at once")
{
    scheduler.setEngines({ engineWith("second", 2) });
    CHECK(engineOfNextRun() == "second");
    CHECK(events() == 0);
}

TEST_CASE_METHOD(SingleVersionFixture, "sample scheduler, only engine with the weights of a single-version text loads newer ones, begins the text again at once")
{
    scheduler.setEngines({ engineWith("first", 1), engineWith("second", 2) });
    scheduler.setWeightVersion(TargetId("first"), model, std::nullopt);
    CHECK(engineOfNextRun() == "second");
    CHECK(events() == 0);
}

TEST_CASE_METHOD(SingleVersionFixture, "sample scheduler, weights and software of a single-version text on different engines, begins the text again at once")
{
    scheduler.setEngines({ engineWith("weights", 1, "r2"), engineWith("software", 2, "r1") });
    CHECK_FALSE(engineOfNextRun().empty());
    CHECK(events() == 0);
}

TEST_CASE_METHOD(SingleVersionFixture, "sample scheduler, engine with the weights of a single-version text free, continues the text there")
{
    scheduler.setEngines({ engineWith("same", 1), engineWith("second", 2) });
    CHECK(engineOfNextRun() == "same");
    CHECK(events() == 10);
}

TEST_CASE_METHOD(SingleVersionFixture, "sample scheduler, engine with the weights of a single-version text paused, waits for it no longer than generating the events again takes")
{
    scheduler.setEngines({ engineWith("first", 1), engineWith("second", 2) });
    CHECK(engineOfNextRun().empty());
    clock.advance(10 * SampleScheduler::assumedTimePerEvent);
    CHECK(engineOfNextRun().empty());
    CHECK(events() == 10);
    clock.advance(1ms);
    CHECK(engineOfNextRun() == "second");
    CHECK(events() == 0);
}

TEST_CASE("sample scheduler, any weights and software of engines and text, places an item while an engine has weights that are allowed")
{
    CHECK(rc::check([] {
        ManualClock clock;
        SampleScheduler scheduler;
        const ItemKey key { SubmissionId("step-1"), 0 };
        Submission submission;
        submission.id = key.submission;
        submission.model = model;
        submission.oldestVersion = *rc::gen::inRange<WeightVersion>(1, 4);
        submission.items.emplace_back().id = ItemId("item");
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 7500ms;
        policy.expiresAt = clock.now() + 1min;
        policy.requiresSingleVersion = *rc::gen::arbitrary<bool>();
        policy.pools = { pool };
        const auto anySoftware = rc::gen::element<std::string>("", "r1", "r2");
        PartialText text;
        const auto eventCount = *rc::gen::inRange<std::uint64_t>(0, 20);
        const auto weights = *rc::gen::inRange<WeightVersion>(1, 5);
        const auto isOfOneVersion = *rc::gen::arbitrary<bool>();
        for (std::uint64_t event = 1; event <= eventCount; ++event)
            text.append(event, "e", isOfOneVersion ? weights : *rc::gen::inRange<WeightVersion>(1, 5));
        text.release = { pool, SoftwareVersion(*anySoftware) };
        scheduler.addPartialTexts({ { ItemId("item"), text } });
        std::vector<SchedulableEngine> engines;
        for (std::size_t i = *rc::gen::inRange<std::size_t>(1, 4); i > 0; --i)
            engines.push_back(engineWith("e" + std::to_string(i), *rc::gen::inRange<WeightVersion>(1, 5), *anySoftware));
        // One engine is a usable one, whatever the others are.
        engines.front().models[model.value()] = submission.oldestVersion;
        scheduler.setEngines(engines);
        for (std::size_t i = 1; i < engines.size(); ++i) {
            if (*rc::gen::arbitrary<bool>())
                scheduler.setWeightVersion(engines[i].id, model, std::nullopt);
        }
        scheduler.add(submission, policy, {});
        auto placements = scheduler.place(clock.now()).size();
        // The scheduler waits this long for an engine that can continue the text.
        clock.advance(eventCount * SampleScheduler::assumedTimePerEvent + 1ms);
        placements += scheduler.place(clock.now()).size();
        RC_ASSERT(placements == 1U);
    }));
}
