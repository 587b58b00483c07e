#include "cicadalb/base/ClockTimer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <optional>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct ClockTimerFixture {
    boost::asio::io_context context;
    ManualClock clock;
    ClockTimer timer { context.get_executor(), clock };
    std::optional<bool> hasExpired;

    static Task<void> wait(ClockTimer& waiting, Duration duration, std::optional<bool>& result) { result = co_await waiting.waitFor(duration); }

    void startWait(Duration duration)
    {
        boost::asio::co_spawn(context, wait(timer, duration, hasExpired), boost::asio::detached);
        runPendingWork();
    }

    void runPendingWork()
    {
        context.restart();
        context.poll();
    }
};

} // namespace

TEST_CASE_METHOD(ClockTimerFixture, "clock timer, manual clock advanced to the expiry, ends the wait as expired")
{
    startWait(2s);
    clock.advance(1999ms);
    runPendingWork();
    CHECK_FALSE(hasExpired);
    clock.advance(1ms);
    runPendingWork();
    CHECK(hasExpired == true);
}

TEST_CASE_METHOD(ClockTimerFixture, "clock timer, cancelled, ends the wait as not expired")
{
    startWait(2s);
    timer.cancel();
    runPendingWork();
    CHECK(hasExpired == false);
}

TEST_CASE("clock timer, running clock, expires by itself")
{
    boost::asio::io_context context;
    const SteadyClock clock;
    ClockTimer timer(context.get_executor(), clock);
    std::optional<bool> hasExpired;
    boost::asio::co_spawn(context, ClockTimerFixture::wait(timer, 20ms, hasExpired), boost::asio::detached);
    context.run();
    CHECK(hasExpired == true);
}
