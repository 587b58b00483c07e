#include "RecordWatchFixture.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

TEST_CASE_METHOD(RecordWatchFixture, "record watch, call that never returns, watches again after its time limit")
{
    startWatch();
    disruption = CallDisruption::Endless;
    pass(2s);
    disruption = CallDisruption::None;
    store.put("records/changed", "");
    pass(11s);
    CHECK(hasSeen("records/changed"));
}

TEST_CASE_METHOD(RecordWatchFixture, "record watch, call that throws, watches again")
{
    startWatch();
    disruption = CallDisruption::Throwing;
    pass(2s);
    disruption = CallDisruption::None;
    store.put("records/changed", "");
    pass(3s);
    CHECK(hasSeen("records/changed"));
}

TEST_CASE_METHOD(RecordWatchFixture, "record watch, handler that throws, does not claim to be complete and reads all records until they are applied")
{
    startWatch();
    isHandlerFailing = true;
    store.put("records/changed", "");
    pass(3s);
    CHECK_FALSE(watch->completeAsOf());
    CHECK(store.counts().reads <= 10);
    isHandlerFailing = false;
    pass(1s);
    CHECK(hasSeen("records/changed"));
    CHECK(watch->completeAsOf());
}

TEST_CASE_METHOD(RecordWatchFixture, "record watch, restarted while the store does not answer, is not connected before the next answer")
{
    startWatch();
    disruption = CallDisruption::Silent;
    pass(2400ms);
    REQUIRE_FALSE(watch->isConnected());
    watch->restart();
    pass(step);
    CHECK_FALSE(watch->isConnected());
    disruption = CallDisruption::None;
    pass(3s);
    CHECK(watch->isConnected());
}
