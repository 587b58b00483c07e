#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

struct RunStateFixture {
    HttpClient& callers() { return *deployment.hosts[0]->callers; }
    Server& ledger() { return *deployment.ledgers[0]; }

    /// What the caller was told must agree with what ran.
    void checkAgreement(const Result<HttpResponse>& response, const std::string& key)
    {
        REQUIRE(response);
        const auto state = response.value().field("Cicadalb-Run-State");
        const auto runs = deployment.runsOf(ledger(), key);
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

TEST_CASE_METHOD(RunStateFixture, "Invoice, target breaks off at any point, the caller is told what is known and it runs at most once")
{
    struct Case {
        const char* fault;
        const char* state;
        /// So many requests in a row; one that is known not to have run may be sent again.
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
    const auto response = deployment.call(callers(), Deployment::invoice(key));
    checkAgreement(response, key);
    // A connection that the target closed while it was idle may be known not to have carried anything.
    const auto state = response.value().field("Cicadalb-Run-State");
    CAPTURE(key, state);
    CHECK((state == broken.state || (state == "not-run" && deployment.runsOf(ledger(), key) == 0)));
    deployment.control(ledger(), { { broken.fault, 0 } });
    const auto next = deployment.call(callers(), Deployment::invoice("next-" + key));
    checkAgreement(next, "next-" + key);
    CHECK(next.value().status == 200);
}

TEST_CASE_METHOD(RunStateFixture, "Invoice, answer longer than it says, later answers are not mixed with its rest")
{
    deployment.control(ledger(), { { "wrong-lengths", 1 } });
    const auto broken = deployment.call(callers(), Deployment::invoice("broken"));
    REQUIRE(broken);
    CHECK(deployment.runsOf(ledger(), "broken") <= 1);
    for (int number = 0; number < 5; ++number) {
        const auto key = "after-" + std::to_string(number);
        const auto response = deployment.call(callers(), Deployment::invoice(key));
        checkAgreement(response, key);
    }
}

TEST_CASE_METHOD(RunStateFixture, "Invoice, target killed while it runs, is told as unknown")
{
    deployment.control(ledger(), { { "hang-requests", 1 } });
    auto response = deployment.begin(callers(), Deployment::invoice("killed"));
    deployment.waitForRun(ledger(), "killed");
    ledger().process->signal(SIGKILL);
    const auto result = response.get();
    REQUIRE(result);
    CHECK(result.value().field("Cicadalb-Run-State") == "unknown");
    CHECK(result.value().field("Content-Type") == "application/problem+json");
}

TEST_CASE_METHOD(RunStateFixture, "Invoice, target frozen and killed before it reads, is told as unknown, and the next one as not run")
{
    ledger().process->signal(SIGSTOP);
    auto response = deployment.begin(callers(), Deployment::invoice("unread"));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    ledger().process->signal(SIGKILL);
    const auto result = response.get();
    REQUIRE(result);
    CHECK(result.value().field("Cicadalb-Run-State") == "unknown");
    ledger().process->wait();
    const auto next = deployment.call(callers(), Deployment::invoice("refused"));
    REQUIRE(next);
    CHECK(next.value().field("Cicadalb-Run-State") == "not-run");
    CHECK_FALSE(next.value().field("Retry-After").empty());
}

TEST_CASE_METHOD(RunStateFixture, "Invoice, target frozen past the deadline and continued, it runs at most once and no answer is mixed up")
{
    ledger().process->signal(SIGSTOP);
    const auto late = deployment.call(callers(), Deployment::invoice("late"));
    ledger().process->signal(SIGCONT);
    REQUIRE(late);
    CHECK(late.value().field("Cicadalb-Run-State") == "unknown");
    deployment.waitForRun(ledger(), "late");
    const auto next = deployment.call(callers(), Deployment::invoice("next"));
    checkAgreement(next, "next");
    CHECK(next.value().status == 200);
    CHECK(deployment.runsOf(ledger(), "late") == 1);
}

TEST_CASE("Lookup, one of two targets breaks off, is answered by another")
{
    Deployment deployment { { 1, 2 } };
    const auto fault = GENERATE("close-before-reading", "close-after-reading", "close-after-running", "half-answers", "refuse");
    for (auto& ledger : deployment.ledgers)
        deployment.control(*ledger, { { fault, 0 } });
    deployment.control(*deployment.ledgers[0], { { fault, 1 } });
    for (int number = 0; number < 8; ++number) {
        const auto response = deployment.call(*deployment.hosts[0]->callers, Deployment::lookup("lookup-" + std::to_string(number)));
        REQUIRE(response);
        CAPTURE(fault, number, response.value().body);
        CHECK(response.value().status == 200);
    }
}

TEST_CASE("Invoice, entry host killed while it runs, the caller sees no whole answer, it runs once and another host serves")
{
    Deployment deployment { { 2, 1 } };
    auto& ledger = *deployment.ledgers[0];
    deployment.control(ledger, { { "hang-requests", 1 } });
    auto response = deployment.begin(*deployment.hosts[0]->callers, Deployment::invoice("killed-host"));
    deployment.waitForRun(ledger, "killed-host");
    deployment.hosts[0]->process->signal(SIGKILL);
    CHECK_FALSE(response.get());
    const auto next = deployment.call(*deployment.hosts[1]->callers, Deployment::invoice("other-host"));
    REQUIRE(next);
    CHECK(next.value().status == 200);
    CHECK(deployment.runsOf(ledger, "killed-host") == 1);
}

TEST_CASE("Invoice, entry host frozen while it runs and continued, the caller gets the answer and it runs once")
{
    Deployment deployment { { 1, 1 } };
    auto& ledger = *deployment.ledgers[0];
    deployment.control(ledger, { { "hang-requests", 1 } });
    auto response = deployment.begin(*deployment.hosts[0]->callers, Deployment::invoice("frozen-host"));
    deployment.waitForRun(ledger, "frozen-host");
    deployment.hosts[0]->process->signal(SIGSTOP);
    deployment.control(ledger, { { "hang-requests", 0 } });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    deployment.hosts[0]->process->signal(SIGCONT);
    const auto result = response.get();
    REQUIRE(result);
    CHECK(result.value().status == 200);
    CHECK(deployment.runsOf(ledger, "frozen-host") == 1);
}

TEST_CASE_METHOD(RunStateFixture, "Invoice, naming another caller in its header, reaches the target with the true name and without its token")
{
    auto request = Deployment::invoice("spoofed");
    request.fields.emplace_back("Cicadalb-Caller", "reconciliation");
    const auto response = deployment.call(callers(), request);
    REQUIRE(response);
    const auto answer = nlohmann::json::parse(response.value().body, nullptr, false);
    REQUIRE(answer.is_object());
    CHECK(answer.at("caller") == "clerks");
    CHECK(answer.at("token").get<std::string>().empty());
}
