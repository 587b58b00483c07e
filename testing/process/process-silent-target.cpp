#include "Deployment.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

/// Requests after which a host has an estimate of its targets' response times.
constexpr int warmUpRequests = 20;
/// Concurrent requests; enough that each target receives some.
constexpr int concurrentRequests = 8;

struct SilentTargetFixture {
    HttpClient& callerClient() { return *deployment.hosts[0]->callerClient; }

    void warmUp()
    {
        for (int number = 0; number < warmUpRequests; ++number) {
            const auto response = deployment.call(callerClient(), Deployment::lookupRequest("warm-" + std::to_string(number)));
            REQUIRE(response);
            REQUIRE(response.value().status == 200);
        }
    }

    unsigned runCountOnAll(const std::string& key)
    {
        unsigned runs = 0;
        for (const auto& ledger : deployment.ledgers)
            runs += deployment.runCount(*ledger, key);
        return runs;
    }

    Deployment deployment { { 1, 2 } };
};

} // namespace

TEST_CASE_METHOD(SilentTargetFixture, "Lookups are answered by the other target when one target does not answer")
{
    warmUp();
    const auto runsBefore = deployment.runCount(*deployment.ledgers[0]);
    deployment.control(*deployment.ledgers[0], { { "hang-requests", 1000 } });
    std::vector<std::future<Result<HttpResponse>>> running;
    running.reserve(concurrentRequests);
    for (int number = 0; number < concurrentRequests; ++number)
        running.push_back(deployment.callAsync(callerClient(), Deployment::lookupRequest("one-" + std::to_string(number))));
    for (auto& request : running) {
        const auto response = request.get();
        REQUIRE(response);
        CHECK(response.value().status == 200);
    }
    CHECK(deployment.runCount(*deployment.ledgers[0]) > runsBefore);
}

TEST_CASE_METHOD(SilentTargetFixture, "Invoice runs once and has run state unknown when its target does not answer")
{
    warmUp();
    for (const auto& ledger : deployment.ledgers)
        deployment.control(*ledger, { { "hang-requests", 1 } });
    const auto response = deployment.call(callerClient(), Deployment::invoiceRequest("silent"));
    REQUIRE(response);
    CHECK(response.value().field("Cicadalb-Run-State") == "unknown");
    CHECK(runCountOnAll("silent") == 1);
}
