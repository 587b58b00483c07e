#include "FakeSiteProtocol.h"
#include "RecordMirror.h"
#include "SiteDirectory.h"

#include "cicadalb/services/FakeKeyValueService.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A process that watches the store and mirrors its records, and hosts that read from the mirror. Reports of target "a" are written to the store in any order,
/// as when the store carries out a write after newer ones.
struct LateReportFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeKeyValueService unusedStore { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    std::shared_ptr<RecordMirror> mirror = std::make_shared<RecordMirror>(context.get_executor(), clock);
    bool isMirrorReachable = true;
    MirrorClient firstClient { 1, 0, [this](std::size_t, MirrorQuery query) { return exchange(std::move(query)); }, clock };
    MirrorClient secondClient { 1, 0, [this](std::size_t, MirrorQuery query) { return exchange(std::move(query)); }, clock };
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    SiteDirectory host { context.get_executor(), unusedStore, protocol, clock, { {}, 0ms, &firstClient, 0 } };
    SiteDirectory laterHost { context.get_executor(), unusedStore, protocol, clock, { {}, 0ms, &secondClient, 0 } };

    LateReportFixture()
    {
        mirror->setCompleteAsOfSource([this](const auto& prefix) { return directory.completeAsOf(prefix); });
        mirror->setOutdatedCheck([this](const auto& entry) { return directory.isOutdated(entry); });
        directory.setUpdateHandler([this](const auto& update) { mirror->apply(update); });
        store.put("site/configuration", "4 ledger");
        report("ready", 100, 11);
        directory.start();
        host.start();
        runPendingWork();
        REQUIRE(isUsable(directory));
        REQUIRE(isUsable(host));
    }

    ~LateReportFixture()
    {
        for (auto* started : { &directory, &host, &laterHost })
            started->stop();
        mirror->stop();
        isMirrorReachable = false;
        store.advance(60s);
        unusedStore.advance(60s);
        runPendingWork();
    }

    Task<Result<MirrorReply>> exchange(MirrorQuery query)
    {
        if (!isMirrorReachable)
            co_return failure(ErrorCode::Unavailable, "unreachable", "mirror");
        auto reply = co_await mirror->waitForChanges(std::move(query));
        co_return reply;
    }

    void runPendingWork()
    {
        context.restart();
        context.poll();
    }

    /// Writes the report @p number of the start @p startedAt, and lets it arrive.
    void report(const std::string& state, unsigned startedAt, unsigned number)
    {
        store.put("targets/a", "ledger 127.0.0.1:1 " + state + " draft 1 " + std::to_string(startedAt) + " r1 " + std::to_string(number));
        runPendingWork();
    }

    void removeEntry()
    {
        store.remove("targets/a");
        runPendingWork();
    }

    /// Makes the process read all records again, since the store no longer has the changes.
    void readAllAgain()
    {
        store.forgetHistory();
        for (int turn = 0; turn < 300; ++turn) {
            store.advance(10ms);
            runPendingWork();
        }
    }

    static bool isUsable(const SiteDirectory& site) { return site.registry().usableTargets(PoolName("ledger")).size() == 1; }
};

} // namespace

// Guards against a report that the store carries out late, which made a draining target usable again (review case 9).
TEST_CASE_METHOD(LateReportFixture, "site directory, report before the one that the target drains is carried out late, keeps the target draining")
{
    report("leaving", 100, 12);
    CHECK_FALSE(isUsable(directory));
    report("ready", 100, 7);
    CHECK_FALSE(isUsable(directory));
    CHECK_FALSE(isUsable(host));
    readAllAgain();
    CHECK_FALSE(isUsable(directory));
    CHECK_FALSE(isUsable(host));
}

TEST_CASE_METHOD(LateReportFixture, "site directory, target without a stated start, keeps the target draining after a late report")
{
    report("ready", 0, 11);
    report("leaving", 0, 12);
    report("ready", 0, 7);
    CHECK_FALSE(isUsable(directory));
    CHECK_FALSE(isUsable(host));
}

TEST_CASE_METHOD(LateReportFixture, "record mirror, late report before a host starts, tells the host the newer state")
{
    report("leaving", 100, 12);
    report("ready", 100, 7);
    laterHost.start();
    runPendingWork();
    CHECK(laterHost.registry().targets().size() == 1);
    CHECK_FALSE(isUsable(laterHost));
}

TEST_CASE_METHOD(LateReportFixture, "record mirror, late report and all records read again, tells a host that starts the newer state")
{
    report("leaving", 100, 12);
    report("ready", 100, 7);
    readAllAgain();
    laterHost.start();
    runPendingWork();
    CHECK(laterHost.registry().targets().size() == 1);
    CHECK_FALSE(isUsable(laterHost));
}

TEST_CASE_METHOD(LateReportFixture, "site directory, late report after the entry was removed, keeps the target removed")
{
    removeEntry();
    REQUIRE(directory.registry().targets().empty());
    report("ready", 100, 10);
    CHECK(directory.registry().targets().empty());
    CHECK(host.registry().targets().empty());
    laterHost.start();
    runPendingWork();
    CHECK(laterHost.registry().targets().empty());
    readAllAgain();
    CHECK(directory.registry().targets().empty());
    CHECK(host.registry().targets().empty());
}

TEST_CASE_METHOD(LateReportFixture, "site directory, late report of an earlier start, keeps the later start")
{
    report("leaving", 200, 1);
    report("ready", 100, 12);
    CHECK_FALSE(isUsable(directory));
    CHECK_FALSE(isUsable(host));
    removeEntry();
    report("ready", 100, 13);
    CHECK(directory.registry().targets().empty());
    CHECK(host.registry().targets().empty());
}

TEST_CASE_METHOD(LateReportFixture, "site directory, target that starts again or reports anew, is usable at once")
{
    report("leaving", 100, 12);
    report("ready", 200, 1);
    CHECK(isUsable(directory));
    CHECK(isUsable(host));
    removeEntry();
    report("ready", 200, 2);
    CHECK(isUsable(directory));
    CHECK(isUsable(host));
}

TEST_CASE_METHOD(LateReportFixture, "record mirror, older version of the configuration is written late, tells a host that starts the newer one")
{
    store.put("site/configuration", "9 ledger");
    runPendingWork();
    store.put("site/configuration", "4 ledger");
    runPendingWork();
    laterHost.start();
    runPendingWork();
    REQUIRE(laterHost.view());
    CHECK(laterHost.view()->configuration.version == 9);
}
