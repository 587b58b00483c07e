#include "cicadalb/site/CapacityOrderBook.h"

#include "cicadalb/base/Clock.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const EngineSource source { FailureDomain("a"), true };

CapacityDecision decision(unsigned engines) { return { source, engines, OrderCause::Need, 0 }; }

/// A platform whose answers may be lost and which may carry calls out late.
class Platform {
public:
    explicit Platform(CapacityOrderBook& book)
        : m_book(book)
    {
    }

    unsigned number() const { return m_number; }
    unsigned calls() const { return m_calls; }
    ManualClock& clock() { return m_clock; }

    /// Makes the calls that are due. @param executedAfter empty: the answer comes at once; otherwise it is lost, and the call is executed after this time
    void step(std::optional<Duration> executedAfter)
    {
        for (const auto& call : m_book.dueCalls(m_clock.now())) {
            ++m_calls;
            m_book.onCall(call.source, m_clock.now());
            if (executedAfter)
                m_late.emplace(m_clock.now() + *executedAfter, call.engines);
            else
                m_number = call.engines;
            m_book.onOutcome(call.source, executedAfter ? DutyOutcome::Unknown : DutyOutcome::Accepted, m_clock.now());
        }
        m_clock.advance(100ms);
        while (!m_late.empty() && m_late.begin()->first <= m_clock.now()) {
            m_number = m_late.begin()->second;
            m_late.erase(m_late.begin());
        }
    }

    void runFor(std::chrono::seconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 100ms)
            step(std::nullopt);
    }

private:
    CapacityOrderBook& m_book;
    ManualClock m_clock;
    unsigned m_number = 0;
    unsigned m_calls = 0;
    std::multimap<TimePoint, unsigned> m_late;
};

} // namespace

TEST_CASE("capacity order book, order in force, is not sent again")
{
    CapacityOrderBook book;
    Platform platform(book);
    book.propose(decision(6));
    platform.runFor(30s);
    CHECK(platform.number() == 6);
    CHECK(platform.calls() == 1);
}

TEST_CASE("capacity order book, answers are lost and calls carried out late, the newest number is in force in the end with few calls")
{
    CHECK(rc::check([] {
        CapacityOrderBook book;
        Platform platform(book);
        unsigned newest = 0;
        const auto proposals = *rc::gen::inRange(1, 8);
        for (int i = 0; i < proposals; ++i) {
            newest = *rc::gen::inRange(1U, 20U);
            book.propose(decision(newest));
            const auto steps = *rc::gen::inRange(1, 30);
            for (int step = 0; step < steps; ++step) {
                const bool isLost = *rc::gen::arbitrary<bool>();
                platform.step(isLost ? std::optional<Duration>(100ms * *rc::gen::inRange(0, 79)) : std::nullopt);
            }
        }
        platform.runFor(20s);
        RC_ASSERT(platform.number() == newest);
        const auto calls = platform.calls();
        platform.runFor(60s);
        RC_ASSERT(platform.calls() == calls);
        RC_ASSERT(platform.number() == newest);
    }));
}

TEST_CASE("capacity order book, no answers for a minute, repeats an order at most every four seconds")
{
    CapacityOrderBook book;
    Platform platform(book);
    book.propose(decision(6));
    for (int step = 0; step < 600; ++step)
        platform.step(20ms);
    CHECK(platform.calls() <= 20);
    CHECK(platform.calls() >= 14);
}

TEST_CASE("capacity order book, none to be had, drops the order and states so for a while")
{
    CapacityOrderBook book;
    ManualClock clock;
    book.propose(decision(6));
    REQUIRE(book.dueCalls(clock.now()).size() == 1);
    book.onCall(source, clock.now());
    CHECK(book.dueCalls(clock.now()).empty());
    book.onOutcome(source, DutyOutcome::Refused, clock.now());
    CHECK(book.dueCalls(clock.now()).empty());
    CHECK(book.ordered().empty());
    CHECK(book.unavailable(clock.now()) == std::set<EngineSource> { source });
    clock.advance(CapacityOrderBook::unavailableTime);
    CHECK(book.unavailable(clock.now()).empty());
}

TEST_CASE("capacity order book, newer number while a call waits for its answer, is sent after the answer")
{
    CapacityOrderBook book;
    ManualClock clock;
    book.propose(decision(6));
    book.onCall(source, clock.now());
    book.propose(decision(9));
    CHECK(book.dueCalls(clock.now()).empty());
    book.onOutcome(source, DutyOutcome::Accepted, clock.now());
    REQUIRE(book.dueCalls(clock.now()).size() == 1);
    CHECK(book.dueCalls(clock.now()).front().engines == 9);
}
