#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

struct IdempotencyKeyFixture {
    HttpClient& callerClient(std::size_t host) { return *deployment.hosts[host]->callerClient; }
    StandIn& ledger() { return *deployment.ledgers[0]; }

    static HttpRequest keyedInvoice(const std::string& key)
    {
        auto request = Deployment::invoiceRequest(key);
        request.fields.emplace_back("Idempotency-Key", key);
        return request;
    }

    /// Checks the answer to a repeated request: the first request's answer, or a conflict that says that the request ran or may have run.
    static void checkRepeated(const Result<HttpResponse>& response)
    {
        REQUIRE(response);
        const auto state = response.value().field("Cicadalb-Run-State");
        CAPTURE(response.value().status, state, response.value().body);
        CHECK((response.value().status == 200 || response.value().status == 409));
        CHECK(state != "not-run");
    }

    Deployment deployment { { 2, 1 } };
};

} // namespace

TEST_CASE_METHOD(IdempotencyKeyFixture, "Requests with one idempotency key through two hosts at once run once")
{
    deployment.control(ledger(), { { "service-ms", 20 } });
    for (int number = 0; number < 20; ++number) {
        const auto key = "twice-" + std::to_string(number);
        auto first = deployment.callAsync(callerClient(0), keyedInvoice(key));
        auto second = deployment.callAsync(callerClient(1), keyedInvoice(key));
        const auto firstAnswer = first.get();
        const auto secondAnswer = second.get();
        checkRepeated(firstAnswer);
        checkRepeated(secondAnswer);
        CHECK((firstAnswer.value().status == 200 || secondAnswer.value().status == 200));
        CHECK(deployment.runCount(ledger(), key) == 1);
    }
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Request with an idempotency key does not run again on another host when its host is killed while it runs")
{
    deployment.control(ledger(), { { "hang-requests", 1 } });
    auto first = deployment.callAsync(callerClient(0), keyedInvoice("killed"));
    deployment.waitForRun(ledger(), "killed");
    deployment.hosts[0]->process->signal(SIGKILL);
    CHECK_FALSE(first.get());
    const auto second = deployment.call(callerClient(1), keyedInvoice("killed"));
    checkRepeated(second);
    CHECK(second.value().field("Cicadalb-Run-State") == "unknown");
    CHECK(deployment.runCount(ledger(), "killed") == 1);
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Request with an idempotency key does not run again on another host when its host is killed after the answer")
{
    CHECK(deployment.call(callerClient(0), keyedInvoice("answered")).value().status == 200);
    deployment.hosts[0]->process->signal(SIGKILL);
    checkRepeated(deployment.call(callerClient(1), keyedInvoice("answered")));
    CHECK(deployment.runCount(ledger(), "answered") == 1);
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Request with an idempotency key runs at most once when its host is killed at any moment")
{
    deployment.control(ledger(), { { "service-ms", 10 } });
    const auto delay = GENERATE(0, 2, 5, 10, 20);
    auto first = deployment.callAsync(callerClient(0), keyedInvoice("moment"));
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    deployment.hosts[0]->process->signal(SIGKILL);
    const bool wasAnswered = first.get().has_value();
    const auto second = deployment.call(callerClient(1), keyedInvoice("moment"));
    REQUIRE(second);
    CHECK(deployment.runCount(ledger(), "moment") <= 1);
    CHECK(((second.value().status != 200 && !wasAnswered) || deployment.runCount(ledger(), "moment") == 1));
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Requests with one idempotency key run at most once when answers of the key-value service are lost")
{
    for (int number = 0; number < 10; ++number) {
        const auto key = "lost-" + std::to_string(number);
        deployment.control(*deployment.keyValue, { { "lose-answers", 2 } });
        auto first = deployment.callAsync(callerClient(0), keyedInvoice(key));
        auto second = deployment.callAsync(callerClient(1), keyedInvoice(key));
        const auto firstAnswer = first.get();
        const auto secondAnswer = second.get();
        REQUIRE(firstAnswer);
        REQUIRE(secondAnswer);
        const auto runs = deployment.runCount(ledger(), key);
        CAPTURE(firstAnswer.value().body, secondAnswer.value().body);
        CHECK(runs <= 1);
        if (firstAnswer.value().status == 200 || secondAnswer.value().status == 200)
            CHECK(runs == 1);
    }
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Request with an idempotency key does not run while the key-value service is down and runs once after its return")
{
    deployment.control(*deployment.keyValue, { { "down", true } });
    const auto refused = deployment.call(callerClient(0), keyedInvoice("outage"));
    REQUIRE(refused);
    CHECK(refused.value().field("Cicadalb-Run-State") == "not-run");
    CHECK_FALSE(refused.value().field("Retry-After").empty());
    CHECK(deployment.runCount(ledger(), "outage") == 0);
    deployment.control(*deployment.keyValue, { { "down", false } });
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    auto response = deployment.call(callerClient(1), keyedInvoice("outage"));
    while (response.value().status != 200) {
        REQUIRE(std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        response = deployment.call(callerClient(1), keyedInvoice("outage"));
    }
    CHECK(deployment.runCount(ledger(), "outage") == 1);
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key that is reused with another body is refused on every host")
{
    CHECK(deployment.call(callerClient(0), keyedInvoice("reused")).value().status == 200);
    for (std::size_t host = 0; host < 2; ++host) {
        auto other = keyedInvoice("reused");
        other.body = R"({"amount":1})";
        const auto response = deployment.call(callerClient(host), other);
        REQUIRE(response);
        CHECK(response.value().status == 422);
    }
    CHECK(deployment.runCount(ledger(), "reused") == 1);
}
