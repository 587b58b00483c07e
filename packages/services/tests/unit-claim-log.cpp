#include "cicadalb/services/ClaimLog.h"
#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// The claim logs of two hosts that share one key-value service.
struct TwoLogsFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    ClaimLog firstLog { context.get_executor(), service, clock, [] { return std::int64_t { 1000 }; }, settingsOf("first") };
    ClaimLog secondLog { context.get_executor(), service, clock, [] { return std::int64_t { 1000 }; }, settingsOf("second") };

    static ClaimLogSettings settingsOf(std::string writer)
    {
        ClaimLogSettings settings;
        settings.writerId = std::move(writer);
        settings.minimumWriteInterval = 0ms;
        settings.claims.statusWriteDelay = 0ms;
        return settings;
    }

    void run()
    {
        context.restart();
        context.run();
    }

    std::vector<Pending<Result<ClaimDecision>>> claimOnBoth(const std::string& key)
    {
        std::vector<Pending<Result<ClaimDecision>>> results;
        results.push_back(startTask(context.get_executor(), firstLog.claim(key, "body")));
        results.push_back(startTask(context.get_executor(), secondLog.claim(key, "body")));
        run();
        return results;
    }
};

std::size_t freshCount(const std::vector<Pending<Result<ClaimDecision>>>& results)
{
    return static_cast<std::size_t>(std::count_if(results.begin(), results.end(),
        [](const auto& result) { return (**result) && (**result).value().kind == ClaimKind::Fresh; }));
}

} // namespace

TEST_CASE_METHOD(TwoLogsFixture, "claim log, two hosts claim one key at the same time, the claim is fresh on exactly one")
{
    CHECK(freshCount(claimOnBoth("key")) == 1);
}

TEST_CASE_METHOD(TwoLogsFixture, "claim log, answers to the first two writes are lost, the claim is still fresh on exactly one host")
{
    int writes = 0;
    service.selectFault = [&](CallKind kind) { return kind == CallKind::Write && ++writes <= 2 ? CallFault::AnswerLost : CallFault::None; };
    CHECK(freshCount(claimOnBoth("key")) == 1);
}

TEST_CASE_METHOD(TwoLogsFixture, "claim log, key-value service is unavailable, claims fail with a retry delay and succeed after recovery")
{
    service.selectFault = [](CallKind) { return CallFault::Unavailable; };
    const auto results = claimOnBoth("key");
    CHECK((**results.front()).error().code == ErrorCode::Unavailable);
    CHECK(firstLog.retryAfter() >= 1s);
    service.selectFault = [](CallKind) { return CallFault::None; };
    CHECK(freshCount(claimOnBoth("key")) == 1);
}

TEST_CASE_METHOD(TwoLogsFixture, "claim log, the status of a claim is recorded, the other host sees the claim with that status")
{
    const auto fresh = startTask(context.get_executor(), firstLog.claim("key", "body"));
    run();
    firstLog.recordStatus("key", 201);
    run();
    const auto known = startTask(context.get_executor(), secondLog.claim("key", "body"));
    run();
    CHECK((**known).value().status == 201U);
}
