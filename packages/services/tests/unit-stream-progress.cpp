#include "cicadalb/services/StreamProgress.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct StreamProgressFixture {
    ManualClock clock;
    StreamProgress progress { 5s };
    bool receive(std::size_t bytes, bool hasEvent) { return progress.onPart(bytes, hasEvent, clock.now()); }
};

} // namespace

TEST_CASE_METHOD(StreamProgressFixture, "stream progress, bytes without an event and without end, stops at the limit")
{
    CHECK(receive(StreamProgress::maximumBytesPerEvent, false));
    CHECK_FALSE(receive(1, false));
}

TEST_CASE_METHOD(StreamProgressFixture, "stream progress, few bytes without an event for too long, stops")
{
    CHECK(receive(1, false));
    clock.advance(5s);
    CHECK(receive(1, false));
    clock.advance(1ms);
    CHECK_FALSE(receive(1, false));
}

TEST_CASE_METHOD(StreamProgressFixture, "stream progress, events within the limits, goes on for any length")
{
    for (int event = 0; event < 100; ++event) {
        clock.advance(4s);
        CHECK(receive(StreamProgress::maximumBytesPerEvent, false));
        CHECK(receive(100, true));
    }
}
