#include "HolderTable.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// An owner with two holders in different failure domains.
struct HolderTableFixture {
    HolderTable table;
    TimePoint now { 1h };
    HostId small { "small" };
    HostId large { "large" };
    FailureDomain east { "east" };
    FailureDomain west { "west" };
    TargetId engine { "engine" };
    std::uint64_t calls = 0;

    HolderTableFixture()
    {
        call(small);
        call(large);
    }

    std::vector<HeldRun> call(const HostId& host, std::vector<RunId> held = {}, std::uint64_t lastReply = 0, std::uint64_t process = 1)
    {
        RunCall message;
        message.host = host;
        message.process = process;
        message.failureDomain = host == small ? east : west;
        message.capacity = host == small ? 2 : 4;
        message.number = ++calls;
        message.lastReply = lastReply;
        message.isComplete = true;
        message.held = std::move(held);
        return table.recordCall(message, now);
    }

    RunId assign(const HostId& host, std::uint64_t number)
    {
        const RunId id { 1, number };
        (void)table.assign(host, id, { SubmissionId("s"), number }, now);
        return id;
    }
};

} // namespace

TEST_CASE_METHOD(HolderTableFixture, "holder table, run, goes to the failure domain of its engine while there is room")
{
    CHECK(table.choose(engine, east, now) == small);
    CHECK(table.choose(engine, west, now) == large);
    (void)assign(small, 1);
    (void)assign(small, 2);
    CHECK(table.choose(engine, east, now) == large);
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, no holder with room, offers none")
{
    for (std::uint64_t number = 1; number <= 6; ++number)
        (void)assign(*table.choose(engine, east, now), number);
    CHECK_FALSE(table.choose(engine, east, now));
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, run that has ended, leaves its place to another one")
{
    const auto id = assign(small, 1);
    (void)assign(small, 2);
    table.recordEnd(*table.find(id));
    table.release(id, false);
    CHECK(table.choose(engine, east, now) == small);
    (void)assign(small, 3);
    CHECK(table.choose(engine, east, now) == large);
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, silent holder, is given nothing and then lost with its runs")
{
    const auto id = assign(small, 1);
    now += table.interval() + HolderTable::silenceLimit + 1ms;
    call(large);
    CHECK(table.choose(engine, east, now) == large);
    CHECK(table.removeLost(now).empty());
    now += HolderTable::lossTimeout - HolderTable::silenceLimit;
    call(large);
    const auto lost = table.removeLost(now);
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().id == id);
    CHECK(table.find(id) == nullptr);
    CHECK(table.holderCount() == 1);
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, restarted holder, has lost its runs at once")
{
    const auto id = assign(small, 1);
    const auto lost = call(small, {}, 0, 2);
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().id == id);
    CHECK(table.choose(engine, east, now) == small);
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, start, is sent once while its reply may be on its way")
{
    const auto id = assign(small, 1);
    CHECK(table.hasWork(small));
    const auto work = table.takeWork(small);
    CHECK(work.starts == std::vector { id });
    call(small, {}, work.replyNumber - 1);
    CHECK_FALSE(table.hasWork(small));
    CHECK(table.takeWork(small).starts.empty());
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, start whose reply was lost, is sent again")
{
    const auto id = assign(small, 1);
    (void)table.takeWork(small);
    call(small);
    const auto later = table.takeWork(small);
    CHECK(later.starts.empty());
    call(small, {}, later.replyNumber);
    CHECK(table.takeWork(small).starts == std::vector { id });
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, run that the holder states, is not started again")
{
    const auto id = assign(small, 1);
    const auto work = table.takeWork(small);
    call(small, { id }, work.replyNumber);
    call(small, { id }, work.replyNumber);
    CHECK(table.takeWork(small).starts.empty());
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, run that is no longer wanted, is stopped for as long as the holder states it")
{
    const auto id = assign(small, 1);
    (void)table.takeWork(small);
    call(small, { id }, 1);
    table.release(id, true);
    CHECK(table.hasWork(small));
    CHECK(table.takeWork(small).stops == std::vector { id });
    call(small, { id }, 1);
    CHECK(table.takeWork(small).stops == std::vector { id });
    call(small, {}, 3);
    CHECK(table.takeWork(small).stops.empty());
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, presented run, is kept unless its item runs elsewhere")
{
    const RunId earlier { 9, 1 };
    RunOrigin origin;
    origin.submission = SubmissionId("s");
    origin.index = 1;
    REQUIRE(table.present(small, earlier, origin));
    CHECK(table.presentedRuns(SubmissionId("s")) == std::vector { earlier });
    CHECK(table.present(large, { 9, 2 }, origin) == nullptr);
    call(small, { earlier });
    CHECK(table.takeWork(small).stops.empty());
    call(large, { { 9, 2 } });
    CHECK(table.takeWork(large).stops == std::vector { RunId { 9, 2 } });
}

TEST_CASE_METHOD(HolderTableFixture, "holder table, calls that overtake each other, do not bring back what the older one states")
{
    const RunId gone { 1, 1 };
    RunCall late;
    late.host = small;
    late.process = 1;
    late.capacity = 2;
    late.failureDomain = east;
    late.number = calls;
    late.held = { gone };
    call(small);
    (void)table.recordCall(late, now);
    CHECK(table.takeWork(small).stops.empty());
}

TEST_CASE("holder table, runs on one engine, share a holder while it has room, and engines are spread")
{
    HolderTable table;
    RunCall message;
    message.process = 1;
    message.capacity = 40;
    for (int host = 0; host < 8; ++host) {
        message.host = HostId("host-" + std::to_string(host));
        (void)table.recordCall(message, TimePoint(1h));
    }
    std::set<HostId> used;
    std::uint64_t number = 0;
    for (int engine = 0; engine < 16; ++engine) {
        std::set<HostId> holders;
        for (int run = 0; run < 8; ++run) {
            const auto holder = table.choose(TargetId("engine-" + std::to_string(engine)), {}, TimePoint(1h));
            REQUIRE(holder);
            ++number;
            (void)table.assign(*holder, { 1, number }, { SubmissionId("s"), number }, TimePoint(1h));
            holders.insert(*holder);
        }
        CHECK(holders.size() <= 2);
        used.insert(holders.begin(), holders.end());
    }
    CHECK(used.size() >= 6);
}

TEST_CASE("holder table, many holders, lets each call less often")
{
    HolderTable table;
    RunCall message;
    message.process = 1;
    for (int host = 0; host < 1300; ++host) {
        message.host = HostId(std::to_string(host));
        (void)table.recordCall(message, TimePoint(1h));
    }
    const auto callsPerSecond = 1300.0 / std::chrono::duration<double>(table.interval()).count();
    CHECK(callsPerSecond <= 1300);
}
