#include "FakeSiteProtocol.h"
#include "SampleRunner.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/ScriptedServer.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <sstream>
#include <thread>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const std::string streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

std::string chunk(const std::string& text)
{
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n"
          << text << "\r\n";
    return chunk.str();
}

std::string event(int id, const std::string& data) { return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n"; }

std::string errorAnswer(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A coordinator with one submission of one item, and one engine whose answers a test lists.
struct BrokenRunFixture {
    WorkerPool workers { 1 };
    boost::asio::io_context& context = workers.context(0);
    ScriptedServer engine { context };
    SteadyClock clock;
    ManualClock storeClock;
    FakeKeyValueService store { context.get_executor(), storeClock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    TargetClients clients { workers };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    std::shared_ptr<SampleRunner> runner = std::make_shared<SampleRunner>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, SampleRunnerSettings {});
    const SubmissionId submission { "7c41e0" };

    ~BrokenRunFixture()
    {
        onWorker([this] {
            runner->stop();
            directory.stop();
            store.advance(60s);
        });
        workers.stop();
    }

    void onWorker(std::function<void()> action)
    {
        const auto run = [](std::function<void()> body) -> Task<void> {
            body();
            co_return;
        };
        boost::asio::co_spawn(context, run(std::move(action)), boost::asio::use_future).get();
    }

    /// Runs the item on an engine with these answers. @return the text of its result, or nothing if there is none after ten seconds
    std::optional<std::string> textFrom(std::deque<std::string> answers)
    {
        onWorker([&] {
            engine.answers = std::move(answers);
            store.put("site/configuration", "4 drafts draft train.example/drafts/");
            store.put("targets/engine", "drafts 127.0.0.1:" + std::to_string(engine.port()) + " ready draft 1 100 r1");
            Submission submitted;
            submitted.id = submission;
            submitted.authority = "train.example";
            submitted.path = "/drafts/";
            submitted.model = ModelName("draft");
            submitted.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
            submitted.items.emplace_back();
            store.put(itemCountKey(submission), encodeItemCount(1));
            store.put(submissionKey(submission), encodeSubmission(submitted));
            directory.start();
            runner->start();
        });
        std::optional<std::string> text;
        for (const auto limit = clock.now() + 10s; !text && clock.now() < limit; std::this_thread::sleep_for(10ms)) {
            onWorker([&] {
                runner->updateEngines();
                runner->tick();
                const auto found = store.entries().find(resultSegmentKey(submission, 0));
                if (found == store.entries().end())
                    return;
                const auto results = decodeResults(found->second.value);
                REQUIRE(results);
                REQUIRE(results.value().size() == 1);
                CHECK(results.value().front().state == ResultState::Succeeded);
                text = results.value().front().text;
            });
        }
        return text;
    }
};

} // namespace

// Issue 43, third report: a stream had broken off, and the error of the next target was found in its middle.
TEST_CASE_METHOD(BrokenRunFixture, "sample runner, next answers after a broken run are errors, text holds the events of runs only")
{
    CHECK(textFrom({ streamHead + chunk(event(1, "a") + event(2, "b")) + chunk("id: 3\nda"), errorAnswer("502 Bad Gateway", event(3, "error")), errorAnswer("503 Service Unavailable", event(3, "busy")),
              "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event(3, "busy")), streamHead + chunk(event(3, "c")) + lastChunk })
        == "a\nb\nc");
}

TEST_CASE_METHOD(BrokenRunFixture, "sample runner, answer is whole but ends within an event, continues the text after the last whole event")
{
    CHECK(textFrom({ streamHead + chunk(event(1, "a") + "id: 2\ndata: b\n") + lastChunk, streamHead + chunk(event(2, "b")) + lastChunk }) == "a\nb");
}

TEST_CASE_METHOD(BrokenRunFixture, "sample runner, continued run begins at another event than the next one, adds none of its events")
{
    CHECK(textFrom({ streamHead + chunk(event(1, "a")), streamHead + chunk(event(1, "x") + event(2, "y")) + lastChunk, streamHead + chunk(event(3, "z")) + lastChunk, streamHead + chunk(event(2, "b")) + lastChunk }) == "a\nb");
}
