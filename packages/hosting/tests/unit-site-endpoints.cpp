#include "FakeSiteProtocol.h"
#include "RecordingResponder.h"
#include "SiteEndpoints.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A host that has configuration 4, without routes.
struct EndpointsFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    RequestForwarder forwarder { directory, protocol, clients, permits, *crashGuard, clock };
    SubmissionIntake intake { store };
    ResultReader reader { context.get_executor(), store, clock };
    std::shared_ptr<StreamOrigins> streamOrigins = std::make_shared<StreamOrigins>(context.get_executor(), store, clock);
    Metrics metrics;
    SiteEndpoints endpoints { { HostId("host"), 1 }, directory, protocol, forwarder, intake, reader, *streamOrigins, metrics, clock };

    EndpointsFixture()
    {
        store.put("site/configuration", "4 ledger");
        directory.start();
        runPendingWork();
    }

    ~EndpointsFixture()
    {
        directory.stop();
        store.advance(60s);
        runPendingWork();
    }

    void runPendingWork()
    {
        context.restart();
        context.poll();
    }

    static Task<bool> serve(SiteEndpoints& endpoints, ServerRequest& request, RecordingResponder& responder)
    {
        co_await endpoints.serve(request, responder);
        co_return true;
    }

    HttpResponse responseFor(const std::string& path)
    {
        ServerRequest request;
        request.method = "GET";
        request.path = path;
        request.fields = { { "Host", "ledger.example" }, { "Id", "1" } };
        request.receivedAt = clock.now();
        RecordingResponder responder;
        const auto served = startTask(context.get_executor(), serve(endpoints, request, responder));
        runPendingWork();
        REQUIRE(served->has_value());
        return responder.response;
    }
};

} // namespace

TEST_CASE_METHOD(EndpointsFixture, "site endpoints, unknown route and current configuration, answers 404")
{
    CHECK(responseFor("/invoices/1").status == 404);
}

TEST_CASE_METHOD(EndpointsFixture, "site endpoints, unknown route and configuration that may be out of date, answers 503 with a time to come back")
{
    store.selectFault = [](CallKind) { return CallFault::Unavailable; };
    // The call in progress ends by the first step, and all later ones fail.
    for (auto passed = 0ms; passed <= SiteDirectory::maximumRecordAge + 1s; passed += 1s) {
        store.advance(1s);
        runPendingWork();
    }
    const auto response = responseFor("/invoices/1");
    CHECK(response.status == 503);
    CHECK_FALSE(response.field("Retry-After").empty());
}
