#include "cicadalb/hosting/SiteHost.h"

#include "ForwardingFixture.h"

#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

std::uint16_t freePort()
{
    boost::asio::io_context context;
    return boost::asio::ip::tcp::acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 }).local_endpoint().port();
}

/// A host with one target, and callers on connections of their own. Its routes let callers wait for ten seconds, its grace period is shorter.
struct PlannedStopFixture {
    static constexpr auto unreadyPeriod = 800ms;
    static constexpr auto gracePeriod = 3000ms;

    WorkerPool workers { 2 };
    CountingTarget target { workers };
    ManualClock storeClock;
    FakeKeyValueService* store = nullptr;
    std::unique_ptr<SiteHost> host;
    SiteSettings settings;
    unsigned sent = 0;
    std::future<bool> stop;

    PlannedStopFixture()
    {
        settings.host.id = HostId("host");
        settings.addresses.callers = { "127.0.0.1", freePort() };
        settings.addresses.ready = { "127.0.0.1", freePort() };
        settings.addresses.admin = { "127.0.0.1", freePort() };
        settings.parts.serving = true;
        settings.shutdown = { unreadyPeriod, gracePeriod };
        host = std::make_unique<SiteHost>(settings, std::make_unique<FakeSiteProtocol>(), [this](auto executor, const auto&) {
            auto created = std::make_unique<FakeKeyValueService>(std::move(executor), storeClock);
            created->put("site/configuration", "4 ledger once:site.example/once/ idempotent:site.example/lookups/ stream:site.example/streams/");
            created->put("targets/a", target.record("ready", 100));
            store = created.get();
            return created;
        });
        REQUIRE(host->start());
        for (int tries = 0; tries < 500 && statusOfCall("/lookups/") != 200; ++tries)
            std::this_thread::sleep_for(10ms);
        target.requests = 0;
    }

    ~PlannedStopFixture()
    {
        if (stop.valid())
            stop.wait();
        host.reset();
        workers.stop();
    }

    std::future<std::shared_ptr<Result<HttpResponse>>> call(const std::string& path)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.fields = { { "Host", "site.example" }, { "Id", std::to_string(++sent) } };
        const auto send = [](boost::asio::any_io_executor executor, Endpoint endpoint, HttpRequest message) -> Task<std::shared_ptr<Result<HttpResponse>>> {
            HttpClient client(std::move(executor), std::move(endpoint));
            auto answer = co_await client.send(std::move(message), std::chrono::steady_clock::now() + std::chrono::seconds(20));
            co_return std::make_shared<Result<HttpResponse>>(std::move(answer));
        };
        const auto executor = workers.context(1).get_executor();
        return boost::asio::co_spawn(executor, send(executor, Endpoint { "127.0.0.1", settings.addresses.callers.port }, std::move(request)), boost::asio::use_future);
    }

    /// Status of the answer; 0 if the connection ended without one.
    static unsigned statusOf(std::future<std::shared_ptr<Result<HttpResponse>>>& answer)
    {
        const auto result = answer.get();
        return *result ? result->value().status : 0;
    }

    unsigned statusOfCall(const std::string& path)
    {
        auto answer = call(path);
        return statusOf(answer);
    }

    void beginStop()
    {
        stop = std::async(std::launch::async, [this] {
            const bool isDrained = host->shutDown();
            // The end of the process closes all connections.
            host.reset();
            return isDrained;
        });
        std::this_thread::sleep_for(300ms);
    }
};

} // namespace

// Guards against requests that come late in a planned stop, are passed on and cut at its end without an answer.
TEST_CASE_METHOD(PlannedStopFixture, "site host, request that must not be repeated and could outlast a planned stop, is refused without running")
{
    target.answerDelay = 3000ms;
    beginStop();
    for (const auto* path : { "/once/", "/streams/" }) {
        CAPTURE(path);
        const auto answer = call(path).get();
        REQUIRE(*answer);
        CHECK(answer->value().status == 503);
        CHECK_FALSE(answer->value().field("Retry-After").empty());
    }
    CHECK(target.requests == 0);
    CHECK(stop.get());
}

TEST_CASE_METHOD(PlannedStopFixture, "site host, requests running at the end of a planned stop, are answered before the process ends")
{
    target.answerDelay = 4000ms;
    auto once = call("/once/");
    std::this_thread::sleep_for(100ms);
    // The target has one slot, so that the second request waits.
    auto lookup = call("/lookups/");
    std::this_thread::sleep_for(100ms);
    REQUIRE(target.requests == 1);
    const auto begunAt = std::chrono::steady_clock::now();
    beginStop();
    CHECK(statusOf(once) == 502);
    CHECK(statusOf(lookup) == 503);
    CHECK(stop.get());
    CHECK(std::chrono::steady_clock::now() - begunAt < gracePeriod + 500ms);
}

TEST_CASE_METHOD(PlannedStopFixture, "site host, request that may be repeated early in a planned stop, is served")
{
    beginStop();
    CHECK(statusOfCall("/lookups/") == 200);
    target.answerDelay = 4000ms;
    CHECK(statusOfCall("/lookups/") == 502);
    CHECK(stop.get());
}

TEST_CASE_METHOD(PlannedStopFixture, "site host, requests that run when a planned stop begins and end in time, get their answers")
{
    target.answerDelay = 700ms;
    auto once = call("/once/");
    std::this_thread::sleep_for(200ms);
    beginStop();
    CHECK(statusOf(once) == 200);
    CHECK(stop.get());
}
