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

/// What a host knows of a site whose store is in memory. Pauses after failures are real and short.
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
        settle();
    }

    void settle()
    {
        context.restart();
        context.poll();
    }

    /// Runs real time until @p condition holds, for ten seconds at most.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int turn = 0; turn < 1000 && !condition(); ++turn) {
            store.advance(0ms);
            context.restart();
            context.run_for(10ms);
        }
        return condition();
    }

    void start()
    {
        directory.start();
        settle();
    }
};

/// Orders for engine "a", which does not answer; a newer version is named.
struct OrdersFixture : SiteFixture {
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    SampleScheduler scheduler;
    SteadyClock steadyClock;
    int ended = 0;
    std::shared_ptr<WeightOrders> orders;

    void startOrders()
    {
        scheduler.setEngines({ { TargetId("a"), PoolName("ledger"), 4, { { "draft", 1 } } } });
        store.put("versions/draft", "draft 3");
        start();
        WeightOrderHooks hooks { [] { return true; }, [] {}, [this] { ++ended; } };
        orders = std::make_shared<WeightOrders>(context.get_executor(), store, protocol, directory, clients, scheduler, steadyClock, WeightOrderSettings {}, hooks);
        directory.onChange([this] { orders->updateEngines(); });
        orders->start();
        settle();
    }

    ~OrdersFixture()
    {
        orders->stop();
        directory.onChange({});
    }
};

/// Two candidates for coordination, the first of which holds it.
struct CandidatesFixture : SiteFixture {
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    std::shared_ptr<Coordination> first = candidate("first");
    std::shared_ptr<Coordination> second = candidate("second");

    std::shared_ptr<Coordination> candidate(const std::string& name)
    {
        CoordinationSettings settings;
        settings.host = HostId(name);
        return std::make_shared<Coordination>(context.get_executor(), store, protocol, directory, clients, clock, settings);
    }

    void startBoth()
    {
        start();
        first->start();
        REQUIRE(runUntil([&] { return first->isCoordinating(); }));
        second->start();
        settle();
    }

    static Task<bool> leave(std::shared_ptr<Coordination> leaving)
    {
        co_await leaving->handOver();
        co_return true;
    }
};

/// A coordinator that can be cut from the store, with one other candidate, which does not answer at first.
struct CutCandidateFixture : CandidatesFixture {
    Result<MirrorReply> reply = failure(ErrorCode::NotSent, "cannot connect", "mirror");
    MirrorClient others { 1, 0, [this](std::size_t, MirrorQuery) -> Task<Result<MirrorReply>> { co_return reply; }, clock };
    std::shared_ptr<Coordination> cut;
    Revision own = 0;

    void startAndCut()
    {
        CoordinationSettings settings;
        settings.host = HostId("first");
        settings.mirrors = &others;
        settings.leaseClock = &clock;
        cut = std::make_shared<Coordination>(context.get_executor(), store, protocol, directory, clients, clock, settings);
        start();
        cut->start();
        REQUIRE(advanceUntil([&] { return cut->isCoordinating(); }, 3s));
        own = store.entries().at("coordinator/holder").revision;
        store.faultOf = [](CallKind) { return CallFault::Unavailable; };
    }

    static MirrorReply holderRecord(const std::string& holder, Revision revision)
    {
        MirrorReply made;
        made.isSnapshot = true;
        made.records.entries.push_back({ "coordinator/holder", holder, revision });
        return made;
    }

    /// Advances the paused clock in steps, each of which lets the coordination look at it once.
    bool advanceUntil(const std::function<bool()>& condition, Duration time)
    {
        for (Duration passed {}; passed < time && !condition(); passed += step) {
            store.advance(step);
            context.restart();
            context.run_for(step + 10ms);
        }
        return condition();
    }

    bool isOver() const { return !cut->isCoordinating(); }

    static constexpr std::chrono::milliseconds step { 100 };

    ~CutCandidateFixture()
    {
        const auto ended = startTask(context.get_executor(), leave(cut));
        CHECK(runUntil([&] { return ended->has_value(); }));
    }
};

} // namespace

TEST_CASE_METHOD(SiteFixture, "site directory, of a configuration and targets, follows their changes")
{
    CHECK_FALSE(directory.isReady());
    start();
    REQUIRE(directory.isReady());
    CHECK(directory.view()->configuration.version == 4);
    CHECK(directory.gate(PoolName("ledger"))->targets().size() == 1);
    store.put("targets/b", "ledger 127.0.0.1:2 ready");
    store.put("site/configuration", "9 ledger");
    settle();
    CHECK(directory.view()->configuration.version == 9);
    CHECK(directory.gate(PoolName("ledger"))->targets().size() == 2);
    store.put("targets/a", "ledger 127.0.0.1:1 leaving");
    settle();
    CHECK(directory.gate(PoolName("ledger"))->targets().size() == 1);
}

TEST_CASE_METHOD(SiteFixture, "site directory, of records of other writers, ignores them and goes on")
{
    store.put("targets/odd", "garbage");
    start();
    CHECK(directory.registry().targets().size() == 1);
    store.put("site/configuration", "no number");
    store.put("targets/a", "garbage");
    settle();
    CHECK(directory.view()->configuration.version == 4);
    CHECK(directory.registry().targets().empty());
}

TEST_CASE_METHOD(SiteFixture, "site directory, of an older configuration after a newer one, keeps the newer one")
{
    start();
    store.put("site/configuration", "3 ledger");
    settle();
    CHECK(directory.view()->configuration.version == 4);
}

TEST_CASE_METHOD(SiteFixture, "site directory, when history is lost while a target leaves, finds out by a snapshot")
{
    start();
    CHECK(directory.registry().targets().size() == 1);
    const auto lease = startTask(context.get_executor(), store.grantLease(1000ms));
    settle();
    REQUIRE(lease->has_value());
    store.put("targets/b", "ledger 127.0.0.1:2 ready");
    settle();
    store.put("targets/a", "ledger 127.0.0.1:1 leaving");
    store.forgetHistory();
    settle();
    CHECK(directory.registry().usable(PoolName("ledger")).size() == 1);
}

TEST_CASE_METHOD(SiteFixture, "site directory, while the store is away, keeps what it knows and follows again afterwards")
{
    start();
    store.faultOf = [](CallKind) { return CallFault::Unavailable; };
    store.advance(26s);
    settle();
    CHECK(directory.isReady());
    CHECK(directory.registry().targets().size() == 1);
    store.put("site/configuration", "5 ledger");
    store.faultOf = [](CallKind) { return CallFault::None; };
    CHECK(runUntil([&] { return directory.view()->configuration.version == 5; }));
}

TEST_CASE_METHOD(OrdersFixture, "weight orders, of an engine that leaves the registry during its load, end the load and begin no other")
{
    startOrders();
    CHECK(ended == 0);
    store.put("targets/a", "garbage");
    CHECK(runUntil([&] { return ended == 1; }));
    for (int turn = 0; turn < 30; ++turn) {
        orders->tick();
        settle();
    }
    CHECK(ended == 1);
}

TEST_CASE_METHOD(OrdersFixture, "weight orders, of an engine that starts again elsewhere during its load, end that load")
{
    startOrders();
    store.put("targets/a", "ledger 127.0.0.1:2 ready draft 1 99");
    CHECK(runUntil([&] { return ended >= 1; }));
}

TEST_CASE_METHOD(OrdersFixture, "weight orders, of an engine that does not answer, give its turn to another")
{
    startOrders();
    CHECK(runUntil([&] { return ended >= 1; }));
}

TEST_CASE_METHOD(CandidatesFixture, "coordination, of two candidates, passes to the other one when the holder hands over")
{
    startBoth();
    CHECK_FALSE(second->isCoordinating());
    const auto left = startTask(context.get_executor(), leave(first));
    CHECK(runUntil([&] { return second->isCoordinating(); }));
    CHECK(left->has_value());
    CHECK_FALSE(first->isCoordinating());
    const auto ended = startTask(context.get_executor(), leave(second));
    CHECK(runUntil([&] { return ended->has_value(); }));
}

TEST_CASE_METHOD(CandidatesFixture, "coordination, whose lease lapsed while nobody else held it, goes on with its work under a new number")
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
    const auto ended = startTask(context.get_executor(), leave(second));
    const auto left = startTask(context.get_executor(), leave(first));
    CHECK(runUntil([&] { return ended->has_value() && left->has_value(); }));
}

TEST_CASE_METHOD(CandidatesFixture, "coordination, of a host whose earlier process left its record behind, takes it over at once")
{
    start();
    const auto left = store.put("coordinator/holder", "first 1-1");
    first->start();
    CHECK(runUntil([&] { return first->isCoordinating(); }));
    CHECK(store.entries().at("coordinator/holder").revision > left);
    const auto ended = startTask(context.get_executor(), leave(first));
    CHECK(runUntil([&] { return ended->has_value(); }));
}

TEST_CASE_METHOD(CutCandidateFixture, "coordination, of a host that the store turns away, ends when another candidate says who took over")
{
    startAndCut();
    // An older record says nothing.
    reply = holderRecord("second 1-1", own - 1);
    CHECK_FALSE(advanceUntil([&] { return isOver(); }, 3s));
    reply = holderRecord("second 1-1", own + 1);
    CHECK(advanceUntil([&] { return isOver(); }, 1s));
}

TEST_CASE_METHOD(CutCandidateFixture, "coordination, of a host that reaches neither the store nor another candidate, ends")
{
    startAndCut();
    CHECK(advanceUntil([&] { return isOver(); }, 4s));
}

TEST_CASE_METHOD(CutCandidateFixture, "coordination, of a host that does not know who held the lease meanwhile, waits with its orders")
{
    startAndCut();
    REQUIRE(advanceUntil([&] { return isOver(); }, 4s));
    store.faultOf = [](CallKind) { return CallFault::None; };
    store.put("coordinator/holder", "second 1-1");
    store.forgetHistory();
    Transaction removal;
    removal.removals.push_back("coordinator/holder");
    const auto removed = startTask(context.get_executor(), store.commit(std::move(removal)));
    settle();
    REQUIRE(removed->has_value());
    REQUIRE(advanceUntil([&] { return cut->isCoordinating(); }, 5s));
    CHECK(cut->ordersFrom() > clock.now());
}

TEST_CASE_METHOD(CutCandidateFixture, "coordination, while the other candidates do not reach the store either, goes on")
{
    startAndCut();
    reply = failure(ErrorCode::Unavailable, "not followed now", "mirror");
    CHECK_FALSE(advanceUntil([&] { return isOver(); }, 5s));
}

TEST_CASE("pool choice, of a split route, follows the weights")
{
    SiteRoute route;
    route.pools = { { PoolName("a"), 90 }, { PoolName("b"), 10 } };
    CHECK(choosePool(route, 0.0).value() == "a");
    CHECK(choosePool(route, 0.89).value() == "a");
    CHECK(choosePool(route, 0.91).value() == "b");
    CHECK(choosePool({}, 0.5).isEmpty());
}
