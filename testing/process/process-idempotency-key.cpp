#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

struct IdempotencyKeyFixture {
    HttpClient& callers(std::size_t host) { return *deployment.hosts[host]->callers; }
    Server& ledger() { return *deployment.ledgers[0]; }

    static HttpRequest keyed(const std::string& key)
    {
        auto request = Deployment::invoice(key);
        request.fields.emplace_back("Idempotency-Key", key);
        return request;
    }

    /// A repeated request is answered with the first one's answer, or told that it ran or may have run.
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

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key, the same through two hosts at once, runs once")
{
    deployment.control(ledger(), { { "service-ms", 20 } });
    for (int number = 0; number < 20; ++number) {
        const auto key = "twice-" + std::to_string(number);
        auto first = deployment.begin(callers(0), keyed(key));
        auto second = deployment.begin(callers(1), keyed(key));
        const auto firstAnswer = first.get();
        const auto secondAnswer = second.get();
        checkRepeated(firstAnswer);
        checkRepeated(secondAnswer);
        CHECK((firstAnswer.value().status == 200 || secondAnswer.value().status == 200));
        CHECK(deployment.runsOf(ledger(), key) == 1);
    }
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key, first host killed while the request runs, the second does not run it again")
{
    deployment.control(ledger(), { { "hang-requests", 1 } });
    auto first = deployment.begin(callers(0), keyed("killed"));
    deployment.waitForRun(ledger(), "killed");
    deployment.hosts[0]->process->signal(SIGKILL);
    CHECK_FALSE(first.get());
    const auto second = deployment.call(callers(1), keyed("killed"));
    checkRepeated(second);
    CHECK(second.value().field("Cicadalb-Run-State") == "unknown");
    CHECK(deployment.runsOf(ledger(), "killed") == 1);
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key, first host killed after the answer, the second does not run it again")
{
    CHECK(deployment.call(callers(0), keyed("answered")).value().status == 200);
    deployment.hosts[0]->process->signal(SIGKILL);
    checkRepeated(deployment.call(callers(1), keyed("answered")));
    CHECK(deployment.runsOf(ledger(), "answered") == 1);
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key, first host killed at any moment, the request runs at most once")
{
    deployment.control(ledger(), { { "service-ms", 10 } });
    const auto delay = GENERATE(0, 2, 5, 10, 20);
    auto first = deployment.begin(callers(0), keyed("moment"));
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    deployment.hosts[0]->process->signal(SIGKILL);
    const bool wasAnswered = first.get().has_value();
    const auto second = deployment.call(callers(1), keyed("moment"));
    REQUIRE(second);
    CHECK(deployment.runsOf(ledger(), "moment") <= 1);
    CHECK(((second.value().status != 200 && !wasAnswered) || deployment.runsOf(ledger(), "moment") == 1));
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key, answers of the key-value service are lost, each request runs at most once")
{
    for (int number = 0; number < 10; ++number) {
        const auto key = "lost-" + std::to_string(number);
        deployment.control(*deployment.keyValue, { { "lose-answers", 2 } });
        auto first = deployment.begin(callers(0), keyed(key));
        auto second = deployment.begin(callers(1), keyed(key));
        const auto firstAnswer = first.get();
        const auto secondAnswer = second.get();
        REQUIRE(firstAnswer);
        REQUIRE(secondAnswer);
        const auto runs = deployment.runsOf(ledger(), key);
        CAPTURE(firstAnswer.value().body, secondAnswer.value().body);
        CHECK(runs <= 1);
        if (firstAnswer.value().status == 200 || secondAnswer.value().status == 200)
            CHECK(runs == 1);
    }
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key, key-value service is down and back, the request is not run and later runs once")
{
    deployment.control(*deployment.keyValue, { { "down", true } });
    const auto refused = deployment.call(callers(0), keyed("outage"));
    REQUIRE(refused);
    CHECK(refused.value().field("Cicadalb-Run-State") == "not-run");
    CHECK_FALSE(refused.value().field("Retry-After").empty());
    CHECK(deployment.runsOf(ledger(), "outage") == 0);
    deployment.control(*deployment.keyValue, { { "down", false } });
    const auto end = std::chrono::steady_clock::now() + patience;
    auto response = deployment.call(callers(1), keyed("outage"));
    while (response.value().status != 200) {
        REQUIRE(std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        response = deployment.call(callers(1), keyed("outage"));
    }
    CHECK(deployment.runsOf(ledger(), "outage") == 1);
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "Idempotency key, another body, is refused on every host")
{
    CHECK(deployment.call(callers(0), keyed("reused")).value().status == 200);
    for (std::size_t host = 0; host < 2; ++host) {
        auto other = keyed("reused");
        other.body = R"({"amount":1})";
        const auto response = deployment.call(callers(host), other);
        REQUIRE(response);
        CHECK(response.value().status == 422);
    }
    CHECK(deployment.runsOf(ledger(), "reused") == 1);
}
