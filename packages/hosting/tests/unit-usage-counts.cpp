#include "UsageDelivery.h"
#include "UsageLedger.h"

#include "cicadalb/base/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const OrganisationName cedar("cedar");
const OrganisationName birch("birch");
constexpr UsageWindow firstWindow = 1000;

/// A host's counter and delivery, and the ledgers of three candidates, of which the test selects the coordinator.
struct UsageCountsFixture {
    static constexpr std::size_t candidateCount = 3;

    UsageWindows windows { 5s };
    WallTime wallTime = windows.beginOf(firstWindow);
    ManualClock clock;
    UsageCounter counter { windows, [this] { return wallTime; } };
    UsageDelivery delivery { counter, { HostId("edge-1"), 7, candidateCount, 1, 3s } };
    std::unique_ptr<UsageLedger> ledger = std::make_unique<UsageLedger>(windows);
    std::optional<std::size_t> coordinator = 0;
    Incarnation collection = 1;
    bool isReporting = true;
    unsigned messages = 0;

    void advance(std::chrono::milliseconds time)
    {
        wallTime += time;
        clock.advance(time);
    }

    UsageReply answer(std::size_t candidate, const UsageMessage& message)
    {
        if (candidate != coordinator)
            return { isReporting, false, 0, 0, 0ms };
        ledger->apply(message, wallTime);
        return { true, true, collection, ledger->closedUpTo(), ledger->interval() };
    }

    /// Makes the calls that are due.
    void deliver()
    {
        while (const auto call = delivery.nextCall(clock.now())) {
            ++messages;
            delivery.onReply(*call, answer(call->candidate, call->message), clock.now());
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += 25ms) {
            deliver();
            advance(25ms);
        }
    }
};

} // namespace

TEST_CASE_METHOD(UsageCountsFixture, "usage counter, requests of two organisations, counts each in the window in which it is sent")
{
    (void)counter.begin(cedar);
    (void)counter.begin(cedar);
    advance(4999ms);
    (void)counter.begin(birch);
    advance(1ms);
    (void)counter.begin(birch);
    const auto counts = counter.changedAfter(0);
    CHECK(counts.at(firstWindow) == UsageCounts { { cedar, 2 }, { birch, 1 } });
    CHECK(counts.at(firstWindow + 1) == UsageCounts { { birch, 1 } });
}

TEST_CASE_METHOD(UsageCountsFixture, "usage counter, request without an organisation, counts nothing")
{
    CHECK_FALSE(counter.begin(OrganisationName()));
    CHECK_FALSE(counter.oldestWindow());
}

TEST_CASE_METHOD(UsageCountsFixture, "usage counter, attempt that its target did not run, is withdrawn from the window in which it was sent")
{
    const auto mark = counter.begin(cedar);
    advance(5s);
    counter.withdraw(*mark);
    CHECK(counter.changedAfter(0).at(firstWindow) == UsageCounts { { cedar, 0 } });
}

TEST_CASE_METHOD(UsageCountsFixture, "usage counter, attempt that began after the end of the window, moves to the next one")
{
    advance(4990ms);
    auto mark = *counter.begin(cedar);
    counter.correct(mark, wallTime + 20ms);
    CHECK(counter.changedAfter(0).at(firstWindow) == UsageCounts { { cedar, 0 } });
    CHECK(counter.changedAfter(0).at(firstWindow + 1) == UsageCounts { { cedar, 1 } });
}

TEST_CASE_METHOD(UsageCountsFixture, "usage counter, change of a window that is closed, has no effect")
{
    const auto mark = counter.begin(cedar);
    counter.dropUpTo(firstWindow);
    counter.withdraw(*mark);
    (void)counter.begin(cedar);
    CHECK_FALSE(counter.oldestWindow());
}

TEST_CASE_METHOD(UsageCountsFixture, "usage counter, nobody collects for long, keeps a bounded number of windows")
{
    for (std::size_t window = 0; window < 3 * UsageCounter::maximumWindows; ++window) {
        (void)counter.begin(cedar);
        advance(5s);
    }
    CHECK(counter.changedAfter(0).size() <= UsageCounter::maximumWindows);
}

TEST_CASE_METHOD(UsageCountsFixture, "usage delivery, first request of a host, reaches the coordinator at once")
{
    deliver();
    CHECK(messages == 0);
    (void)counter.begin(cedar);
    deliver();
    CHECK(ledger->total(firstWindow) == UsageCounts { { cedar, 1 } });
    // The second and third candidate, then the coordinator, first with a question and then with the counts.
    CHECK(messages <= candidateCount + 1);
}

TEST_CASE_METHOD(UsageCountsFixture, "usage delivery, new coordinator, receives all that its predecessor had before the report is fixed")
{
    (void)counter.begin(cedar);
    run(4s);
    coordinator = 2;
    collection = 2;
    ledger = std::make_unique<UsageLedger>(windows);
    run(1s + UsageDelivery::confirmationDelay + UsageDelivery::questionInterval);
    CHECK(ledger->total(firstWindow) == UsageCounts { { cedar, 1 } });
}

TEST_CASE_METHOD(UsageCountsFixture, "usage delivery, window closed, asks no more")
{
    (void)counter.begin(cedar);
    run(8s);
    ledger->closeUpTo(firstWindow);
    run(3s);
    messages = 0;
    run(60s);
    CHECK(messages == 0);
    CHECK(delivery.isDelivered());
}

TEST_CASE_METHOD(UsageCountsFixture, "usage delivery, site that reports no usage, asks rarely")
{
    coordinator.reset();
    isReporting = false;
    for (unsigned second = 0; second < 60; ++second) {
        (void)counter.begin(cedar);
        run(1s);
    }
    CHECK(messages <= 3);
}

TEST_CASE_METHOD(UsageCountsFixture, "usage delivery, nobody coordinates, asks each candidate at most once a second")
{
    coordinator.reset();
    for (unsigned second = 0; second < 10; ++second) {
        (void)counter.begin(cedar);
        run(1s);
    }
    CHECK(messages <= 11 * candidateCount);
}

TEST_CASE_METHOD(UsageCountsFixture, "usage ledger, late and repeated messages, keeps the newest counts of each process")
{
    const UsageMessage older { HostId("edge-1"), 7, 3, { { firstWindow, { { cedar, 2 } } } } };
    const UsageMessage newer { HostId("edge-1"), 7, 4, { { firstWindow, { { cedar, 1 }, { birch, 0 } } } } };
    const UsageMessage restarted { HostId("edge-1"), 8, 1, { { firstWindow, { { cedar, 5 } } } } };
    for (const auto& message : { newer, older, newer, restarted, restarted })
        ledger->apply(message, wallTime);
    CHECK(ledger->total(firstWindow) == UsageCounts { { cedar, 6 } });
    CHECK(ledger->sources(firstWindow) == 2);
}

TEST_CASE_METHOD(UsageCountsFixture, "usage ledger, windows far in the past or the future, are ignored")
{
    const auto far = static_cast<UsageWindow>(UsageLedger::maximumWindows) + 1;
    ledger->apply({ HostId("edge-1"), 7, 1, { { firstWindow + 2, { { cedar, 1 } } }, { firstWindow - far, { { cedar, 1 } } }, { ~UsageWindow { 0 }, { { cedar, 1 } } } } }, wallTime);
    CHECK_FALSE(ledger->oldestWindow());
}

TEST_CASE("usage interval, hosts of a large site, grows with their number up to half a window")
{
    const UsageWindows windows { 5s };
    CHECK(reportInterval(8, windows) <= 25ms);
    CHECK(reportInterval(400, windows) == 1s);
    CHECK(reportInterval(1300, windows) == 2500ms);
}

TEST_CASE("usage messages, encoded and decoded, are the same, and bad ones are refused")
{
    const UsageMessage message { HostId("edge-1"), 7, 9, { { firstWindow, { { cedar, 2 } } }, { firstWindow + 1, {} } } };
    const auto decoded = decodeUsageMessage(encodeUsageMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().windows == message.windows);
    CHECK(decoded.value().sequence == 9);
    const auto reply = decodeUsageReply(encodeUsageReply({ true, true, 5, firstWindow, 150ms }));
    REQUIRE(reply.has_value());
    CHECK((reply.value().isReporting && reply.value().isCollecting && reply.value().closedUpTo == firstWindow && reply.value().interval == 150ms));
    const auto record = decodeUsageRecord(encodeUsageRecord({ firstWindow, { { firstWindow, { { cedar, 2 } } } } }));
    REQUIRE(record.has_value());
    CHECK(record.value().unsent.at(0).counts == UsageCounts { { cedar, 2 } });
    for (const std::string bad : { "", "no message", "\xa0" }) {
        CHECK_FALSE(decodeUsageMessage(bad).has_value());
        CHECK_FALSE(decodeUsageReply(bad).has_value());
        CHECK_FALSE(decodeUsageRecord(bad).has_value());
    }
}

TEST_CASE("usage counts, messages lost and repeated and coordinators changing, all reach the last coordinator once the calls succeed")
{
    CHECK(rc::check([] {
        UsageCountsFixture site;
        Random random(*rc::gen::inRange(0U, 1000000U));
        UsageCounts truth;
        for (unsigned step = 0; step < 160; ++step) {
            if (randomUnit(random) < 0.3) {
                const auto& organisation = randomUnit(random) < 0.5 ? cedar : birch;
                const auto mark = site.counter.begin(organisation);
                ++truth[organisation];
                if (randomUnit(random) < 0.2) {
                    site.counter.withdraw(*mark);
                    --truth[organisation];
                }
            }
            if (randomUnit(random) < 0.05) {
                site.coordinator = randomIndex(random, UsageCountsFixture::candidateCount);
                site.ledger = std::make_unique<UsageLedger>(site.windows);
                ++site.collection;
            }
            if (const auto call = site.delivery.nextCall(site.clock.now())) {
                const auto fate = randomUnit(random);
                const auto reply = fate < 0.8 ? std::optional(site.answer(call->candidate, call->message)) : std::nullopt;
                if (reply && fate < 0.7)
                    site.delivery.onReply(*call, *reply, site.clock.now());
                else
                    site.delivery.onFailure(*call, site.clock.now());
            }
            site.advance(25ms);
        }
        site.run(5s);
        std::erase_if(truth, [](const auto& entry) { return entry.second == 0; });
        RC_ASSERT(site.ledger->total(firstWindow) == truth);
    }));
}
