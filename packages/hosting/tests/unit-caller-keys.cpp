#include "ForwardingFixture.h"
#include "RecordingResponder.h"
#include "RequestRelay.h"
#include "SiteEndpoints.h"

#include "cicadalb/submissions/SubmissionRecords.h"

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A host of a site with the organisations "north" (keys n1, n2) and "south" (s1), whose age of the configuration the test sets.
struct CallerKeysFixture : ForwardingFixture {
    ManualClock recordClock;
    boost::asio::any_io_executor executor = workers.context(0).get_executor();
    SiteDirectory keyDirectory { executor, store, protocol, clock, settings(recordClock) };
    RequestForwarder keyForwarder { keyDirectory, protocol, clients, permits, *crashGuard, clock };
    SubmissionIntake intake { store };
    ResultReader reader { executor, store, clock };
    std::shared_ptr<StreamOrigins> streamOrigins = std::make_shared<StreamOrigins>(executor, store, clock);
    Metrics metrics;
    SiteEndpoints endpoints { { HostId("host"), 1, KeyValidity(5s) }, keyDirectory, protocol, keyForwarder, intake, reader, *streamOrigins, metrics, clock };

    static SiteDirectorySettings settings(const Clock& recordClock)
    {
        SiteDirectorySettings result;
        result.recordClock = &recordClock;
        return result;
    }

    CallerKeysFixture()
    {
        configure("5 ledger organisation:north:n1,n2 organisation:south:s1");
        onWorker([this] { keyDirectory.start(); });
        awaitVersion(5);
    }

    ~CallerKeysFixture()
    {
        onWorker([this] { keyDirectory.stop(); });
    }

    void configure(const std::string& beginning)
    {
        onWorker([&] { store.put("site/configuration", beginning + " idempotent:app.example/lookup/ public:idempotent:app.example/open/ app.example/batch/"); });
    }

    void awaitVersion(std::uint64_t version)
    {
        const auto hasVersion = [&] {
            bool has = false;
            onWorker([&] { has = keyDirectory.isReady() && keyDirectory.view()->configuration.version == version; });
            return has;
        };
        for (int i = 0; i < 1000 && !hasVersion(); ++i)
            std::this_thread::sleep_for(1ms);
        REQUIRE(hasVersion());
    }

    static Task<void> serve(SiteEndpoints& endpoints, std::shared_ptr<ServerRequest> request, std::shared_ptr<RecordingResponder> responder)
    {
        co_await endpoints.serve(*request, *responder);
    }

    HttpResponse send(const std::string& path, const HttpFields& fields, const std::string& body = {})
    {
        const auto request = std::make_shared<ServerRequest>();
        request->method = "POST";
        request->path = path;
        request->fields = { { "Host", "app.example" }, { "Id", "7c41" } };
        request->fields.insert(request->fields.end(), fields.begin(), fields.end());
        request->body = body;
        request->receivedAt = clock.now();
        const auto responder = std::make_shared<RecordingResponder>();
        boost::asio::co_spawn(executor, serve(endpoints, request, responder), boost::asio::use_future).get();
        return responder->response;
    }

    unsigned requestsRun() const { return first.requests + second.requests; }
    std::string organisationSeen() const { return first.organisation + second.organisation; }
    std::string keySeen() const { return first.key + second.key; }
};

} // namespace

TEST_CASE_METHOD(CallerKeysFixture, "caller's key, valid, tells the target its organisation and not the key, whatever the caller states")
{
    CHECK(send("/lookup/1", { { "Key", "n2" }, { "Organisation", "south" } }).status == 200);
    CHECK(organisationSeen() == "north");
    CHECK(keySeen().empty());
}

TEST_CASE_METHOD(CallerKeysFixture, "caller's key, on a public route, is neither needed nor passed on, and no organisation is named")
{
    CHECK(send("/open/1", { { "Key", "other" }, { "Organisation", "south" } }).status == 200);
    CHECK(requestsRun() == 1);
    CHECK(organisationSeen().empty());
    CHECK(keySeen().empty());
}

TEST_CASE_METHOD(CallerKeysFixture, "caller's key, missing, unknown or one of two, is refused with 401 and the request does not run")
{
    CHECK(send("/lookup/1", {}).status == 401);
    CHECK(send("/lookup/1", { { "Key", "other" } }).status == 401);
    CHECK(send("/lookup/1", { { "Key", "n1" }, { "Key", "s1" } }).status == 401);
    CHECK(requestsRun() == 0);
}

TEST_CASE_METHOD(CallerKeysFixture, "caller's key, taken away, is refused once the host has the configuration")
{
    configure("6 ledger organisation:north:n2 organisation:south:s1");
    awaitVersion(6);
    CHECK(send("/lookup/1", { { "Key", "n1" } }).status == 401);
    CHECK(send("/lookup/1", { { "Key", "n2" } }).status == 200);
}

TEST_CASE_METHOD(CallerKeysFixture, "caller's key, at a host that has been cut off for most of its validity, is neither relied on nor called unknown")
{
    onWorker([this] { recordClock.advance(3100ms); });
    const auto known = send("/lookup/1", { { "Key", "n1" } });
    CHECK(known.status == 503);
    CHECK_FALSE(known.field("Retry-After").empty());
    CHECK(send("/lookup/1", { { "Key", "other" } }).status == 503);
    CHECK(requestsRun() == 0);
    CHECK(send("/open/1", {}).status == 200);
}

TEST_CASE_METHOD(CallerKeysFixture, "forwarded request, whose key becomes too old while it waits, is not sent")
{
    ForwardRequest request;
    request.id = RequestId("7c41");
    request.route = &route;
    request.pool = PoolName("ledger");
    request.deadline = clock.now() + 10s;
    request.buildMessage = [](const AttemptContext&) { return HttpRequest(); };
    request.mayBeSent = [] { return false; };
    const auto outcome = boost::asio::co_spawn(executor, keyForwarder.forward(std::move(request)), boost::asio::use_future).get();
    CHECK(outcome.state == ForwardState::NotRun);
    CHECK(outcome.retryAfter > Duration::zero());
    CHECK(requestsRun() == 0);
}

TEST_CASE_METHOD(CallerKeysFixture, "forwarded request, whose key becomes too old while its connection is opened, is not sent")
{
    ForwardRequest request;
    request.id = RequestId("7c41");
    request.route = &route;
    request.pool = PoolName("ledger");
    request.deadline = clock.now() + 10s;
    request.buildMessage = [](const AttemptContext&) { return HttpRequest(); };
    request.mayBeSent = [checks = 0]() mutable { return ++checks == 1; };
    const auto outcome = boost::asio::co_spawn(executor, keyForwarder.forward(std::move(request)), boost::asio::use_future).get();
    CHECK(outcome.state == ForwardState::NotRun);
    CHECK(outcome.isKnownNotRun);
    CHECK(outcome.retryAfter > Duration::zero());
    CHECK(requestsRun() == 0);
}

TEST_CASE_METHOD(CallerKeysFixture, "submission, calls with other keys of its organisation, are served")
{
    CHECK(send("/batch/", { { "Key", "n1" } }, "submission").status == 202);
    CHECK(send("/batch/", { { "Key", "n2" } }, "submission").status == 202);
    CHECK(send("/7c41", { { "Key", "n2" }, { "Call", "results" } }).status == 200);
    CHECK(send("/7c41", { { "Key", "n2" }, { "Call", "item" } }).status == 200);
    CHECK(send("/7c41", { { "Key", "n2" }, { "Call", "end" } }).status == 200);
}

TEST_CASE_METHOD(CallerKeysFixture, "submission, calls with a key of another organisation, find nothing and change nothing")
{
    CHECK(send("/batch/", { { "Key", "n1" } }, "submission").status == 202);
    CHECK(send("/batch/", { { "Key", "s1" } }, "submission").status == 409);
    for (const auto* call : { "results", "item", "end" })
        CHECK(send("/7c41", { { "Key", "s1" }, { "Call", call } }).status == 404);
    onWorker([this] { CHECK_FALSE(store.entries().contains(endKey(SubmissionId("7c41")))); });
}

TEST_CASE_METHOD(CallerKeysFixture, "submission, calls without a key, are refused with 401")
{
    CHECK(send("/batch/", {}, "submission").status == 401);
    for (const auto* call : { "results", "item", "end" })
        CHECK(send("/7c41", { { "Call", call } }).status == 401);
}

TEST_CASE_METHOD(CallerKeysFixture, "submission of an earlier build, which names no organisation, is served to any organisation")
{
    Submission submission;
    submission.id = SubmissionId("7c41");
    submission.items.emplace_back().id = ItemId("item");
    onWorker([&] {
        store.put(submissionKey(submission.id), encodeSubmission(submission));
        store.put(itemCountKey(submission.id), encodeItemCount(1));
    });
    for (const auto* call : { "results", "item", "end" })
        CHECK(send("/7c41", { { "Key", "s1" }, { "Call", call } }).status == 200);
}

TEST_CASE_METHOD(CallerKeysFixture, "configuration, with one key at two organisations, is not applied, and the former one stays in force")
{
    configure("6 ledger organisation:north:n1 organisation:east:n1");
    configure("7 ledger organisation:north:n1 organisation:north:n2");
    CHECK(send("/lookup/1", { { "Key", "s1" } }).status == 200);
    onWorker([this] { CHECK(keyDirectory.view()->configuration.version == 5); });
}

TEST_CASE("relay message, of a request with a key, keeps the organisation and the digest")
{
    RelayRequest request;
    request.organisation = OrganisationName("north");
    request.keyDigest = keyDigest(Secret("n1"));
    const auto decoded = decodeRelayRequest(encodeRelayRequest(request));
    REQUIRE(decoded);
    CHECK(decoded.value().organisation == request.organisation);
    CHECK(decoded.value().keyDigest == request.keyDigest);
}

namespace {

/// The fixture's host forwards requests for another one.
struct RelayedKeysFixture : CallerKeysFixture {
    std::shared_ptr<TargetReachability> reachability = std::make_shared<TargetReachability>(
        executor, keyDirectory, [](const Endpoint&, std::chrono::milliseconds) -> Task<bool> { co_return true; }, clock, 1);
    RelayEndpoint helper { keyDirectory, protocol, keyForwarder, *reachability, KeyValidity(5s) };

    static Task<void> serveRelayed(RelayEndpoint& helper, std::shared_ptr<ServerRequest> request, std::shared_ptr<RecordingResponder> responder)
    {
        co_await helper.serve(*request, *responder);
    }

    RelayReply relay(const std::string& organisation, const std::string& key, const HttpFields& fields = {})
    {
        RelayRequest request;
        request.message = { "GET", "/lookup/1", { { "Host", "app.example" }, { "Id", "7c41" } }, {} };
        request.message.fields.insert(request.message.fields.end(), fields.begin(), fields.end());
        request.pool = PoolName("ledger");
        request.configurationVersion = 5;
        request.remainingTime = 5s;
        request.attemptsLeft = 1;
        request.organisation = OrganisationName(organisation);
        request.keyDigest = keyDigest(Secret(key));
        const auto received = std::make_shared<ServerRequest>();
        received->body = encodeRelayRequest(request);
        received->receivedAt = clock.now();
        const auto responder = std::make_shared<RecordingResponder>();
        boost::asio::co_spawn(executor, serveRelayed(helper, received, responder), boost::asio::use_future).get();
        const auto reply = decodeRelayReply(responder->response.body);
        REQUIRE(reply);
        return reply.value();
    }
};

} // namespace

TEST_CASE_METHOD(RelayedKeysFixture, "helper, request of an organisation, tells the target the organisation")
{
    CHECK(relay("north", "n1").outcome.answer.status == 200);
    CHECK(organisationSeen() == "north");
}

TEST_CASE_METHOD(RelayedKeysFixture, "helper, key that is taken, of another organisation or not to be confirmed, declines and does not run the request")
{
    CHECK_FALSE(relay("north", "other").hasForwarded);
    CHECK_FALSE(relay("north", "s1").hasForwarded);
    CHECK_FALSE(relay("", "").hasForwarded);
    onWorker([this] { recordClock.advance(3100ms); });
    CHECK_FALSE(relay("north", "n1").hasForwarded);
    CHECK(requestsRun() == 0);
}

TEST_CASE_METHOD(RelayedKeysFixture, "helper, request of an earlier build that still holds its key, checks the key itself and withholds it")
{
    CHECK(relay("", "", { { "Key", "s1" } }).outcome.answer.status == 200);
    CHECK(organisationSeen() == "south");
    CHECK(keySeen().empty());
    CHECK_FALSE(relay("", "", { { "Key", "other" } }).hasForwarded);
}
