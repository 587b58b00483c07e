#include "FakeSiteProtocol.h"
#include "RecordMirror.h"
#include "SiteDirectory.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const std::string targetsPrefix = "targets/";

/// A mirror of a store in memory, and a client that reaches it under two indices, the first one first. The client's connection can be cut.
struct MirrorFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeKeyValueService hostStore { context.get_executor(), clock };
    std::shared_ptr<RecordMirror> mirror = std::make_shared<RecordMirror>(context.get_executor(), clock);
    TimePoint completeAsOf = clock.now();
    bool isReachable = true;
    /// Index under which the mirror cannot be reached.
    std::optional<std::size_t> unreachableMirror;
    std::vector<std::size_t> queriedMirrors;
    MirrorClient client { 2, 0, [this](std::size_t index, MirrorQuery query) { return exchange(index, std::move(query)); }, clock };

    MirrorFixture()
    {
        mirror->setCompleteAsOfSource([this](const auto&) { return std::optional(completeAsOf); });
    }

    ~MirrorFixture()
    {
        mirror->stop();
        runPendingWork();
    }

    Task<Result<MirrorReply>> exchange(std::size_t index, MirrorQuery query)
    {
        queriedMirrors.push_back(index);
        if (!isReachable || index == unreachableMirror)
            co_return failure(ErrorCode::Unavailable, "unreachable", "mirror");
        // Query and reply are encoded and decoded, as between processes.
        const auto received = decodeMirrorQuery(encodeMirrorQuery(query));
        auto reply = co_await mirror->waitForChanges(received.value());
        if (!reply)
            co_return reply;
        co_return decodeMirrorReply(encodeMirrorReply(reply.value()));
    }

    void runPendingWork()
    {
        context.restart();
        context.poll();
    }

    template <typename T>
    T runToCompletion(Task<T> task)
    {
        auto pending = startTask(context.get_executor(), std::move(task));
        runPendingWork();
        REQUIRE(pending->has_value());
        return std::move(**pending);
    }

    /// Makes the mirror's records complete as of now, as an answer to its watch does.
    void confirmRecords() { completeAsOf = clock.now(); }

    void apply(std::vector<KeyValueEntry> entries, Revision revision, bool isSnapshot)
    {
        mirror->apply({ targetsPrefix, { std::move(entries), revision }, isSnapshot, {} });
    }

    /// Gives the mirror targets a and b as of revision 7.
    void applyTwoTargets()
    {
        confirmRecords();
        apply({ { targetsPrefix + "a", std::string("\0\xff", 2), 5 }, { targetsPrefix + "b", "B", 7 } }, 7, true);
    }

    Result<MirrorReply> queryChanges(std::optional<Revision> after) { return runToCompletion(mirror->waitForChanges({ targetsPrefix, after, 0ms })); }
};

/// A host whose directory reads from the mirror, and a second directory that reads from the store and updates the mirror.
struct MirroredSiteFixture : MirrorFixture {
    FakeSiteProtocol protocol;
    SiteDirectory storeDirectory { context.get_executor(), store, protocol, clock, {} };
    SiteDirectory directory { context.get_executor(), hostStore, protocol, clock, { {}, 0ms, &client, 0 } };

    MirroredSiteFixture()
    {
        store.put("site/configuration", "4 ledger draft");
        store.put("targets/a", "ledger 127.0.0.1:1 ready draft 1");
        storeDirectory.setUpdateHandler([this](const auto& update) { mirror->apply(update); });
        mirror->setCompleteAsOfSource([this](const auto& prefix) { return storeDirectory.completeAsOf(prefix); });
        storeDirectory.start();
        runPendingWork();
    }

    ~MirroredSiteFixture()
    {
        storeDirectory.stop();
        directory.stop();
        mirror->stop();
        isReachable = false;
        store.advance(60s);
        hostStore.advance(60s);
        runPendingWork();
    }

    /// Advances the clock until @p condition holds, for ten seconds at most.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int turn = 0; turn < 1000 && !condition(); ++turn) {
            store.advance(10ms);
            runPendingWork();
        }
        return condition();
    }
};

} // namespace

TEST_CASE_METHOD(MirrorFixture, "record mirror, first query, replies with all records")
{
    applyTwoTargets();
    const auto reply = queryChanges(std::nullopt);
    REQUIRE(reply);
    CHECK(reply.value().isSnapshot);
    CHECK(reply.value().records.revision == 7);
    REQUIRE(reply.value().records.entries.size() == 2);
    CHECK(reply.value().records.entries[0].value == std::string("\0\xff", 2));
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, changes and deletions, replies with those after the requested revision")
{
    applyTwoTargets();
    apply({ { targetsPrefix + "a", "", 9, true }, { targetsPrefix + "c", "C", 10 } }, 10, false);
    const auto reply = queryChanges(9);
    REQUIRE(reply);
    CHECK_FALSE(reply.value().isSnapshot);
    REQUIRE(reply.value().records.entries.size() == 1);
    CHECK(reply.value().records.entries[0].key == targetsPrefix + "c");
    const auto earlier = queryChanges(7);
    REQUIRE(earlier);
    REQUIRE(earlier.value().records.entries.size() == 2);
    CHECK(earlier.value().records.entries[0].isDeleted);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, query for a revision before its snapshot, replies with all records")
{
    applyTwoTargets();
    apply({ { targetsPrefix + "b", "B", 7 } }, 30, true);
    const auto reply = queryChanges(12);
    REQUIRE(reply);
    CHECK(reply.value().isSnapshot);
    CHECK(reply.value().records.entries.size() == 1);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, no changes yet, waits for a change")
{
    applyTwoTargets();
    const auto pending = startTask(context.get_executor(), mirror->waitForChanges({ targetsPrefix, 7, 10s }));
    runPendingWork();
    CHECK_FALSE(pending->has_value());
    apply({ { targetsPrefix + "c", "C", 8 } }, 8, false);
    runPendingWork();
    REQUIRE(pending->has_value());
    CHECK((*pending)->value().records.revision == 8);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, prefix without records or without evidence of their age, fails")
{
    CHECK_FALSE(queryChanges(std::nullopt));
    applyTwoTargets();
    mirror->setCompleteAsOfSource([](const auto&) { return std::optional<TimePoint>(); });
    CHECK_FALSE(queryChanges(7));
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, watch without an answer, states the time since its records were known to be complete")
{
    applyTwoTargets();
    clock.advance(900ms);
    CHECK(queryChanges(7).value().age == 900ms);
    confirmRecords();
    CHECK(queryChanges(7).value().age == 0ms);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, records become too old during a wait, replies at once")
{
    applyTwoTargets();
    const auto pending = startTask(context.get_executor(), mirror->waitForChanges({ targetsPrefix, 7, 10s }));
    runPendingWork();
    clock.advance(MirrorClient::maximumAge);
    runPendingWork();
    CHECK_FALSE(pending->has_value());
    clock.advance(1ms);
    runPendingWork();
    REQUIRE(pending->has_value());
    CHECK((*pending)->value().age > MirrorClient::maximumAge);
}

TEST_CASE_METHOD(MirrorFixture, "mirror client, started before its mirrors, retries for the startup grace period before it uses the store")
{
    isReachable = false;
    CHECK_FALSE(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    CHECK(client.isUsable());
    CHECK(client.isInStartupGracePeriod());
    clock.advance(MirrorClient::startupGracePeriod);
    CHECK_FALSE(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    CHECK_FALSE(client.isUsable());
    CHECK_FALSE(client.isInStartupGracePeriod());
}

TEST_CASE_METHOD(MirrorFixture, "mirror client, mirror that ends, uses the next one at once and not the store")
{
    applyTwoTargets();
    REQUIRE(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    unreachableMirror = 0;
    CHECK(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    CHECK(client.isUsable());
    CHECK(queriedMirrors == std::vector<std::size_t> { 0, 0, 1 });
    CHECK(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    CHECK(queriedMirrors.back() == 1);
}

TEST_CASE_METHOD(MirrorFixture, "mirror client, mirrors that have lost the store, uses the store and later a mirror")
{
    applyTwoTargets();
    REQUIRE(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    clock.advance(MirrorClient::maximumAge + 1ms);
    CHECK_FALSE(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    CHECK_FALSE(client.isUsable());
    clock.advance(MirrorClient::storeFallbackPeriod);
    CHECK(client.isUsable());
    confirmRecords();
    CHECK(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    CHECK(queriedMirrors == std::vector<std::size_t> { 0, 0, 1, 0 });
}

TEST_CASE_METHOD(MirrorFixture, "mirror client, mirror and store unavailable, may use the next mirror at once")
{
    isReachable = false;
    clock.advance(MirrorClient::startupGracePeriod);
    CHECK_FALSE(runToCompletion(client.waitForChanges(targetsPrefix, std::nullopt)));
    CHECK_FALSE(client.isUsable());
    client.endStoreFallback();
    CHECK(client.isUsable());
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, configuration can be read again after an outage, reports it")
{
    int restored = 0;
    storeDirectory.setRestoredHandler([&restored] { ++restored; });
    store.selectFault = [](CallKind) { return CallFault::Unavailable; };
    CHECK_FALSE(runUntil([&] { return restored > 0; }));
    store.selectFault = [](CallKind) { return CallFault::None; };
    CHECK(runUntil([&] { return restored > 0; }));
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, with a mirror, receives changes without a call to the store")
{
    directory.start();
    runPendingWork();
    REQUIRE(directory.isReady());
    CHECK(directory.view()->configuration.version == 4);
    store.put("targets/a", "ledger 127.0.0.1:1 leaving");
    store.put("site/configuration", "9 ledger");
    runPendingWork();
    CHECK(directory.view()->configuration.version == 9);
    CHECK(directory.registry().usableTargets(PoolName("ledger")).empty());
    CHECK(hostStore.counts().total() == 0);
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, without mirrors, confirms its records with one call a second for each prefix")
{
    MirrorClient noMirrors { 0, 0, {}, clock };
    SiteDirectory storeOnly { context.get_executor(), hostStore, protocol, clock, { {}, 0ms, &noMirrors, 0 } };
    hostStore.put("site/configuration", "4 ledger");
    storeOnly.start();
    runPendingWork();
    const auto before = hostStore.counts().watches;
    for (auto passed = 0ms; passed < 20s; passed += 10ms) {
        hostStore.advance(10ms);
        runPendingWork();
        CHECK(storeOnly.configurationAge().value() <= 1s);
        CHECK(storeOnly.registryAge().value() <= 1s);
    }
    CHECK(hostStore.counts().watches - before <= 42);
    storeOnly.stop();
    hostStore.advance(60s);
    runPendingWork();
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, mirror that has lost the store, queries the store")
{
    directory.start();
    runPendingWork();
    REQUIRE(directory.isReady());
    for (int i = 0; i < 3; ++i)
        hostStore.put("other", "raises this store's revision above the mirror's");
    hostStore.put("site/configuration", "9 ledger");
    clock.advance(MirrorClient::maximumAge + 1ms);
    // The mirror's next reply is older than maximumAge.
    CHECK(runUntil([&] { return directory.view()->configuration.version == 9; }));
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, mirror and store unavailable, becomes ready when a mirror returns")
{
    isReachable = false;
    hostStore.selectFault = [](CallKind) { return CallFault::Unavailable; };
    clock.advance(MirrorClient::startupGracePeriod);
    directory.start();
    runPendingWork();
    CHECK_FALSE(directory.isReady());
    isReachable = true;
    CHECK(runUntil([&] { return directory.isReady(); }));
}
