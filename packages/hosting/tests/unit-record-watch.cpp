#include "RecordWatchFixture.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Time for which the store's watches may hear nothing before its history is dropped and they are cut.
constexpr auto silence = 1000ms;

struct SilentWatchFixture : RecordWatchFixture {
    /// Lets the watches hear nothing for a second, in which a record changes, and then drops the history and cuts them.
    void changeInSilence(std::chrono::milliseconds changeAfter)
    {
        disruption = CallDisruption::DeafAhead;
        pass(changeAfter);
        store.put("records/changed", "");
        pass(silence - changeAfter);
        store.forgetHistory();
        disruption = CallDisruption::None;
    }
};

} // namespace

TEST_CASE_METHOD(SilentWatchFixture, "record watch, change while watches hear nothing and no change before the history is dropped, reports the change")
{
    const auto silentFrom = GENERATE(range(0, 1000, 100));
    const auto changeAfter = GENERATE(range(0, 1000, 100));
    store.put("records/first", "");
    startWatch();
    pass(3s + silentFrom * 1ms);
    changeInSilence(changeAfter * 1ms);
    pass(500ms);
    CHECK(hasSeen("records/changed"));
}

TEST_CASE_METHOD(SilentWatchFixture, "record watch, watches that hear nothing twice in a row, reports the changes of both")
{
    const auto silentFrom = GENERATE(range(0, 1000, 100));
    startWatch();
    pass(3s + silentFrom * 1ms);
    changeInSilence(0ms);
    pass(step);
    disruption = CallDisruption::DeafAhead;
    store.put("records/second", "");
    pass(silence);
    store.forgetHistory();
    disruption = CallDisruption::None;
    pass(500ms);
    CHECK(hasSeen("records/changed"));
    CHECK(hasSeen("records/second"));
}

TEST_CASE_METHOD(SilentWatchFixture, "record watch, change that an answer passed over, reports it once a watch hears it")
{
    startWatch();
    pass(2500ms);
    disruption = CallDisruption::DeafAhead;
    store.put("records/changed", "");
    pass(silence);
    disruption = CallDisruption::None;
    pass(500ms);
    CHECK(hasSeen("records/changed"));
}

TEST_CASE_METHOD(SilentWatchFixture, "record watch, change while watches hear nothing, claims to be complete for at most the silent second")
{
    const auto silentFrom = GENERATE(range(0, 1000, 100));
    startWatch();
    pass(3s + silentFrom * 1ms);
    disruption = CallDisruption::DeafAhead;
    const auto changedAt = clock.now();
    store.put("records/changed", "");
    pass(silence);
    store.forgetHistory();
    disruption = CallDisruption::None;
    while (!hasSeen("records/changed") && clock.now() < changedAt + 5s) {
        CHECK(*watch->completeAsOf() <= changedAt + silence);
        pass(step);
    }
    CHECK(hasSeen("records/changed"));
}

TEST_CASE_METHOD(SilentWatchFixture, "record watch, change while calls fail and watches that hear nothing afterwards, does not claim to be complete")
{
    const auto silentFor = GENERATE(range(1000, 2500, 100));
    startWatch();
    pass(3s);
    disruption = CallDisruption::Silent;
    pass(500ms);
    store.put("records/changed", "");
    const auto changedAt = clock.now();
    pass(silentFor * 1ms);
    disruption = CallDisruption::DeafAhead;
    for (Duration passed {}; passed < silence - step; passed += step) {
        pass(step);
        CHECK(*watch->completeAsOf() <= changedAt);
    }
    store.forgetHistory();
    disruption = CallDisruption::None;
    pass(3s);
    CHECK(hasSeen("records/changed"));
    CHECK(*watch->completeAsOf() > changedAt);
}

TEST_CASE_METHOD(SilentWatchFixture, "record watch, quiet prefix after calls that failed, is known to be complete again and makes no more calls than before")
{
    const auto silentFor = GENERATE(range(1000, 2500, 100));
    startWatch();
    pass(3s);
    disruption = CallDisruption::Silent;
    pass(silentFor * 1ms);
    disruption = CallDisruption::None;
    pass(5s);
    const auto watches = store.counts().watches;
    for (Duration passed {}; passed < 10s; passed += step) {
        pass(step);
        CHECK(clock.now() - *watch->completeAsOf() <= 1100ms);
    }
    CHECK(store.counts().watches - watches <= 11);
}

TEST_CASE_METHOD(SilentWatchFixture, "record watch, no change of its records while others change for longer than the history lasts, reads all records once")
{
    const auto maximumWait = GENERATE(1000ms, 4000ms);
    constexpr auto historyTime = 20;
    startWatch(maximumWait);
    std::vector<Revision> written;
    for (auto second = 0; second < 60; ++second) {
        written.push_back(store.put("others/key", ""));
        if (second >= historyTime)
            store.forgetHistory(written[static_cast<std::size_t>(second - historyTime)]);
        pass(1s);
    }
    CHECK(store.counts().reads == 1);
    CHECK(store.counts().watches <= static_cast<std::size_t>(60s / maximumWait + 2));
}
