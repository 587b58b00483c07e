#include "Deployment.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

/// Time after which a leaving target must not receive new work.
constexpr std::chrono::seconds leavingDelay { 3 };
constexpr int requestsPerHost = 20;

struct LeavingFixture {
    StandIn& leavingLedger() { return *deployment.ledgers[0]; }
    StandIn& otherLedger() { return *deployment.ledgers[1]; }

    /// Sends requests through every host and checks that each is answered.
    void sendThroughAllHosts(const std::string& keyPrefix)
    {
        for (const auto& host : deployment.hosts) {
            for (int number = 0; number < requestsPerHost; ++number) {
                const auto response = deployment.call(*host->callerClient, Deployment::invoiceRequest(keyPrefix + host->name + std::to_string(number)));
                REQUIRE(response);
                CHECK(response.value().status == 200);
            }
        }
    }

    void checkNoNewWorkAfterLeaving()
    {
        std::this_thread::sleep_for(leavingDelay);
        const auto leavingRunsBefore = deployment.runCount(leavingLedger());
        const auto otherRunsBefore = deployment.runCount(otherLedger());
        sendThroughAllHosts("after-");
        CHECK(deployment.runCount(leavingLedger()) == leavingRunsBefore);
        CHECK(deployment.runCount(otherLedger()) == otherRunsBefore + requestsPerHost * deployment.hosts.size());
    }

    Deployment deployment { { 3, 2 } };
};

} // namespace

TEST_CASE_METHOD(LeavingFixture, "Target that reports that it is leaving gets no new work on any host while the key-value service is down")
{
    sendThroughAllHosts("before-");
    CHECK(deployment.runCount(leavingLedger()) > 0);
    deployment.control(*deployment.keyValue, { { "down", true } });
    deployment.control(leavingLedger(), { { "leaving", true } });
    checkNoNewWorkAfterLeaving();
}

TEST_CASE_METHOD(LeavingFixture, "Target that is leaving in the host list gets no new work on any host while the key-value service is down")
{
    deployment.control(*deployment.keyValue, { { "down", true } });
    deployment.control(*deployment.hostList, { { "host", { { "name", "ledger-0" }, { "state", "leaving" } } } });
    checkNoNewWorkAfterLeaving();
}
