#include "FakeSiteProtocol.h"
#include "FaultyStore.h"
#include "SampleRunner.h"

#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A coordinator that has configuration 4, an engine that never answers, and a submission that another host accepted. The coordinator's watch of the
/// configuration can be silenced.
struct AcceptedElsewhereFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    bool isConfigurationSilent = false;
    FaultyStore directoryStore { context.get_executor(), store, clock, [this](CallKind) { return isConfigurationSilent ? CallDisruption::Silent : CallDisruption::None; } };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), directoryStore, protocol, clock, {} };
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    std::shared_ptr<SampleRunner> runner = std::make_shared<SampleRunner>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, SampleRunnerSettings {});
    boost::asio::ip::tcp::acceptor engine { context, { boost::asio::ip::address_v4::loopback(), 0 } };
    Submission submission;

    AcceptedElsewhereFixture()
    {
        // Deadlines of exchanges follow from the manual clock and are compared with the steady one.
        clock.advance(std::max<Duration>(Duration::zero(), std::chrono::steady_clock::now() - clock.now()));
        directory.setChangeHandler([this] { runner->updateEngines(); });
        submission.id = SubmissionId("7c41e0");
        submission.authority = "train.example";
        submission.path = "/drafts/";
        submission.model = ModelName("draft");
        submission.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
        submission.items.emplace_back().id = ItemId("e5b2");
    }

    void startWith(const std::string& configuration)
    {
        store.put("site/configuration", configuration);
        store.put("targets/engine", "ledger 127.0.0.1:" + std::to_string(engine.local_endpoint().port()) + " ready draft 1 100");
        directory.start();
        runner->start();
        run(100ms);
        isConfigurationSilent = true;
    }

    void submit(std::uint64_t acceptedUnder)
    {
        submission.acceptedUnder = acceptedUnder;
        store.put(itemCountKey(submission.id), encodeItemCount(1));
        store.put(submissionKey(submission.id), encodeSubmission(submission));
    }

    /// Advances the manual clock, and real time by as much, since the runner's pauses use the latter.
    void run(std::chrono::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += 10ms) {
            store.advance(10ms);
            context.restart();
            context.run_for(10ms);
        }
    }

    /// The operator publishes a configuration, which the coordinator receives.
    void publish(const std::string& configuration)
    {
        isConfigurationSilent = false;
        store.put("site/configuration", configuration);
        run(2s);
    }

    /// Replaces the coordinator's work by that of a new coordinator, which reads the submissions from the store.
    void changeCoordinator()
    {
        runner->stop();
        runner = std::make_shared<SampleRunner>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, SampleRunnerSettings {});
        runner->start();
        run(300ms);
    }

    /// Whether the submission is open and its item is on the engine.
    bool isRunning() const { return runner->scheduler().runningCount() == 1; }

    ~AcceptedElsewhereFixture()
    {
        isConfigurationSilent = false;
        runner->stop();
        directory.stop();
        store.advance(60s);
        run(500ms);
    }
};

} // namespace

TEST_CASE_METHOD(AcceptedElsewhereFixture, "sample runner, submission on a route that its own configuration lacks, is not closed but opened once the route arrives")
{
    startWith("4 ledger");
    store.put("site/configuration", "9 ledger train.example/drafts/");
    submit(9);
    run(300ms);
    CHECK(runner->openSubmissions() == 1);
    CHECK_FALSE(isRunning());
    CHECK(runner->scheduler().waitingCount() == 0);
    isConfigurationSilent = false;
    run(2s);
    CHECK(directory.view()->configuration.version == 9);
    CHECK(runner->openSubmissions() == 1);
    CHECK(isRunning());
}

TEST_CASE_METHOD(AcceptedElsewhereFixture, "sample runner, submission accepted under a newer configuration, is not opened under the older one")
{
    startWith("4 old train.example/drafts/");
    store.put("site/configuration", "9 ledger train.example/drafts/");
    submit(9);
    run(300ms);
    CHECK_FALSE(isRunning());
    CHECK(runner->scheduler().waitingCount() == 0);
    isConfigurationSilent = false;
    run(2s);
    CHECK(isRunning());
}

// Guards against accepted work that is forgotten by a coordinator that takes over while the route is missing.
TEST_CASE_METHOD(AcceptedElsewhereFixture, "sample runner, route missing when the submission is opened, runs nothing and runs the items once the route is back")
{
    startWith("9 ledger");
    submit(4);
    run(300ms);
    CHECK(runner->openSubmissions() == 1);
    CHECK_FALSE(isRunning());
    publish("11 ledger train.example/drafts/");
    CHECK(runner->openSubmissions() == 1);
    CHECK(isRunning());
}

TEST_CASE_METHOD(AcceptedElsewhereFixture, "sample runner, coordinator changed twice while the route is missing, runs the items once the route is back")
{
    startWith("9 ledger train.example/drafts/");
    submit(9);
    run(300ms);
    REQUIRE(isRunning());
    publish("10 ledger");
    changeCoordinator();
    CHECK_FALSE(isRunning());
    changeCoordinator();
    CHECK_FALSE(isRunning());
    publish("11 ledger train.example/drafts/");
    CHECK(isRunning());
}

TEST_CASE_METHOD(AcceptedElsewhereFixture, "sample runner, route replaced by one of another kind when the submission is opened, runs the items once the route is back")
{
    startWith("9 ledger idempotent:train.example/drafts/");
    submit(4);
    run(300ms);
    CHECK_FALSE(isRunning());
    publish("11 ledger train.example/drafts/");
    CHECK(isRunning());
}

TEST_CASE_METHOD(AcceptedElsewhereFixture, "sample runner, route missing until the time to live of the items ends, gives them up")
{
    submission.acceptedTerms = SubmissionTerms { 1s, 2s, 1s, 1, 0, false };
    startWith("9 ledger");
    submit(4);
    run(3s);
    runner->tick();
    run(1s);
    CHECK(runner->openSubmissions() == 1);
    run(2s);
    runner->tick();
    run(1s);
    CHECK(runner->openSubmissions() == 0);
    CHECK(store.entries().contains(resultSegmentKey(submission.id, 0)));
}
