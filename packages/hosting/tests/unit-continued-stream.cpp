#include "ForwardingFixture.h"
#include "RecordingResponder.h"
#include "SiteEndpoints.h"

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A host with a route for streams to two targets.
struct ContinuedStreamFixture : ForwardingFixture {
    SubmissionIntake intake { store };
    ResultReader reader { workers.context(0).get_executor(), store, clock };
    Metrics metrics;
    SiteEndpoints endpoints { { HostId("host"), 1 }, directory, protocol, forwarder, intake, reader, metrics, clock };

    ContinuedStreamFixture()
    {
        onWorker([this] { store.put("site/configuration", "5 ledger stream:chat.example/talk/"); });
    }

    /// Calls the route with a new stream, or with the continuation of the one that @p firstAttempt began.
    unsigned call(const std::string& id, const std::string& firstAttempt = {})
    {
        ServerRequest request;
        request.method = "POST";
        request.path = "/talk/";
        request.fields = { { "Host", "chat.example" }, { "Id", id }, { "Continues", firstAttempt } };
        request.receivedAt = clock.now();
        RecordingResponder responder;
        boost::asio::co_spawn(workers.context(0), endpoints.serve(request, responder), boost::asio::use_future).get();
        return responder.response.status;
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

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, targets of two software versions and a stream that another host began, is refused without running")
{
    putTarget("second", second.record("ready", 100, "r2"));
    CHECK(call("again", "stream-of-another-host") == 503);
    CHECK(call("again", "") == 200);
    CHECK(requests() == 1);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, all targets have only ever had one software version, goes on whichever host began it")
{
    CHECK(call("again", "stream-of-another-host") == 200);
}

TEST_CASE_METHOD(ContinuedStreamFixture, "continued stream, its software version is gone, is refused without running")
{
    beginStream("stream");
    putTarget("first", first.record("ready", 200, "r2"));
    putTarget("second", second.record("ready", 200, "r2"));
    CHECK(call("again", "stream") == 503);
    CHECK(requests() == 1);
}
