#include "FakeSiteProtocol.h"
#include "RecordMirror.h"
#include "SiteDirectory.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A process that watches the store and mirrors its records, and a host that reads from the mirror. Targets "a" and "b" are registered.
struct LapsedEntriesFixture {
    static constexpr auto minimumOutage = 2400ms;
    /// Longest time until a process calls the store again after an outage, and until a host hears of what it reads.
    static constexpr auto noticeTime = 1200ms;

    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeKeyValueService unusedStore { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    std::shared_ptr<RecordMirror> mirror = std::make_shared<RecordMirror>(context.get_executor(), clock);
    bool isMirrorReachable = true;
    MirrorClient client { 1, 0, [this](std::size_t, MirrorQuery query) { return exchange(std::move(query)); }, clock };
    SiteDirectory directory { context.get_executor(), store, protocol, clock, { {}, 0ms, nullptr, 0, nullptr, minimumOutage } };
    SiteDirectory host { context.get_executor(), unusedStore, protocol, clock, { {}, 0ms, &client, 0, nullptr, minimumOutage } };

    LapsedEntriesFixture()
    {
        mirror->setCompleteAsOfSource([this](const auto& prefix) { return directory.completeAsOf(prefix); });
        directory.setUpdateHandler([this](const auto& update) { mirror->apply(update); });
        unusedStore.selectFault = [](CallKind) { return CallFault::Unavailable; };
        store.put("site/configuration", "4 ledger");
        store.put("targets/a", "ledger 127.0.0.1:1 ready");
        store.put("targets/b", "ledger 127.0.0.1:2 ready");
        directory.start();
        host.start();
        run(100ms);
        REQUIRE(knows(directory, "a"));
        REQUIRE(knows(host, "a"));
    }

    ~LapsedEntriesFixture()
    {
        directory.stop();
        host.stop();
        mirror->stop();
        isMirrorReachable = false;
        store.advance(60s);
        unusedStore.advance(60s);
        context.restart();
        context.poll();
    }

    /// Queries and replies are encoded and decoded, as between processes.
    Task<Result<MirrorReply>> exchange(MirrorQuery query)
    {
        if (!isMirrorReachable)
            co_return failure(ErrorCode::Unavailable, "unreachable", "mirror");
        auto reply = co_await mirror->waitForChanges(decodeMirrorQuery(encodeMirrorQuery(query)).value());
        if (!reply)
            co_return reply;
        co_return decodeMirrorReply(encodeMirrorReply(reply.value()));
    }

    void run(Duration time)
    {
        for (Duration passed {}; passed < time; passed += 10ms) {
            store.advance(10ms);
            context.restart();
            context.poll();
            directory.tick();
            host.tick();
        }
    }

    void beginOutage()
    {
        store.selectFault = [](CallKind) { return CallFault::Unavailable; };
    }

    void endOutage()
    {
        store.selectFault = [](CallKind) { return CallFault::None; };
    }

    static bool knows(const SiteDirectory& site, const std::string& target) { return site.registry().find(TargetId(target)) != nullptr; }

    void checkRemovedWithin(const std::string& target, Duration time)
    {
        run(time);
        CHECK_FALSE(knows(directory, target));
        CHECK_FALSE(knows(host, target));
    }
};

} // namespace

TEST_CASE_METHOD(LapsedEntriesFixture, "site directory, entries lapsed in an outage, keeps the targets until they may not return any more")
{
    beginOutage();
    run(2s);
    store.remove("targets/a");
    run(2500ms);
    endOutage();
    run(1800ms);
    CHECK(knows(directory, "a"));
    CHECK(knows(host, "a"));
    store.put("targets/a", "ledger 127.0.0.1:1 ready");
    run(10s);
    CHECK(knows(directory, "a"));
    CHECK(knows(host, "a"));
}

// Guards against removals that are taken back for longer than entries may return after an outage (review case 10).
TEST_CASE_METHOD(LapsedEntriesFixture, "site directory, entry removed when lapsed ones may not return any more, removes the target at once")
{
    beginOutage();
    run(4500ms);
    endOutage();
    // Leaves a change within the time for a return, which the mirror passes on.
    run(2s);
    store.put("targets/c", "ledger 127.0.0.1:3 ready");
    run(TargetRegistry::reregistrationGracePeriod + noticeTime - 2s);
    REQUIRE(knows(host, "c"));
    store.remove("targets/a");
    checkRemovedWithin("a", 100ms);
    store.remove("targets/b");
    checkRemovedWithin("b", 100ms);
}

TEST_CASE_METHOD(LapsedEntriesFixture, "site directory, entry removed while lapsed ones may return, removes the target when that time ends")
{
    beginOutage();
    run(4500ms);
    endOutage();
    run(1500ms);
    store.remove("targets/a");
    run(1s);
    store.remove("targets/b");
    const auto left = TargetRegistry::reregistrationGracePeriod + noticeTime - 2500ms;
    checkRemovedWithin("a", left);
    CHECK_FALSE(knows(directory, "b"));
    CHECK_FALSE(knows(host, "b"));
}

TEST_CASE_METHOD(LapsedEntriesFixture, "site directory, entry removed after a call that broke, removes the target at once")
{
    beginOutage();
    run(1100ms);
    endOutage();
    run(300ms);
    store.remove("targets/a");
    checkRemovedWithin("a", 100ms + noticeTime);
}

TEST_CASE_METHOD(LapsedEntriesFixture, "record mirror, host asks again long after an outage, states that missing records are gone")
{
    beginOutage();
    run(4500ms);
    endOutage();
    run(noticeTime);
    run(TargetRegistry::reregistrationGracePeriod);
    MirrorQuery query { "targets/", std::nullopt, 0ms };
    const auto reply = startTask(context.get_executor(), exchange(query));
    run(20ms);
    REQUIRE(reply->has_value());
    REQUIRE(reply->value());
    CHECK(reply->value().value().mayReturnWithin == 0ms);
}

TEST_CASE("mirror reply of an earlier build after an outage states the whole time for a return")
{
    MirrorReply reply;
    reply.mayReturnWithin = 700ms;
    CHECK(decodeMirrorReply(encodeMirrorReply(reply)).value().mayReturnWithin == 700ms);
    auto json = nlohmann::json::from_cbor(encodeMirrorReply(reply));
    json.erase("return-ms");
    const auto earlier = nlohmann::json::to_cbor(json);
    CHECK(decodeMirrorReply(std::string(earlier.begin(), earlier.end())).value().mayReturnWithin == TargetRegistry::reregistrationGracePeriod);
}
