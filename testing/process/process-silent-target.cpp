#include "Deployment.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

/// Requests after which a host knows how long its targets usually take.
constexpr int warmUpRequests = 20;
/// Enough that both targets receive some.
constexpr int requestsAtOnce = 8;

struct SilentTargetFixture {
    HttpClient& callers() { return *deployment.hosts[0]->callers; }

    void warmUp()
    {
        for (int number = 0; number < warmUpRequests; ++number) {
            const auto response = deployment.call(callers(), Deployment::lookup("warm-" + std::to_string(number)));
            REQUIRE(response);
            REQUIRE(response.value().status == 200);
        }
    }

    unsigned runsOnAll(const std::string& key)
    {
        unsigned runs = 0;
        for (const auto& ledger : deployment.ledgers)
            runs += deployment.runsOf(*ledger, key);
        return runs;
    }

    Deployment deployment { { 1, 2 } };
};

} // namespace

TEST_CASE_METHOD(SilentTargetFixture, "Lookup, one connection silent after the request, is answered by the other target")
{
    warmUp();
    const auto runsBefore = deployment.runsOf(*deployment.ledgers[0]);
    deployment.control(*deployment.ledgers[0], { { "hang-requests", 1000 } });
    std::vector<std::future<Result<HttpResponse>>> running;
    running.reserve(requestsAtOnce);
    for (int number = 0; number < requestsAtOnce; ++number)
        running.push_back(deployment.begin(callers(), Deployment::lookup("one-" + std::to_string(number))));
    for (auto& request : running) {
        const auto response = request.get();
        REQUIRE(response);
        CHECK(response.value().status == 200);
    }
    CHECK(deployment.runsOf(*deployment.ledgers[0]) > runsBefore);
}

TEST_CASE_METHOD(SilentTargetFixture, "Invoice, its connection silent after the request, is told as unknown and runs once")
{
    warmUp();
    for (const auto& ledger : deployment.ledgers)
        deployment.control(*ledger, { { "hang-requests", 1 } });
    const auto response = deployment.call(callers(), Deployment::invoice("silent"));
    REQUIRE(response);
    CHECK(response.value().field("Cicadalb-Run-State") == "unknown");
    CHECK(runsOnAll("silent") == 1);
}
