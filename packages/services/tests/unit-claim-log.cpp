#include "cicadalb/services/ClaimLog.h"
#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Two hosts' claim logs over one service.
struct TwoLogsFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    ClaimLog first { context.get_executor(), service, clock, [] { return std::int64_t { 1000 }; }, settingsOf("first") };
    ClaimLog second { context.get_executor(), service, clock, [] { return std::int64_t { 1000 }; }, settingsOf("second") };

    static ClaimLogSettings settingsOf(std::string writer)
    {
        ClaimLogSettings settings;
        settings.writer = std::move(writer);
        settings.groupInterval = 0ms;
        settings.claims.finishDelay = 0ms;
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
        results.push_back(startTask(context.get_executor(), first.claim(key, "body")));
        results.push_back(startTask(context.get_executor(), second.claim(key, "body")));
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

TEST_CASE_METHOD(TwoLogsFixture, "claim log, one key on two hosts at once, is fresh on one and known on the other")
{
    CHECK(freshCount(claimOnBoth("key")) == 1);
}

TEST_CASE_METHOD(TwoLogsFixture, "claim log, every first answer lost, is still fresh on exactly one host")
{
    int writes = 0;
    service.faultOf = [&](CallKind kind) { return kind == CallKind::Write && ++writes <= 2 ? CallFault::AnswerLost : CallFault::None; };
    CHECK(freshCount(claimOnBoth("key")) == 1);
}

TEST_CASE_METHOD(TwoLogsFixture, "claim log, an outage, refuses as not run with a time to come back")
{
    service.faultOf = [](CallKind) { return CallFault::Unavailable; };
    const auto results = claimOnBoth("key");
    CHECK((**results.front()).error().code == ErrorCode::Unavailable);
    CHECK(first.retryAfter() >= 1s);
    service.faultOf = [](CallKind) { return CallFault::None; };
    CHECK(freshCount(claimOnBoth("key")) == 1);
}

TEST_CASE_METHOD(TwoLogsFixture, "claim log, a finished claim, is known with its status on the other host")
{
    const auto fresh = startTask(context.get_executor(), first.claim("key", "body"));
    run();
    first.finish("key", 201);
    run();
    const auto known = startTask(context.get_executor(), second.claim("key", "body"));
    run();
    CHECK((**known).value().status == 201U);
}
