#include "FakeSiteProtocol.h"
#include "SampleRunner.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A coordinator with one waiting item and a free engine. The event loop runs only when a test lets it.
struct LateCoordinatorFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    std::shared_ptr<SampleRunner> runner;
    Submission submission;

    void start(std::chrono::milliseconds endTime)
    {
        SampleRunnerSettings settings;
        settings.endTime = endTime;
        runner = std::make_shared<SampleRunner>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, settings);
        store.put("site/configuration", "4 drafts draft train.example/drafts/");
        store.put("targets/engine", "drafts 127.0.0.1:1 ready draft 1 100");
        submission.id = SubmissionId("7c41e0");
        submission.authority = "train.example";
        submission.path = "/drafts/";
        submission.model = ModelName("draft");
        submission.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
        submission.items.emplace_back();
        store.put(itemCountKey(submission.id), encodeItemCount(1));
        store.put(submissionKey(submission.id), encodeSubmission(submission));
        // The runner has seen no target when it starts.
        runner->start();
        runLoop();
        directory.start();
        runLoop();
        store.advance(25ms);
        runLoop();
        REQUIRE(runner->scheduler().waitingCount() == 1);
        REQUIRE(runner->scheduler().runningCount() == 0);
    }

    ~LateCoordinatorFixture()
    {
        runner->stop();
        directory.stop();
        store.advance(60s);
        runLoop();
        worker.stop();
    }

    void runLoop()
    {
        context.restart();
        context.run_for(60ms);
    }

    Task<bool> finish()
    {
        co_await runner->finish(300ms);
        co_return true;
    }

    /// Works off what is ready. @return the largest number of runs at a time
    std::size_t mostRuns()
    {
        std::size_t runs = 0;
        context.restart();
        while (context.poll_one() > 0)
            runs = std::max(runs, runner->scheduler().runningCount());
        return runs;
    }

    /// The submission ends while a placement waits for an event loop that stands still for @p delay. @return the largest number of runs at a time
    std::size_t runsAfterEnd(Duration delay)
    {
        runner->updateEngines();
        store.advance(delay);
        store.put(endKey(submission.id), "");
        return mostRuns();
    }
};

} // namespace

TEST_CASE_METHOD(LateCoordinatorFixture, "sample runner, event loop late while a submission ends, begins no run of it")
{
    start(3s);
    CHECK(runsAfterEnd(2500ms) == 0);
    CHECK(runner->openSubmissions() == 0);
}

TEST_CASE_METHOD(LateCoordinatorFixture, "sample runner, event loop late and no end, places items once the loop is in time and the submissions are up to date")
{
    start(3s);
    runner->updateEngines();
    store.advance(2500ms);
    CHECK(mostRuns() == 0);
    CHECK(runner->isPlacementPaused());
    runner->tick();
    CHECK(mostRuns() == 1);
    CHECK_FALSE(runner->isPlacementPaused());
}

TEST_CASE_METHOD(LateCoordinatorFixture, "sample runner, event loop late and no limit on the time after an end, begins the run")
{
    start(0s);
    CHECK(runsAfterEnd(2500ms) == 1);
}

// Guards against results and texts of the last moments before a planned change that the next coordinator has to generate again.
TEST_CASE_METHOD(LateCoordinatorFixture, "sample runner, finishes with a result that is not stored yet, stores it")
{
    start(0s);
    store.advance(1h);
    runner->tick();
    const auto key = resultSegmentKey(submission.id, 0);
    REQUIRE_FALSE(store.entries().contains(key));
    const auto finished = startTask(context.get_executor(), finish());
    runLoop();
    CHECK(finished->has_value());
    CHECK(store.entries().contains(key));
}

TEST_CASE_METHOD(LateCoordinatorFixture, "sample runner, finishes with an incomplete text, stores it")
{
    start(0s);
    runner->updateEngines();
    const auto placed = runner->scheduler().place(clock.now());
    REQUIRE(placed.size() == 1);
    runner->scheduler().onEvent(placed.front().item, 0, "text", 1, clock.now());
    const auto finished = startTask(context.get_executor(), finish());
    runLoop();
    CHECK(finished->has_value());
    REQUIRE(store.entries().contains(std::string(partialTextsKey)));
    const auto texts = decodePartialTexts(store.entries().at(std::string(partialTextsKey)).value);
    REQUIRE(texts);
    CHECK(texts.value().size() == 1);
}

// Guards against the step that is nearest to its deadline being taken up last by a new coordinator.
TEST_CASE_METHOD(LateCoordinatorFixture, "sample runner, several submissions stored, opens the one nearest to its deadline first")
{
    using std::chrono::system_clock;
    const auto submittedAt = std::chrono::duration_cast<UnixTime>(system_clock::now().time_since_epoch());
    std::vector<SubmissionId> ids;
    for (const auto* id : { "a", "b", "c" }) {
        Submission stored;
        stored.id = ids.emplace_back(id);
        stored.authority = "train.example";
        stored.path = "/drafts/";
        stored.model = ModelName("draft");
        stored.submittedAt = submittedAt - std::chrono::seconds(ids.size());
        stored.items.emplace_back();
        store.put(itemCountKey(stored.id), encodeItemCount(1));
        store.put(submissionKey(stored.id), encodeSubmission(stored));
    }
    store.put("site/configuration", "4 drafts draft train.example/drafts/");
    directory.start();
    runLoop();
    // Of the calls that read, those for the texts, the submissions and the results of one submission succeed.
    unsigned reads = 0;
    store.selectFault = [&reads](CallKind kind) { return kind == CallKind::Read && ++reads > 3 ? CallFault::Unavailable : CallFault::None; };
    runner = std::make_shared<SampleRunner>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, SampleRunnerSettings {});
    runner->start();
    runLoop();
    CHECK(runner->scheduler().isOpen({ ids[2], 0 }));
    CHECK_FALSE(runner->scheduler().isOpen({ ids[0], 0 }));
    CHECK_FALSE(runner->scheduler().isOpen({ ids[1], 0 }));
}
