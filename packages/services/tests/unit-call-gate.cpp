#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/GatedKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Eight hosts that each want five calls every 100 ms from one service.
struct OutageFixture {
    static constexpr std::size_t hosts = 8;
    static constexpr std::size_t wantedAtOnce = 5;
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    std::vector<std::unique_ptr<GatedKeyValueService>> gates;
    CallGateSettings settings;

    OutageFixture()
    {
        for (std::size_t i = 0; i < hosts; ++i)
            gates.push_back(std::make_unique<GatedKeyValueService>(service, clock, settings, i));
    }

    void settle()
    {
        context.restart();
        context.poll();
    }

    /// Largest number of calls in one second of @p time.
    std::size_t busiestSecond(std::chrono::seconds time)
    {
        std::size_t busiest = 0;
        for (auto second = 0s; second < time; ++second) {
            const auto before = service.counts().total();
            for (int tenth = 0; tenth < 10; ++tenth)
                tryAll();
            busiest = std::max(busiest, service.counts().total() - before);
        }
        return busiest;
    }

    void tryAll()
    {
        for (auto& gate : gates) {
            for (std::size_t i = 0; i < wantedAtOnce; ++i)
                (void)startTask(context.get_executor(), gate->read("key"));
        }
        settle();
        service.advance(100ms);
        settle();
    }
};

} // namespace

TEST_CASE_METHOD(OutageFixture, "call gate, ten minutes down and ten minutes slow, never calls in a herd")
{
    const std::size_t usual = static_cast<std::size_t>(settings.callsPerSecond) * hosts;
    CHECK(busiestSecond(30s) <= usual + hosts * static_cast<std::size_t>(settings.burst));
    service.faultOf = [](CallKind) { return CallFault::Unavailable; };
    busiestSecond(60s);
    CHECK(busiestSecond(540s) <= hosts);
    service.faultOf = [](CallKind) { return CallFault::None; };
    service.delay = 1900ms;
    CHECK(busiestSecond(16s) <= hosts * settings.maximumOpen);
    CHECK(busiestSecond(584s) <= hosts * settings.maximumOpen);
    service.delay = 0ms;
    CHECK(busiestSecond(30s) <= usual + hosts * static_cast<std::size_t>(settings.burst));
    CHECK(gates.front()->state().isAvailable);
}

TEST_CASE_METHOD(OutageFixture, "call gate, the service back after an outage, is used again within the longest delay and at a rising rate")
{
    service.faultOf = [](CallKind) { return CallFault::Unavailable; };
    busiestSecond(600s);
    service.faultOf = [](CallKind) { return CallFault::None; };
    CHECK(busiestSecond(3s) <= static_cast<std::size_t>(settings.callsPerSecond) * hosts / 2);
    busiestSecond(13s);
    for (const auto& gate : gates)
        CHECK(gate->state().isAvailable);
}

TEST_CASE("backoff, many failures, grow to the maximum and differ between hosts")
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

TEST_CASE("call gate, any order of calls, opens no more than its bound")
{
    CHECK(rc::check("open calls are bounded", [](const std::vector<std::uint8_t>& moves) {
        CallGateSettings settings;
        settings.maximumOpen = 4;
        CallGate gate(settings, 1);
        TimePoint now = ManualClock().now();
        std::size_t open = 0;
        for (const auto move : moves) {
            now += 20ms;
            if (move % 3 == 0 && gate.tryBegin(now))
                ++open;
            RC_ASSERT(open <= settings.maximumOpen);
            if (move % 3 != 0 && open > 0) {
                --open;
                move % 3 == 1 ? gate.succeeded(now) : gate.failed(now);
            }
        }
    }));
}
