#include "ForwardingFixture.h"
#include "RecordingResponder.h"
#include "SiteEndpoints.h"
#include "StreamOrigins.h"

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A host with a route for streams to two targets.
struct ContinuedStreamFixture : ForwardingFixture {
    SubmissionIntake intake { store };
    ResultReader reader { workers.context(0).get_executor(), store, clock };
    std::shared_ptr<StreamOrigins> streamOrigins = std::make_shared<StreamOrigins>(workers.context(0).get_executor(), store, clock);
    Metrics metrics;
    SiteEndpoints endpoints { { HostId("host"), 1 }, directory, protocol, forwarder, intake, reader, *streamOrigins, metrics, clock };

    ContinuedStreamFixture()
    {
        onWorker([this] { store.put("site/configuration", "5 ledger stream:chat.example/talk/"); });
    }

    HttpResponse responseTo(HttpFields fields)
    {
        ServerRequest request;
        request.method = "POST";
        request.path = "/talk/";
        request.fields = std::move(fields);
        request.fields.emplace_back("Host", "chat.example");
        request.receivedAt = clock.now();
        RecordingResponder responder;
        boost::asio::co_spawn(workers.context(0), endpoints.serve(request, responder), boost::asio::use_future).get();
        return responder.response;
    }

    /// Calls the route with a new stream, or with the continuation of the one that @p firstAttempt began.
    unsigned call(const std::string& id, const std::string& firstAttempt = {})
    {
        if (firstAttempt.empty())
            return responseTo({ { "Id", id } }).status;
        return responseTo({ { "Id", id }, { "Continues", firstAttempt }, { "Last-Event", "1" } }).status;
    }

    void putDefault(const std::string& version)
    {
        onWorker([&] { store.put(defaultReleaseKey(RouteName("chat.example/talk/")), encodeDefaultRelease({ { PoolName("ledger"), SoftwareVersion(version) }, false })); });
    }

    /// Stores the record of a stream that another host began.
    void putStream(const std::string& id, const std::string& pool, const std::string& version)
    {
        onWorker([&] { store.put(streamKey(RequestId(id)), encodeStreamRelease({ PoolName(pool), SoftwareVersion(version) })); });
    }

    void beginStream(const std::string& id) { REQUIRE(call(id) == 200); }
    unsigned requests() const { return first.requests + second.requests; }
};

} // namespace

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, targets of two software versions, goes on only at the version that began it")
{
    putTarget("second", second.record("ready", 100, "r2"));
    for (int i = 0; i < 20; ++i) {
        const auto before = first.requests.load();
        const auto id = "stream-" + std::to_string(i);
        beginStream(id);
        auto& origin = first.requests > before ? first : second;
        const auto requestsOfOrigin = origin.requests.load();
        CHECK(call(id + "-again", id) == 200);
        CHECK(origin.requests == requestsOfOrigin + 1);
    }
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, targets of two software versions and a stream without a record, is refused without running")
{
    putTarget("second", second.record("ready", 100, "r2"));
    CHECK(call("again", "stream-of-another-host") == 503);
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, targets of two software versions and a stream that another host began, goes on at the recorded version")
{
    putTarget("second", second.record("ready", 100, "r2"));
    for (int i = 0; i < 10; ++i) {
        const auto id = "stream-" + std::to_string(i);
        putStream(id, "ledger", i % 2 == 0 ? "r1" : "r2");
        CHECK(call(id + "-again", id) == 200);
    }
    CHECK(first.requests == 5);
    CHECK(second.requests == 5);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, begun at the route's default release, goes on there whichever host began it")
{
    putDefault("r1");
    putTarget("second", second.record("ready", 100, "r2"));
    CHECK(call("again", "stream-of-another-host") == 200);
    CHECK(first.requests == 1);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, all targets were replaced while this host was down, is refused without running")
{
    putDefault("r1");
    putTarget("first", first.record("ready", 200, "r2"));
    putTarget("second", second.record("ready", 200, "r2"));
    const auto response = responseTo({ { "Id", "again" }, { "Continues", "stream-of-another-host" }, { "Last-Event", "1" } });
    CHECK(response.status == 503);
    CHECK(response.field("Retry-After") == "2.200");
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, its software version is gone, is refused without running")
{
    beginStream("stream");
    putTarget("first", first.record("ready", 200, "r2"));
    putTarget("second", second.record("ready", 200, "r2"));
    CHECK(call("again", "stream") == 503);
    CHECK(requests() == 1);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, the route no longer has the pool where it began, is refused without running")
{
    putStream("stream", "former-pool", "r1");
    CHECK(call("again", "stream") == 503);
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, store away, is refused with a time to come back")
{
    putDefault("r1");
    onWorker([this] { store.selectFault = [](CallKind) { return CallFault::Unavailable; }; });
    const auto response = responseTo({ { "Id", "again" }, { "Continues", "stream-of-another-host" }, { "Last-Event", "1" } });
    CHECK(response.status == 503);
    CHECK(response.field("Retry-After") == "0.300");
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, last event unreadable, is a bad request")
{
    putDefault("r1");
    CHECK(responseTo({ { "Id", "again" }, { "Continues", "stream" }, { "Last-Event", "unreadable" } }).status == 400);
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, first attempt not named, goes on only while all targets run the default release")
{
    const HttpFields unnamed { { "Id", "again" }, { "Last-Event", "1" } };
    CHECK(responseTo(unnamed).status == 400);
    putDefault("r1");
    CHECK(responseTo(unnamed).status == 200);
    putTarget("second", second.record("ready", 200, "r2"));
    CHECK(responseTo(unnamed).status == 400);
    CHECK(requests() == 1);
}

// Issue 43, first report: a host that was out of step while targets of a new software version joined continued streams at another version.
TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, host out of step, first attempt not named and a stream begun elsewhere at a new version, is not continued")
{
    putDefault("r1");
    const auto otherHost = std::make_shared<StreamOrigins>(workers.context(0).get_executor(), store, clock);
    onWorker([this] { directory.stop(); });
    putTarget("third", second.record("ready", 300, "r2"));
    SiteRoute streams;
    streams.name = RouteName("chat.example/talk/");
    const auto recorded = boost::asio::co_spawn(workers.context(0), otherHost->record(streams, RequestId("stream-of-another-host"), { PoolName("ledger"), SoftwareVersion("r2") }, 1s), boost::asio::use_future).get();
    REQUIRE(recorded);
    CHECK(responseTo({ { "Id", "again" }, { "Last-Event", "1" } }).status == 400);
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, host out of step while its targets restart under their ids with new software, is refused without running")
{
    putDefault("r1");
    onWorker([this] { directory.stop(); });
    putTarget("first", first.record("ready", 200, "r2"));
    putTarget("second", second.record("ready", 200, "r2"));
    CHECK(call("again", "stream-of-another-host") == 503);
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, host out of step while one of its targets restarts with new software, goes on at the other one")
{
    putDefault("r1");
    onWorker([this] { directory.stop(); });
    putTarget("first", first.record("ready", 200, "r2"));
    for (int i = 0; i < 10; ++i)
        CHECK(call("again-" + std::to_string(i), "stream-of-another-host") == 200);
    CHECK(first.requests == 0);
    CHECK(second.requests == 10);
}

// Issue 43, third report: the error of the target that should have continued a stream was found in the middle of the stream.
TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, target answers with an error, reaches the caller as that error and not as a part of the stream")
{
    putDefault("r1");
    first.status = 500;
    second.status = 500;
    const auto response = responseTo({ { "Id", "again" }, { "Continues", "stream-of-another-host" }, { "Last-Event", "1" } });
    CHECK(response.status == 500);
    CHECK(response.body == "error");
}
