#include "Deployment.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

/// Time after which a target that leaves must receive no new work.
constexpr std::chrono::seconds leavingTime { 3 };
constexpr int requestsPerHost = 20;

struct LeavingFixture {
    Server& leaving() { return *deployment.ledgers[0]; }
    Server& staying() { return *deployment.ledgers[1]; }

    /// Sends requests through every host; each must be answered.
    void sendThroughAllHosts(const std::string& name)
    {
        for (const auto& host : deployment.hosts) {
            for (int number = 0; number < requestsPerHost; ++number) {
                const auto response = deployment.call(*host->callers, Deployment::invoice(name + host->name + std::to_string(number)));
                REQUIRE(response);
                CHECK(response.value().status == 200);
            }
        }
    }

    void checkNoNewWorkAfterLeaving()
    {
        std::this_thread::sleep_for(leavingTime);
        const auto runsBefore = deployment.runsOf(leaving());
        const auto stayingBefore = deployment.runsOf(staying());
        sendThroughAllHosts("after-");
        CHECK(deployment.runsOf(leaving()) == runsBefore);
        CHECK(deployment.runsOf(staying()) == stayingBefore + requestsPerHost * deployment.hosts.size());
    }

    Deployment deployment { { 3, 2 } };
};

} // namespace

TEST_CASE_METHOD(LeavingFixture, "Target, leaving by its own word with the key-value service down, gets no new work on any host")
{
    sendThroughAllHosts("before-");
    CHECK(deployment.runsOf(leaving()) > 0);
    deployment.control(*deployment.keyValue, { { "down", true } });
    deployment.control(leaving(), { { "leaving", true } });
    checkNoNewWorkAfterLeaving();
}

TEST_CASE_METHOD(LeavingFixture, "Target, leaving by the host list with the key-value service down, gets no new work on any host")
{
    deployment.control(*deployment.keyValue, { { "down", true } });
    deployment.control(*deployment.hostList, { { "host", { { "name", "ledger-0" }, { "state", "leaving" } } } });
    checkNoNewWorkAfterLeaving();
}
