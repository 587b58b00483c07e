#include "PlacementGate.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct GateFixture {
    PlacementGate gate { 3s };
    ManualClock clock;
    TimePoint completeAsOf = clock.now();

    PlacementPermission permission() const { return gate.permission(completeAsOf, clock.now()); }
    void recordLoopDelay(Duration delay)
    {
        clock.advance(delay);
        gate.recordLoopDelay(delay);
    }
};

} // namespace

TEST_CASE_METHOD(GateFixture, "placement gate, event loop in time and records complete, is open")
{
    recordLoopDelay(2ms);
    clock.advance(1s);
    CHECK(permission() == PlacementPermission::Granted);
}

TEST_CASE_METHOD(GateFixture, "placement gate, event loop later than a tenth of the time, is closed until a round is in time")
{
    recordLoopDelay(301ms);
    CHECK(permission() == PlacementPermission::LoopIsLate);
    completeAsOf = clock.now();
    recordLoopDelay(5ms);
    CHECK(permission() == PlacementPermission::Granted);
}

TEST_CASE_METHOD(GateFixture, "placement gate, event loop that stood still, is closed until the records are known to be complete again")
{
    recordLoopDelay(2500ms);
    recordLoopDelay(1ms);
    CHECK(permission() == PlacementPermission::RecordsAreLate);
    completeAsOf = clock.now();
    CHECK(permission() == PlacementPermission::Granted);
}

TEST_CASE_METHOD(GateFixture, "placement gate, calls to the store that fail since each of their steps is late, is closed")
{
    for (int step = 0; step < 20; ++step)
        recordLoopDelay(120ms);
    CHECK(permission() == PlacementPermission::RecordsAreLate);
}

TEST_CASE_METHOD(GateFixture, "placement gate, records old while the event loop is in time, is closed until they are complete again")
{
    recordLoopDelay(1ms);
    clock.advance(1799ms);
    CHECK(permission() == PlacementPermission::Granted);
    clock.advance(1ms);
    CHECK(permission() == PlacementPermission::RecordsAreLate);
    clock.advance(20s);
    recordLoopDelay(1ms);
    CHECK(permission() == PlacementPermission::RecordsAreLate);
    completeAsOf = clock.now();
    CHECK(permission() == PlacementPermission::Granted);
}

TEST_CASE_METHOD(GateFixture, "placement gate, records complete after a late round, is open until they are old")
{
    recordLoopDelay(250ms);
    clock.advance(1ms);
    completeAsOf = clock.now();
    recordLoopDelay(1ms);
    CHECK(permission() == PlacementPermission::Granted);
    clock.advance(20s);
    recordLoopDelay(1ms);
    CHECK(permission() == PlacementPermission::RecordsAreLate);
}

TEST_CASE("placement gate, records never complete, is closed")
{
    const ManualClock clock;
    const PlacementGate gate { 3s };
    CHECK(gate.permission(std::nullopt, clock.now()) == PlacementPermission::RecordsAreLate);
}

TEST_CASE("placement gate, no limit on the time after an end, is always open")
{
    const ManualClock clock;
    PlacementGate gate { Duration::zero() };
    gate.recordLoopDelay(10s);
    CHECK(gate.permission(clock.now() - 60s, clock.now()) == PlacementPermission::Granted);
    CHECK(gate.recordInterval() == Duration::zero());
}
