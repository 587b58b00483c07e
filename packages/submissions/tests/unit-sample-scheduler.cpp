#include "cicadalb/submissions/SampleScheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const TargetId fast("fast");
const TargetId slow("slow");
const ModelName model("draft");
const PoolName pool("engines");

/// Two engines of four slots; items are added by group and expected tokens.
struct SchedulerFixture {
    SampleScheduler scheduler;
    ManualClock clock;
    SubmissionTerms terms;
    Submission submission;

    SchedulerFixture()
    {
        scheduler.setEngines({ { fast, pool, 4, { { "draft", 1 } } }, { slow, pool, 4, { { "draft", 1 } } } });
        terms.due = clock.now() + 7500ms;
        terms.giveUpAt = clock.now() + 40s;
        terms.pools = { pool };
        submission.id = SubmissionId("step-1");
        submission.model = model;
        submission.oldestVersion = 1;
    }

    void item(const std::string& id, const std::string& group, double hint = 0)
    {
        SampleItem added;
        added.id = ItemId(id);
        added.group = GroupId(group);
        added.lengthHint = hint;
        submission.items.push_back(std::move(added));
    }

    void add(const std::set<ItemId>& done = {}) { scheduler.add(submission, terms, done); }

    std::vector<std::string> placed()
    {
        std::vector<std::string> ids;
        for (const auto& placement : scheduler.place(clock.now()))
            ids.push_back(submission.items[placement.item.index].id.value() + "@" + placement.engine.value());
        return ids;
    }

    ItemKey key(std::size_t index) const { return { submission.id, index }; }

    /// Events of an item, each after @p gap.
    void events(std::size_t index, std::uint64_t first, std::uint64_t last, std::chrono::milliseconds gap, WeightVersion version = 1)
    {
        for (auto event = first; event <= last; ++event) {
            clock.advance(gap);
            scheduler.progressed(key(index), event, "e" + std::to_string(event), version, clock.now());
        }
    }

    /// Runs one item on each engine, so that both paces are known: 20 and 60 ms.
    void learnPaces()
    {
        item("first", "g", 4000);
        item("second", "g", 4000);
        add();
        const auto placements = scheduler.place(clock.now());
        REQUIRE(placements.size() == 2);
        for (const auto& placement : placements) {
            events(placement.item.index, 1, 200, placement.engine == fast ? 20ms : 60ms);
            CHECK(scheduler.finished(placement.item, RunEnd::Complete, clock.now()) == ItemStep::Judge);
            scheduler.settle(placement.item);
        }
        scheduler.remove(submission.id);
        submission.id = SubmissionId("step-2");
        submission.items.clear();
        terms.due = clock.now() + 7500ms;
        terms.giveUpAt = clock.now() + 40s;
    }
};

} // namespace

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, with more items than slots, places as many as there are slots")
{
    for (int i = 0; i < 10; ++i)
        item("i" + std::to_string(i), "g");
    add();
    CHECK(placed().size() == 8);
    CHECK(placed().empty());
    CHECK(scheduler.running() == 8);
    CHECK(scheduler.waiting() == 2);
    clock.advance(100ms);
    events(0, 1, 1, 10ms);
    CHECK(scheduler.finished(key(0), RunEnd::Complete, clock.now()) == ItemStep::Judge);
    CHECK(placed().size() == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, with paces known, gives the longest item of the wanted groups the fast engine first")
{
    learnPaces();
    submission.wantedGroups = 2;
    item("short", "a", 500);
    item("long", "b", 5000);
    item("unwanted", "c", 9000);
    add();
    const auto ids = placed();
    REQUIRE(ids.size() == 3);
    CHECK(ids[0] == "long@fast");
    CHECK(ids[2].starts_with("unwanted@"));
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, with weights too old or changing, leaves the engine out")
{
    submission.oldestVersion = 2;
    item("i", "g");
    add();
    CHECK(placed().empty());
    scheduler.setWeights(fast, model, std::nullopt);
    scheduler.setWeights(slow, model, 2);
    CHECK(placed() == std::vector<std::string> { "i@slow" });
    CHECK(scheduler.neededVersion(model) == 2);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, of a route that is sent to another pool, uses that pool's engines only")
{
    item("i", "g");
    terms.pools = { PoolName("elsewhere") };
    add();
    CHECK(placed().empty());
    scheduler.setPools(submission.id, { PoolName("elsewhere"), pool });
    CHECK(placed().size() == 1);
    scheduler.finished(key(0), RunEnd::Abandoned, clock.now());
    scheduler.setPools(submission.id, {});
    CHECK(placed().empty());
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, after a broken run, goes on with the text and leaves the engine alone for a while")
{
    scheduler.setEngines({ { fast, pool, 4, { { "draft", 1 } } } });
    item("i", "g");
    add();
    REQUIRE(placed().size() == 1);
    events(0, 1, 3, 20ms);
    CHECK(scheduler.finished(key(0), RunEnd::Broken, clock.now()) == ItemStep::RunAgain);
    REQUIRE(scheduler.text(key(0)));
    CHECK(scheduler.text(key(0))->lastEvent == 3);
    CHECK(placed().empty());
    clock.advance(SampleScheduler::breakPause);
    CHECK(placed().size() == 1);
    events(0, 4, 4, 20ms);
    CHECK(scheduler.text(key(0))->text == "e1\ne2\ne3\ne4");
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, on a route of single versions, drops text of two versions and continues on the same one only")
{
    terms.requiresSingleVersion = true;
    scheduler.setEngines({ { fast, pool, 4, { { "draft", 1 } } } });
    item("i", "g");
    add();
    REQUIRE(placed().size() == 1);
    events(0, 1, 2, 20ms, 1);
    scheduler.finished(key(0), RunEnd::Abandoned, clock.now());
    scheduler.setWeights(fast, model, 2);
    CHECK(placed().empty());
    scheduler.setWeights(fast, model, 1);
    REQUIRE(placed().size() == 1);
    events(0, 3, 3, 20ms, 2);
    CHECK(scheduler.finished(key(0), RunEnd::Complete, clock.now()) == ItemStep::RunAgain);
    CHECK(scheduler.text(key(0))->events == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, after as many server errors as allowed, gives the item up, and after one statement that it cannot be done")
{
    terms.maximumServerErrors = 2;
    item("a", "g");
    item("b", "g");
    add();
    REQUIRE(placed().size() == 2);
    CHECK(scheduler.finished(key(0), RunEnd::ServerError, clock.now()) == ItemStep::RunAgain);
    REQUIRE(placed().size() == 1);
    CHECK(scheduler.finished(key(0), RunEnd::ServerError, clock.now()) == ItemStep::GiveUp);
    CHECK(scheduler.finished(key(1), RunEnd::Impossible, clock.now()) == ItemStep::GiveUp);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, of a group that comes again, keeps text whose weights are still allowed")
{
    item("kept", "g");
    item("stale", "h");
    add();
    REQUIRE(placed().size() == 2);
    events(0, 1, 5, 20ms, 2);
    events(1, 1, 5, 20ms, 1);
    CHECK(scheduler.remove(submission.id).size() == 2);
    CHECK(scheduler.running() == 0);
    submission.id = SubmissionId("step-2");
    submission.oldestVersion = 2;
    add();
    CHECK(scheduler.text(key(0))->events == 5);
    CHECK(scheduler.text(key(1))->events == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, of another coordinator's texts, goes on with those whose weights are allowed, the longest stored first")
{
    item("long", "g");
    item("short", "g");
    add();
    REQUIRE(placed().size() == 2);
    events(0, 1, 6, 20ms);
    events(1, 1, 2, 20ms);
    CHECK(scheduler.texts(3, 1000).size() == 1);
    const auto texts = scheduler.texts(1, 1000);
    REQUIRE(texts.size() == 2);
    CHECK(texts[0].item.value() == "long");
    CHECK(scheduler.texts(1, texts[0].text.text.size()).size() == 1);

    SampleScheduler successor;
    successor.adopt(texts);
    successor.add(submission, terms, {});
    CHECK(successor.text(key(0))->lastEvent == 6);
    SampleScheduler later;
    later.adopt(texts);
    submission.oldestVersion = 2;
    later.add(submission, terms, {});
    CHECK(later.text(key(0))->events == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, of a run that is silent or could be faster elsewhere, moves it")
{
    learnPaces();
    scheduler.setWeights(fast, model, std::nullopt);
    item("i", "g", 8000);
    add();
    REQUIRE(placed() == std::vector<std::string> { "i@slow" });
    events(0, 1, 10, 60ms);
    CHECK(scheduler.misplaced(clock.now()).empty());
    scheduler.setWeights(fast, model, 1);
    CHECK(scheduler.misplaced(clock.now()).size() == 1);
    scheduler.setWeights(fast, model, std::nullopt);
    clock.advance(2s);
    CHECK(scheduler.misplaced(clock.now()).size() == 1);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, when a running item is settled from outside, frees its slot")
{
    item("i", "g");
    add();
    REQUIRE(placed().size() == 1);
    clock.advance(41s);
    REQUIRE(scheduler.expired(clock.now()).size() == 1);
    scheduler.settle(key(0));
    CHECK(scheduler.running() == 0);
    CHECK(scheduler.finished(key(0), RunEnd::Abandoned, clock.now()) == ItemStep::Nothing);
    CHECK(scheduler.running() == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, of items that are stored already, runs the others only")
{
    item("done", "g");
    item("open", "g");
    add({ ItemId("done") });
    REQUIRE(placed().size() == 1);
    CHECK_FALSE(scheduler.isOpen(key(0)));
}

TEST_CASE_METHOD(SchedulerFixture, "sample scheduler, of an engine whose weights are not those reported, leaves it alone for a while")
{
    scheduler.setEngines({ { fast, pool, 4, { { "draft", 1 } } } });
    item("a", "g");
    add();
    REQUIRE(placed() == std::vector<std::string> { "a@fast" });
    CHECK(scheduler.finished(key(0), RunEnd::WrongWeights, clock.now()) == ItemStep::RunAgain);
    CHECK(placed().empty());
    clock.advance(SampleScheduler::breakPause + 1ms);
    CHECK(placed() == std::vector<std::string> { "a@fast" });
}
