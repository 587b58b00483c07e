#include "Coordination.h"
#include "FakeSiteProtocol.h"
#include "RequestForwarder.h"
#include "SiteDirectory.h"
#include "WeightOrders.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A host's directory of a site whose store is in memory.
struct SiteFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };

    SiteFixture()
    {
        store.put("site/configuration", "4 ledger draft");
        store.put("targets/a", "ledger 127.0.0.1:1 ready draft 1");
    }

    ~SiteFixture()
    {
        directory.stop();
        store.advance(60s);
        runPendingWork();
    }

    void runPendingWork()
    {
        context.restart();
        context.poll();
    }

    /// Runs real time and the manual clock until @p condition holds, for ten seconds at most.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int turn = 0; turn < 1000 && !condition(); ++turn) {
            store.advance(10ms);
            context.restart();
            context.run_for(10ms);
        }
        return condition();
    }

    void start()
    {
        directory.start();
        runPendingWork();
    }
};

/// Weight orders for engine "a", which does not answer, with a newer version of a model named.
struct OrdersFixture : SiteFixture {
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    SampleScheduler scheduler;
    SteadyClock steadyClock;
    int endedLoads = 0;
    std::shared_ptr<WeightOrders> orders;

    void startOrders(const std::string& named = "draft 3")
    {
        scheduler.setEngines({ { TargetId("a"), PoolName("ledger"), 4, { { "draft", 1 } }, SoftwareVersion("r1"), 1 } });
        store.put("versions/" + named.substr(0, named.find(' ')), named);
        start();
        WeightOrderHooks hooks { [] { return true; }, [] {}, [](const TargetId&) {}, [this] { ++endedLoads; } };
        orders = std::make_shared<WeightOrders>(context.get_executor(), store, protocol, directory, clients, scheduler, steadyClock, WeightOrderSettings {}, hooks);
        directory.setChangeHandler([this] { orders->updateEngines(); });
        orders->start();
        runPendingWork();
    }

    ~OrdersFixture()
    {
        orders->stop();
        directory.setChangeHandler({});
    }
};

/// Two candidates for coordination; startBoth() makes the first one the coordinator.
struct CandidatesFixture : SiteFixture {
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    RequestPermits secondPermits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<Coordination> first = candidate("first", permits);
    std::shared_ptr<Coordination> second = candidate("second", secondPermits);

    std::shared_ptr<Coordination> candidate(const std::string& name, RequestPermits& ownPermits)
    {
        CoordinationSettings settings;
        settings.host = HostId(name);
        return std::make_shared<Coordination>(context.get_executor(), store, protocol, directory, clients, ownPermits, *crashGuard, clock, settings);
    }

    void startBoth()
    {
        start();
        first->start();
        REQUIRE(runUntil([&] { return first->isCoordinating(); }));
        second->start();
        runPendingWork();
    }

    static Task<bool> handOver(std::shared_ptr<Coordination> leaving)
    {
        co_await leaving->handOver();
        co_return true;
    }
};

/// A coordinator that loses its connection to the store, and one other candidate, which does not reply at first.
struct IsolatedCandidateFixture : CandidatesFixture {
    Result<MirrorReply> reply = failure(ErrorCode::NotSent, "cannot connect", "mirror");
    MirrorClient others { 1, 0, [this](std::size_t, MirrorQuery) -> Task<Result<MirrorReply>> { co_return reply; }, clock };
    std::shared_ptr<Coordination> isolated;
    Revision ownRevision = 0;

    void startAndIsolate()
    {
        CoordinationSettings settings;
        settings.host = HostId("first");
        settings.mirrors = &others;
        settings.leaseClock = &clock;
        isolated = std::make_shared<Coordination>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, settings);
        start();
        isolated->start();
        REQUIRE(advanceUntil([&] { return isolated->isCoordinating(); }, 3s));
        ownRevision = store.entries().at("coordinator/holder").revision;
        store.selectFault = [](CallKind) { return CallFault::Unavailable; };
    }

    static MirrorReply holderReply(const std::string& holder, Revision revision)
    {
        MirrorReply replyWithHolder;
        replyWithHolder.isSnapshot = true;
        replyWithHolder.records.entries.push_back({ "coordinator/holder", holder, revision });
        return replyWithHolder;
    }

    /// Advances the manual clock in steps, each long enough for one tick of the coordination.
    bool advanceUntil(const std::function<bool()>& condition, Duration time)
    {
        for (Duration passed {}; passed < time && !condition(); passed += clockStep) {
            store.advance(clockStep);
            context.restart();
            context.run_for(clockStep + 10ms);
        }
        return condition();
    }

    bool hasEnded() const { return !isolated->isCoordinating(); }

    static constexpr std::chrono::milliseconds clockStep { 100 };

    ~IsolatedCandidateFixture()
    {
        const auto ended = startTask(context.get_executor(), handOver(isolated));
        CHECK(runUntil([&] { return ended->has_value(); }));
    }
};

} // namespace

TEST_CASE_METHOD(SiteFixture, "site directory, changes of configuration and targets, applies them")
{
    CHECK_FALSE(directory.isReady());
    start();
    REQUIRE(directory.isReady());
    CHECK(directory.view()->configuration.version == 4);
    CHECK(directory.balancer(PoolName("ledger"))->targets().size() == 1);
    store.put("targets/b", "ledger 127.0.0.1:2 ready");
    store.put("site/configuration", "9 ledger");
    runPendingWork();
    CHECK(directory.view()->configuration.version == 9);
    CHECK(directory.balancer(PoolName("ledger"))->targets().size() == 2);
    store.put("targets/a", "ledger 127.0.0.1:1 leaving");
    runPendingWork();
    CHECK(directory.balancer(PoolName("ledger"))->targets().size() == 1);
}

TEST_CASE_METHOD(SiteFixture, "site directory, records that cannot be decoded, ignores them and continues")
{
    store.put("targets/odd", "garbage");
    start();
    CHECK(directory.registry().targets().size() == 1);
    store.put("site/configuration", "no number");
    store.put("targets/a", "garbage");
    runPendingWork();
    CHECK(directory.view()->configuration.version == 4);
    CHECK(directory.registry().targets().empty());
}

TEST_CASE_METHOD(SiteFixture, "site directory, older configuration after a newer one, keeps the newer one")
{
    start();
    store.put("site/configuration", "3 ledger");
    runPendingWork();
    CHECK(directory.view()->configuration.version == 4);
}

TEST_CASE_METHOD(SiteFixture, "site directory, history lost while a target leaves, learns of it from a snapshot")
{
    start();
    CHECK(directory.registry().targets().size() == 1);
    const auto lease = startTask(context.get_executor(), store.grantLease(1000ms));
    runPendingWork();
    REQUIRE(lease->has_value());
    store.put("targets/b", "ledger 127.0.0.1:2 ready");
    runPendingWork();
    store.put("targets/a", "ledger 127.0.0.1:1 leaving");
    store.forgetHistory();
    runPendingWork();
    CHECK(directory.registry().usableTargets(PoolName("ledger")).size() == 1);
}

TEST_CASE_METHOD(SiteFixture, "site directory, store unavailable, keeps its state and applies changes after the outage")
{
    start();
    store.selectFault = [](CallKind) { return CallFault::Unavailable; };
    store.advance(26s);
    runPendingWork();
    CHECK(directory.isReady());
    CHECK(directory.registry().targets().size() == 1);
    store.put("site/configuration", "5 ledger");
    store.selectFault = [](CallKind) { return CallFault::None; };
    CHECK(runUntil([&] { return directory.view()->configuration.version == 5; }));
}

TEST_CASE_METHOD(OrdersFixture, "weight orders, engine removed from the registry during its load, end the load and start no other")
{
    startOrders();
    CHECK(endedLoads == 0);
    store.put("targets/a", "garbage");
    CHECK(runUntil([&] { return endedLoads == 1; }));
    for (int turn = 0; turn < 30; ++turn) {
        orders->tick();
        runPendingWork();
    }
    CHECK(endedLoads == 1);
}

TEST_CASE_METHOD(OrdersFixture, "weight orders, engine restarted at another address during its load, end that load")
{
    startOrders();
    store.put("targets/a", "ledger 127.0.0.1:2 ready draft 1 99");
    CHECK(runUntil([&] { return endedLoads >= 1; }));
}

TEST_CASE_METHOD(OrdersFixture, "weight orders, engine that does not answer, end its load")
{
    startOrders();
    CHECK(runUntil([&] { return endedLoads >= 1; }));
}

// Review case 3: engines were assigned to models again only when the set of engines changed.
TEST_CASE_METHOD(OrdersFixture, "weight orders, configuration adds a model while no engine is assigned to it, begin a load of its version")
{
    startOrders("review 3");
    CHECK(endedLoads == 0);
    store.put("site/configuration", "5 ledger draft review");
    CHECK(runUntil([&] { return endedLoads >= 1; }));
}

TEST_CASE_METHOD(CandidatesFixture, "coordination, holder hands over, passes to the other candidate")
{
    startBoth();
    CHECK_FALSE(second->isCoordinating());
    const auto firstHandOver = startTask(context.get_executor(), handOver(first));
    CHECK(runUntil([&] { return second->isCoordinating(); }));
    CHECK(firstHandOver->has_value());
    CHECK_FALSE(first->isCoordinating());
    const auto ended = startTask(context.get_executor(), handOver(second));
    CHECK(runUntil([&] { return ended->has_value(); }));
}

TEST_CASE_METHOD(CandidatesFixture, "coordination, lease lapsed and not held by another host, continues under a new fencing number")
{
    startBoth();
    const auto holder = store.entries().at("coordinator/holder");
    store.advance(10s);
    CHECK(runUntil([&] {
        const auto found = store.entries().find("coordinator/holder");
        CHECK(first->isCoordinating());
        return found != store.entries().end() && found->second.revision > holder.revision;
    }));
    CHECK(store.entries().at("coordinator/holder").value.starts_with("first "));
    CHECK_FALSE(second->isCoordinating());
    const auto ended = startTask(context.get_executor(), handOver(second));
    const auto firstHandOver = startTask(context.get_executor(), handOver(first));
    CHECK(runUntil([&] { return ended->has_value() && firstHandOver->has_value(); }));
}

TEST_CASE_METHOD(CandidatesFixture, "coordination, record left by an earlier process of the host, takes over at once")
{
    start();
    const auto oldRevision = store.put("coordinator/holder", "first 1-1");
    first->start();
    CHECK(runUntil([&] { return first->isCoordinating(); }));
    CHECK(store.entries().at("coordinator/holder").revision > oldRevision);
    const auto ended = startTask(context.get_executor(), handOver(first));
    CHECK(runUntil([&] { return ended->has_value(); }));
}

TEST_CASE_METHOD(IsolatedCandidateFixture, "coordination, refused by the store, ends when another candidate reports a newer holder")
{
    startAndIsolate();
    // A record older than the own one must not end the coordination.
    reply = holderReply("second 1-1", ownRevision - 1);
    CHECK_FALSE(advanceUntil([&] { return hasEnded(); }, 3s));
    reply = holderReply("second 1-1", ownRevision + 1);
    CHECK(advanceUntil([&] { return hasEnded(); }, 1s));
}

TEST_CASE_METHOD(IsolatedCandidateFixture, "coordination, neither store nor other candidate reachable, ends")
{
    startAndIsolate();
    CHECK(advanceUntil([&] { return hasEnded(); }, 4s));
}

TEST_CASE_METHOD(IsolatedCandidateFixture, "coordination, holder during its absence unknown, delays its orders")
{
    startAndIsolate();
    REQUIRE(advanceUntil([&] { return hasEnded(); }, 4s));
    store.selectFault = [](CallKind) { return CallFault::None; };
    store.put("coordinator/holder", "second 1-1");
    store.forgetHistory();
    Transaction removal;
    removal.removals.push_back("coordinator/holder");
    const auto removed = startTask(context.get_executor(), store.commit(std::move(removal)));
    runPendingWork();
    REQUIRE(removed->has_value());
    REQUIRE(advanceUntil([&] { return isolated->isCoordinating(); }, 5s));
    CHECK(isolated->ordersAllowedFrom() > clock.now());
}

TEST_CASE_METHOD(IsolatedCandidateFixture, "coordination, other candidates without the store too, continues")
{
    startAndIsolate();
    reply = failure(ErrorCode::Unavailable, "not followed now", "mirror");
    CHECK_FALSE(advanceUntil([&] { return hasEnded(); }, 5s));
}

TEST_CASE("pool choice, split route, follows the weights")
{
    SiteRoute route;
    route.pools = { { PoolName("a"), 90 }, { PoolName("b"), 10 } };
    CHECK(choosePool(route, 0.0).value() == "a");
    CHECK(choosePool(route, 0.89).value() == "a");
    CHECK(choosePool(route, 0.91).value() == "b");
    CHECK(choosePool({}, 0.5).isEmpty());
}
