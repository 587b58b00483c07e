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

/// Two mirrors of a store in memory and a host that asks the first of them first. Only the second mirror may be switched off.
struct MirrorFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeKeyValueService hostStore { context.get_executor(), clock };
    std::shared_ptr<RecordMirror> mirror = std::make_shared<RecordMirror>(context.get_executor(), store, clock);
    bool isReachable = true;
    std::vector<std::size_t> asked;
    MirrorClient client { 2, 0, [this](std::size_t index, MirrorQuery query) { return exchange(index, std::move(query)); }, clock };

    ~MirrorFixture()
    {
        mirror->stop();
        settle();
    }

    Task<Result<MirrorReply>> exchange(std::size_t index, MirrorQuery query)
    {
        asked.push_back(index);
        if (!isReachable)
            co_return failure(ErrorCode::Unavailable, "unreachable", "mirror");
        // Over the wire and back, as between processes.
        const auto received = decodeMirrorQuery(encodeMirrorQuery(query));
        auto reply = co_await mirror->follow(received.value());
        if (!reply)
            co_return reply;
        co_return decodeMirrorReply(encodeMirrorReply(reply.value()));
    }

    void settle()
    {
        context.restart();
        context.poll();
    }

    template <typename T>
    T finish(Task<T> task)
    {
        auto pending = startTask(context.get_executor(), std::move(task));
        settle();
        REQUIRE(pending->has_value());
        return std::move(**pending);
    }

    void prove()
    {
        finish([](std::shared_ptr<RecordMirror> subject) -> Task<bool> { co_await subject->prove(); co_return true; }(mirror));
    }

    void take(std::vector<KeyValueEntry> entries, Revision revision, bool isSnapshot)
    {
        mirror->take({ targetsPrefix, { std::move(entries), revision }, isSnapshot, false });
    }

    /// The mirror knows targets a and b as of revision 7.
    void fill()
    {
        prove();
        take({ { targetsPrefix + "a", std::string("\0\xff", 2), 5 }, { targetsPrefix + "b", "B", 7 } }, 7, true);
    }

    Result<MirrorReply> ask(std::optional<Revision> after) { return finish(mirror->follow({ targetsPrefix, after, 0ms })); }
};

/// A host whose directory follows the site at the mirror, which is fed by a process that follows the store.
struct MirroredSiteFixture : MirrorFixture {
    FakeSiteProtocol protocol;
    SiteDirectory source { context.get_executor(), store, protocol, clock, {} };
    SiteDirectory subject { context.get_executor(), hostStore, protocol, clock, { {}, 0ms, &client, 0 } };

    MirroredSiteFixture()
    {
        store.put("site/configuration", "4 ledger draft");
        store.put("targets/a", "ledger 127.0.0.1:1 ready draft 1");
        source.onNews([this](const auto& news) { mirror->take(news); });
        source.start();
        prove();
        settle();
    }

    ~MirroredSiteFixture()
    {
        source.stop();
        subject.stop();
        mirror->stop();
        isReachable = false;
        store.advance(60s);
        hostStore.advance(60s);
        settle();
    }

    /// Runs real time until @p condition holds, for ten seconds at most.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int turn = 0; turn < 1000 && !condition(); ++turn) {
            context.restart();
            context.run_for(10ms);
        }
        return condition();
    }
};

} // namespace

TEST_CASE_METHOD(MirrorFixture, "record mirror, asked for the first time, answers with all records")
{
    fill();
    const auto reply = ask(std::nullopt);
    REQUIRE(reply);
    CHECK(reply.value().isSnapshot);
    CHECK(reply.value().records.revision == 7);
    REQUIRE(reply.value().records.entries.size() == 2);
    CHECK(reply.value().records.entries[0].value == std::string("\0\xff", 2));
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, of changes and removals, answers with those after the revision asked for")
{
    fill();
    take({ { targetsPrefix + "a", "", 9, true }, { targetsPrefix + "c", "C", 10 } }, 10, false);
    const auto reply = ask(9);
    REQUIRE(reply);
    CHECK_FALSE(reply.value().isSnapshot);
    REQUIRE(reply.value().records.entries.size() == 1);
    CHECK(reply.value().records.entries[0].key == targetsPrefix + "c");
    const auto earlier = ask(7);
    REQUIRE(earlier);
    REQUIRE(earlier.value().records.entries.size() == 2);
    CHECK(earlier.value().records.entries[0].isDeleted);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, of a client from before its snapshot, answers with all records")
{
    fill();
    take({ { targetsPrefix + "b", "B", 7 } }, 30, true);
    const auto reply = ask(12);
    REQUIRE(reply);
    CHECK(reply.value().isSnapshot);
    CHECK(reply.value().records.entries.size() == 1);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, without news, waits for them")
{
    fill();
    const auto pending = startTask(context.get_executor(), mirror->follow({ targetsPrefix, 7, 10s }));
    settle();
    CHECK_FALSE(pending->has_value());
    take({ { targetsPrefix + "c", "C", 8 } }, 8, false);
    settle();
    REQUIRE(pending->has_value());
    CHECK((*pending)->value().records.revision == 8);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, of a prefix that it does not follow or cannot follow now, says so")
{
    prove();
    CHECK_FALSE(ask(std::nullopt));
    fill();
    mirror->setFollowed([](const std::string&) { return false; });
    CHECK_FALSE(ask(7));
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, that the store turns away, states how long ago it was served")
{
    fill();
    store.faultOf = [](CallKind) { return CallFault::Unavailable; };
    clock.advance(900ms);
    prove();
    CHECK(ask(7).value().age == 900ms);
    store.faultOf = [](CallKind) { return CallFault::None; };
    prove();
    CHECK(ask(7).value().age == 0ms);
}

TEST_CASE_METHOD(MirrorFixture, "record mirror, whose lease lapsed, takes another one")
{
    fill();
    store.advance(60s);
    prove();
    prove();
    CHECK(ask(7).value().age == 0ms);
}

TEST_CASE_METHOD(MirrorFixture, "mirror client, that starts before its mirrors, tries again for a moment before it goes to the store")
{
    isReachable = false;
    CHECK_FALSE(finish(client.follow(targetsPrefix, std::nullopt)));
    CHECK(client.isUsable());
    CHECK(client.isStarting());
    clock.advance(MirrorClient::startTime);
    CHECK_FALSE(finish(client.follow(targetsPrefix, std::nullopt)));
    CHECK_FALSE(client.isUsable());
    CHECK_FALSE(client.isStarting());
}

TEST_CASE_METHOD(MirrorFixture, "mirror client, of a mirror that has not reached the store, goes to the store and later to the next mirror")
{
    fill();
    REQUIRE(finish(client.follow(targetsPrefix, std::nullopt)));
    clock.advance(MirrorClient::longestAge + 1ms);
    CHECK_FALSE(finish(client.follow(targetsPrefix, std::nullopt)));
    CHECK_FALSE(client.isUsable());
    clock.advance(MirrorClient::directTime);
    CHECK(client.isUsable());
    prove();
    CHECK(finish(client.follow(targetsPrefix, std::nullopt)));
    CHECK(asked == std::vector<std::size_t> { 0, 0, 1 });
}

TEST_CASE_METHOD(MirrorFixture, "mirror client, when the store is away too, asks the next mirror at once")
{
    isReachable = false;
    clock.advance(MirrorClient::startTime);
    CHECK_FALSE(finish(client.follow(targetsPrefix, std::nullopt)));
    CHECK_FALSE(client.isUsable());
    client.storeFailed();
    CHECK(client.isUsable());
}

// A store that accepts calls and answers none leaves a watch waiting long after it is back.
TEST_CASE_METHOD(MirroredSiteFixture, "site directory, of a watch that waits since an outage, makes it anew when the store answers again")
{
    mirror->onReturn([this] { source.restartWatches(); });
    const auto before = store.counts().watches;
    store.faultOf = [](CallKind kind) { return kind == CallKind::Lease ? CallFault::RequestLost : CallFault::None; };
    prove();
    CHECK(store.counts().watches == before);
    store.faultOf = [](CallKind) { return CallFault::None; };
    prove();
    settle();
    CHECK(store.counts().watches == before + 2);
    store.put("site/configuration", "9 ledger");
    settle();
    CHECK(source.view()->configuration.version == 9);
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, with a mirror, follows the site without a call to the store")
{
    subject.start();
    settle();
    REQUIRE(subject.isReady());
    CHECK(subject.view()->configuration.version == 4);
    store.put("targets/a", "ledger 127.0.0.1:1 leaving");
    store.put("site/configuration", "9 ledger");
    settle();
    CHECK(subject.view()->configuration.version == 9);
    CHECK(subject.registry().usable(PoolName("ledger")).empty());
    CHECK(hostStore.counts().total() == 0);
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, without any mirror, waits long for a change in one call")
{
    MirrorClient none { 0, 0, {}, clock };
    SiteDirectory alone { context.get_executor(), hostStore, protocol, clock, { {}, 0ms, &none, 0 } };
    hostStore.put("site/configuration", "4 ledger");
    alone.start();
    settle();
    const auto before = hostStore.counts().watches;
    hostStore.advance(20s);
    settle();
    CHECK(hostStore.counts().watches == before);
    alone.stop();
    hostStore.advance(60s);
    settle();
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, whose mirror lost the store, asks the store itself")
{
    subject.start();
    settle();
    REQUIRE(subject.isReady());
    for (int i = 0; i < 3; ++i)
        hostStore.put("other", "to get ahead of the mirror");
    hostStore.put("site/configuration", "9 ledger");
    clock.advance(MirrorClient::longestAge + 1ms);
    // The mirror's next answer is too old.
    CHECK(runUntil([&] { return subject.view()->configuration.version == 9; }));
}

TEST_CASE_METHOD(MirroredSiteFixture, "site directory, without mirror and store, is not ready, and is once a mirror is back")
{
    isReachable = false;
    hostStore.faultOf = [](CallKind) { return CallFault::Unavailable; };
    clock.advance(MirrorClient::startTime);
    subject.start();
    settle();
    CHECK_FALSE(subject.isReady());
    isReachable = true;
    CHECK(runUntil([&] { return subject.isReady(); }));
}
