#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

struct RunStateFixture {
    HttpClient& callerClient() { return *deployment.hosts[0]->callerClient; }
    StandIn& ledger() { return *deployment.ledgers[0]; }

    /// Checks that the run state in the answer agrees with the number of runs.
    void checkRunState(const Result<HttpResponse>& response, const std::string& key)
    {
        REQUIRE(response);
        const auto state = response.value().field("Cicadalb-Run-State");
        const auto runs = deployment.runCount(ledger(), key);
        CAPTURE(key, state, runs, response.value().status, response.value().body);
        CHECK(runs <= 1);
        if (state == "not-run")
            CHECK(runs == 0);
        if (state == "answered")
            CHECK(runs == 1);
        if (response.value().status == 200) {
            const auto body = nlohmann::json::parse(response.value().body, nullptr, false);
            REQUIRE(body.is_object());
            CHECK(body.at("key") == key);
        }
    }

    Deployment deployment { { 1, 1 } };
};

} // namespace

TEST_CASE_METHOD(RunStateFixture, "Invoice runs at most once and is answered with the known run state when its target fails at any point")
{
    struct Case {
        const char* fault;
        const char* state;
        /// Number of requests that meet the fault in a row; a request that did not run may be retried.
        unsigned count;
    };
    const auto broken = GENERATE(values<Case>({
        { "close-before-reading", "unknown", 1 },
        { "close-after-reading", "unknown", 1 },
        { "close-after-running", "unknown", 1 },
        { "half-answers", "unknown", 1 },
        { "errors", "answered", 1 },
        { "refuse", "not-run", 100 },
    }));
    const std::string key = std::string("key-") + broken.fault;
    deployment.control(ledger(), { { broken.fault, broken.count } });
    const auto response = deployment.call(callerClient(), Deployment::invoiceRequest(key));
    checkRunState(response, key);
    // If the target closed the connection while it was idle, the host may know that the request was not sent.
    const auto state = response.value().field("Cicadalb-Run-State");
    CAPTURE(key, state);
    CHECK((state == broken.state || (state == "not-run" && deployment.runCount(ledger(), key) == 0)));
    deployment.control(ledger(), { { broken.fault, 0 } });
    const auto next = deployment.call(callerClient(), Deployment::invoiceRequest("next-" + key));
    checkRunState(next, "next-" + key);
    CHECK(next.value().status == 200);
}

TEST_CASE_METHOD(RunStateFixture, "Invoice answer that is longer than its declared length does not get into later answers")
{
    deployment.control(ledger(), { { "wrong-lengths", 1 } });
    const auto broken = deployment.call(callerClient(), Deployment::invoiceRequest("broken"));
    REQUIRE(broken);
    CHECK(deployment.runCount(ledger(), "broken") <= 1);
    for (int number = 0; number < 5; ++number) {
        const auto key = "after-" + std::to_string(number);
        const auto response = deployment.call(callerClient(), Deployment::invoiceRequest(key));
        checkRunState(response, key);
    }
}

TEST_CASE_METHOD(RunStateFixture, "Invoice has run state unknown when its target is killed while it runs")
{
    deployment.control(ledger(), { { "hang-requests", 1 } });
    auto response = deployment.callAsync(callerClient(), Deployment::invoiceRequest("killed"));
    deployment.waitForRun(ledger(), "killed");
    ledger().process->signal(SIGKILL);
    const auto result = response.get();
    REQUIRE(result);
    CHECK(result.value().field("Cicadalb-Run-State") == "unknown");
    CHECK(result.value().field("Content-Type") == "application/problem+json");
}

TEST_CASE_METHOD(RunStateFixture, "Invoice has run state unknown when its frozen target is killed before it reads, and the next invoice has run state not-run")
{
    ledger().process->signal(SIGSTOP);
    auto response = deployment.callAsync(callerClient(), Deployment::invoiceRequest("unread"));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    ledger().process->signal(SIGKILL);
    const auto result = response.get();
    REQUIRE(result);
    CHECK(result.value().field("Cicadalb-Run-State") == "unknown");
    ledger().process->wait();
    const auto next = deployment.call(callerClient(), Deployment::invoiceRequest("refused"));
    REQUIRE(next);
    CHECK(next.value().field("Cicadalb-Run-State") == "not-run");
    CHECK_FALSE(next.value().field("Retry-After").empty());
}

TEST_CASE_METHOD(RunStateFixture, "Invoice runs at most once and gets no other answer when its target is frozen past the deadline and continued")
{
    ledger().process->signal(SIGSTOP);
    const auto late = deployment.call(callerClient(), Deployment::invoiceRequest("late"));
    ledger().process->signal(SIGCONT);
    REQUIRE(late);
    CHECK(late.value().field("Cicadalb-Run-State") == "unknown");
    deployment.waitForRun(ledger(), "late");
    const auto next = deployment.call(callerClient(), Deployment::invoiceRequest("next"));
    checkRunState(next, "next");
    CHECK(next.value().status == 200);
    CHECK(deployment.runCount(ledger(), "late") == 1);
}

TEST_CASE("Lookup is answered by the other target when one of two fails")
{
    Deployment deployment { { 1, 2 } };
    const auto fault = GENERATE("close-before-reading", "close-after-reading", "close-after-running", "half-answers", "refuse");
    for (auto& ledger : deployment.ledgers)
        deployment.control(*ledger, { { fault, 0 } });
    deployment.control(*deployment.ledgers[0], { { fault, 1 } });
    for (int number = 0; number < 8; ++number) {
        const auto response = deployment.call(*deployment.hosts[0]->callerClient, Deployment::lookupRequest("lookup-" + std::to_string(number)));
        REQUIRE(response);
        CAPTURE(fault, number, response.value().body);
        CHECK(response.value().status == 200);
    }
}

TEST_CASE("Invoice runs once and gets no complete answer when its host is killed while it runs, and another host serves the next invoice")
{
    Deployment deployment { { 2, 1 } };
    auto& ledger = *deployment.ledgers[0];
    deployment.control(ledger, { { "hang-requests", 1 } });
    auto response = deployment.callAsync(*deployment.hosts[0]->callerClient, Deployment::invoiceRequest("killed-host"));
    deployment.waitForRun(ledger, "killed-host");
    deployment.hosts[0]->process->signal(SIGKILL);
    CHECK_FALSE(response.get());
    const auto next = deployment.call(*deployment.hosts[1]->callerClient, Deployment::invoiceRequest("other-host"));
    REQUIRE(next);
    CHECK(next.value().status == 200);
    CHECK(deployment.runCount(ledger, "killed-host") == 1);
}

TEST_CASE("Invoice runs once and is answered when its host is frozen while it runs and then continued")
{
    Deployment deployment { { 1, 1 } };
    auto& ledger = *deployment.ledgers[0];
    deployment.control(ledger, { { "hang-requests", 1 } });
    auto response = deployment.callAsync(*deployment.hosts[0]->callerClient, Deployment::invoiceRequest("frozen-host"));
    deployment.waitForRun(ledger, "frozen-host");
    deployment.hosts[0]->process->signal(SIGSTOP);
    deployment.control(ledger, { { "hang-requests", 0 } });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    deployment.hosts[0]->process->signal(SIGCONT);
    const auto result = response.get();
    REQUIRE(result);
    CHECK(result.value().status == 200);
    CHECK(deployment.runCount(ledger, "frozen-host") == 1);
}

TEST_CASE_METHOD(RunStateFixture, "Invoice that names another caller in its header reaches the target with the authenticated name and without the token")
{
    auto request = Deployment::invoiceRequest("spoofed");
    request.fields.emplace_back("Cicadalb-Caller", "reconciliation");
    const auto response = deployment.call(callerClient(), request);
    REQUIRE(response);
    const auto answer = nlohmann::json::parse(response.value().body, nullptr, false);
    REQUIRE(answer.is_object());
    CHECK(answer.at("caller") == "clerks");
    CHECK(answer.at("token").get<std::string>().empty());
}
