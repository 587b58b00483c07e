#include "FakeSiteProtocol.h"
#include "SampleRunner.h"

#include "cicadalb/services/EndlessServer.h"
#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A coordinator with one submission of one item, and one engine whose answers never end.
struct EndlessSampleFixture {
    WorkerPool workers { 1 };
    boost::asio::io_context& context = workers.context(0);
    EndlessServer engine { context };
    SteadyClock clock;
    ManualClock storeClock;
    FakeKeyValueService store { context.get_executor(), storeClock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    TargetClients clients { workers };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    std::shared_ptr<SampleRunner> runner = std::make_shared<SampleRunner>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, SampleRunnerSettings {});

    ~EndlessSampleFixture()
    {
        (void)onWorker([this] {
            runner->stop();
            directory.stop();
            store.advance(60s);
            return true;
        });
        workers.stop();
    }

    bool onWorker(std::function<bool()> action)
    {
        const auto run = [](std::function<bool()> body) -> Task<bool> { co_return body(); };
        return boost::asio::co_spawn(context, run(std::move(action)), boost::asio::use_future).get();
    }

    void start(const std::string& begin, const std::string& filler)
    {
        (void)onWorker([this, begin, filler] {
            engine.begin = begin;
            engine.filler = filler;
            store.put("site/configuration", "4 drafts draft train.example/drafts/");
            store.put("targets/engine", "drafts 127.0.0.1:" + std::to_string(engine.port()) + " ready draft 1 100");
            Submission submission;
            submission.id = SubmissionId("7c41e0");
            submission.authority = "train.example";
            submission.path = "/drafts/";
            submission.model = ModelName("draft");
            submission.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
            submission.items.emplace_back();
            store.put(itemCountKey(submission.id), encodeItemCount(1));
            store.put(submissionKey(submission.id), encodeSubmission(submission));
            directory.start();
            runner->start();
            return true;
        });
    }

    /// Whether the run ends long before the item's time to live.
    bool isConnectionClosedSoon()
    {
        const auto limit = clock.now() + 20s;
        while (clock.now() < limit) {
            if (onWorker([this] {
                    runner->updateEngines();
                    return engine.wasClosedByClient;
                }))
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }
};

constexpr std::string_view head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 99999999999\r\n\r\n";

} // namespace

TEST_CASE_METHOD(EndlessSampleFixture, "sample runner, line without end, ends the run and closes the connection")
{
    start(std::string(head), std::string(65536, 'a'));
    CHECK(isConnectionClosedSoon());
}

TEST_CASE_METHOD(EndlessSampleFixture, "sample runner, comments without end and no event, ends the run and closes the connection")
{
    start(std::string(head), ": nothing\n");
    CHECK(isConnectionClosedSoon());
}

TEST_CASE_METHOD(EndlessSampleFixture, "sample runner, events without end, ends the run, closes the connection and drops the text")
{
    engine.makeFiller = [id = 0]() mutable { return "id: " + std::to_string(++id) + "\ndata: " + std::string(10000, 'a') + "\n\n"; };
    start(std::string(head), {});
    CHECK(isConnectionClosedSoon());
    CHECK(onWorker([this] {
        runner->stop();
        const auto* text = runner->scheduler().partialText({ SubmissionId("7c41e0"), 0 });
        return text && text->text.size() < 1U << 20U;
    }));
}
