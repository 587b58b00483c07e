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
        gate.recordLoopDelay(delay, clock.now());
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

TEST_CASE_METHOD(GateFixture, "placement gate, store away while the event loop is in time, is open")
{
    recordLoopDelay(1ms);
    clock.advance(20s);
    recordLoopDelay(1ms);
    CHECK(permission() == PlacementPermission::Granted);
}

TEST_CASE_METHOD(GateFixture, "placement gate, records complete after a late round, is open however long the store is away")
{
    recordLoopDelay(250ms);
    clock.advance(1ms);
    completeAsOf = clock.now();
    clock.advance(20s);
    recordLoopDelay(1ms);
    CHECK(permission() == PlacementPermission::Granted);
}

TEST_CASE("placement gate, no limit on the time after an end, is always open")
{
    const ManualClock clock;
    PlacementGate gate { Duration::zero() };
    gate.recordLoopDelay(10s, clock.now());
    CHECK(gate.permission(clock.now() - 60s, clock.now()) == PlacementPermission::Granted);
    CHECK(gate.recordInterval() == Duration::zero());
}
