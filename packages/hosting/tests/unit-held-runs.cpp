#include "HeldRuns.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstOwner = 7;
constexpr std::uint64_t nextOwner = 8;

/// A host that holds one run for the first owner.
struct HeldRunsFixture {
    HeldRuns runs;
    RunId id { firstOwner, 1 };
    TimePoint now { 1h };

    HeldRunsFixture()
    {
        RunAssignment assignment;
        assignment.id = id;
        assignment.submission.id = SubmissionId("s");
        assignment.submission.items.emplace_back().reward.emplace();
        assignment.engine = TargetId("engine");
        assignment.remainingTime = 10s;
        REQUIRE(runs.add(std::move(assignment), firstOwner, now));
    }

    void receive(std::uint64_t event, WeightVersion version = 1) { runs.recordEvent(id, { event, "e" + std::to_string(event), {} }, version, now); }

    /// The only report for an owner.
    RunReport report(std::uint64_t owner)
    {
        auto reports = runs.reports(owner, false, now);
        REQUIRE(reports.size() == 1);
        return std::move(reports.front());
    }
};

} // namespace

TEST_CASE_METHOD(HeldRunsFixture, "held run, report that was lost, repeats its events in the next one")
{
    receive(1);
    receive(2);
    CHECK(report(firstOwner).events.size() == 2);
    receive(3);
    const auto repeated = report(firstOwner);
    CHECK(repeated.eventsBefore == 0);
    CHECK(repeated.events.size() == 3);
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, events that the owner has, are not reported again")
{
    receive(1);
    receive(2);
    runs.apply({ id, 1 }, firstOwner);
    const auto next = report(firstOwner);
    CHECK(next.eventsBefore == 1);
    REQUIRE(next.events.size() == 1);
    CHECK(next.events.front().data == "e2");
    runs.apply({ id, 2 }, firstOwner);
    CHECK(runs.reports(firstOwner, false, now).empty());
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, receipt that is late, leaves what was acknowledged since")
{
    receive(1);
    receive(2);
    runs.apply({ id, 2 }, firstOwner);
    runs.apply({ id, 1 }, firstOwner);
    receive(3);
    CHECK(report(firstOwner).eventsBefore == 2);
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, next owner, is presented with its whole text until that owner knows it")
{
    receive(1);
    runs.apply({ id, 1 }, firstOwner);
    receive(2);
    for (auto attempt = 0; attempt < 2; ++attempt) {
        const auto presented = report(nextOwner);
        REQUIRE(presented.origin);
        CHECK(presented.origin->text.text == "e1\ne2");
        CHECK(presented.origin->text.lastEventId == 2);
        CHECK(presented.origin->engine == TargetId("engine"));
    }
    runs.apply({ id, 2 }, nextOwner);
    CHECK(runs.reports(nextOwner, false, now).empty());
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, start that is repeated, is no second run")
{
    auto again = *runs.assignment(id);
    CHECK_FALSE(runs.add(std::move(again), firstOwner, now));
    CHECK(runs.size() == 1);
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, whole text, is judged by the holder and kept until it is no longer wanted")
{
    receive(1);
    CHECK(runs.recordEnd(id, { RunOutcome::Complete, {} }, true));
    runs.recordReward(id, { true, "signature" });
    runs.apply({ id, 1, true, true }, firstOwner);
    CHECK(runs.contains(id));
    const auto presented = report(nextOwner);
    REQUIRE(presented.reward);
    CHECK(presented.reward->signature == "signature");
    runs.remove(id);
    CHECK(runs.isEmpty());
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, text that may not be used, is not judged")
{
    SECTION("no event") { }
    SECTION("software is uncertain")
    {
        receive(1);
        CHECK_FALSE(runs.recordEnd(id, { RunOutcome::Complete, {} }, false));
    }
    SECTION("broken off")
    {
        receive(1);
        CHECK_FALSE(runs.recordEnd(id, { RunOutcome::Interrupted, {} }, true));
    }
    CHECK_FALSE(runs.recordEnd(id, { RunOutcome::Complete, {} }, false));
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, end, is urgent once and reported until it is acknowledged")
{
    receive(1);
    CHECK_FALSE(runs.hasUrgentNews());
    (void)runs.recordEnd(id, { RunOutcome::Complete, {} }, true);
    CHECK(runs.hasUrgentNews());
    CHECK(runs.reports(firstOwner, true, now).size() == 1);
    CHECK_FALSE(runs.hasUrgentNews());
    CHECK(report(firstOwner).end);
    runs.apply({ id, 1, true, false }, firstOwner);
    CHECK(runs.reports(firstOwner, false, now).empty());
}

TEST_CASE_METHOD(HeldRunsFixture, "held run, after its time, is wanted by nobody")
{
    CHECK(runs.expiredIds(now + 9s).empty());
    CHECK(runs.expiredIds(now + 10s) == std::vector { id });
}
