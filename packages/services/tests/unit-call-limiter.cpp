#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RateLimitedKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Eight hosts that each try five calls to one service every 100 ms.
struct SharedServiceFixture {
    static constexpr std::size_t hostCount = 8;
    static constexpr std::size_t callsPerRound = 5;
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    std::vector<std::unique_ptr<RateLimitedKeyValueService>> limitedServices;
    CallLimiterSettings settings;

    SharedServiceFixture()
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            limitedServices.push_back(std::make_unique<RateLimitedKeyValueService>(service, clock, settings, i));
    }

    void runReadyHandlers()
    {
        context.restart();
        context.poll();
    }

    /// Runs the hosts for @p time and returns the largest number of calls that the service received in one second.
    std::size_t peakCallsPerSecond(std::chrono::seconds time)
    {
        std::size_t peakCalls = 0;
        for (auto second = 0s; second < time; ++second) {
            const auto before = service.counts().total();
            for (int round = 0; round < 10; ++round)
                runRound();
            peakCalls = std::max(peakCalls, service.counts().total() - before);
        }
        return peakCalls;
    }

    void runRound()
    {
        for (auto& hostService : limitedServices) {
            for (std::size_t i = 0; i < callsPerRound; ++i)
                (void)startTask(context.get_executor(), hostService->read("key"));
        }
        runReadyHandlers();
        service.advance(100ms);
        runReadyHandlers();
    }
};

} // namespace

TEST_CASE_METHOD(SharedServiceFixture, "call limiter, ten minutes of outage and then ten minutes of slow answers, keeps the calls per second within their bounds")
{
    const std::size_t fullRate = static_cast<std::size_t>(settings.callsPerSecond) * hostCount;
    CHECK(peakCallsPerSecond(30s) <= fullRate + hostCount * static_cast<std::size_t>(settings.burst));
    service.selectFault = [](CallKind) { return CallFault::Unavailable; };
    peakCallsPerSecond(60s);
    CHECK(peakCallsPerSecond(540s) <= hostCount);
    service.selectFault = [](CallKind) { return CallFault::None; };
    service.answerDelay = 1900ms;
    CHECK(peakCallsPerSecond(16s) <= hostCount * settings.maximumOpenCalls);
    CHECK(peakCallsPerSecond(584s) <= hostCount * settings.maximumOpenCalls);
    service.answerDelay = 0ms;
    CHECK(peakCallsPerSecond(30s) <= fullRate + hostCount * static_cast<std::size_t>(settings.burst));
    CHECK(limitedServices.front()->state().isAvailable);
}

TEST_CASE_METHOD(SharedServiceFixture, "call limiter, service recovers after an outage, calls resume within the maximum backoff delay and at a rising rate")
{
    service.selectFault = [](CallKind) { return CallFault::Unavailable; };
    peakCallsPerSecond(600s);
    service.selectFault = [](CallKind) { return CallFault::None; };
    CHECK(peakCallsPerSecond(3s) <= static_cast<std::size_t>(settings.callsPerSecond) * hostCount / 2);
    peakCallsPerSecond(13s);
    for (const auto& hostService : limitedServices)
        CHECK(hostService->state().isAvailable);
}

TEST_CASE("backoff, many failures, delays grow to the maximum and differ between hosts")
{
    BackoffPolicy first(BackoffSettings {}, 1);
    BackoffPolicy second(BackoffSettings {}, 2);
    CHECK(first.nextDelay() <= 250ms);
    constexpr int failures = 60;
    for (int i = 0; i < failures; ++i) {
        CHECK(first.nextDelay() <= 15000ms);
        second.nextDelay();
    }
    CHECK(first.nextDelay() >= 7500ms);
    CHECK(first.nextDelay() != second.nextDelay());
}

TEST_CASE("call limiter, any order of calls, keeps the number of open calls within its bound")
{
    CHECK(rc::check("open calls are bounded", [](const std::vector<std::uint8_t>& events) {
        CallLimiterSettings settings;
        settings.maximumOpenCalls = 4;
        CallLimiter hostService(settings, 1);
        TimePoint now = ManualClock().now();
        std::size_t open = 0;
        for (const auto event : events) {
            now += 20ms;
            if (event % 3 == 0 && hostService.tryBegin(now))
                ++open;
            RC_ASSERT(open <= settings.maximumOpenCalls);
            if (event % 3 != 0 && open > 0) {
                --open;
                event % 3 == 1 ? hostService.recordSuccess(now) : hostService.recordFailure(now);
            }
        }
    }));
}
