#include "Coordination.h"
#include "FakeSiteProtocol.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Two candidates, the first of which coordinates. A test decides whether each of them reaches the targets.
struct CutOffCoordinatorFixture {
    boost::asio::io_context context;
    SteadyClock clock;
    ManualClock storeClock;
    FakeKeyValueService store { context.get_executor(), storeClock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    RequestPermits secondPermits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    bool isFirstReaching = true;
    bool isSecondReaching = true;
    unsigned questions = 0;
    std::shared_ptr<TargetReachability> reachability = std::make_shared<TargetReachability>(
        context.get_executor(), directory, [this](const Endpoint&, std::chrono::milliseconds) -> Task<bool> { co_return isFirstReaching; }, clock, 1);
    MirrorClient others { 1, 0, [](std::size_t, MirrorQuery) -> Task<Result<MirrorReply>> { co_return failure(ErrorCode::NotSent, "not used", "mirror"); }, clock };
    std::shared_ptr<Coordination> first;
    std::shared_ptr<Coordination> second;

    CutOffCoordinatorFixture()
    {
        store.put("site/configuration", "4 ledger draft");
        store.put("targets/a", "ledger 127.0.0.1:1 ready draft 1 100 r1");
        store.put("targets/b", "ledger 127.0.0.1:2 ready draft 1 100 r1");
        CoordinationSettings settings;
        settings.host = HostId("first");
        settings.mirrors = &others;
        settings.samples.reachability = reachability.get();
        settings.reachesTargets = [this](std::size_t) -> Task<bool> {
            ++questions;
            co_return isSecondReaching;
        };
        first = std::make_shared<Coordination>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, settings);
        CoordinationSettings secondSettings;
        secondSettings.host = HostId("second");
        second = std::make_shared<Coordination>(context.get_executor(), store, protocol, directory, clients, secondPermits, *crashGuard, clock, secondSettings);
        directory.start();
        first->start();
        REQUIRE(runUntil([this] { return first->isCoordinating(); }, 5s));
        second->start();
    }

    ~CutOffCoordinatorFixture()
    {
        directory.stop();
        const auto handOver = [](std::shared_ptr<Coordination> leaving) -> Task<bool> {
            co_await leaving->handOver();
            co_return true;
        };
        const auto firstEnded = startTask(context.get_executor(), handOver(first));
        const auto secondEnded = startTask(context.get_executor(), handOver(second));
        CHECK(runUntil([&] { return firstEnded->has_value() && secondEnded->has_value(); }, 5s));
        store.advance(60s);
        runUntil([] { return false; }, 300ms);
    }

    bool runUntil(const std::function<bool()>& condition, Duration time)
    {
        const auto limit = clock.now() + time;
        while (!condition() && clock.now() < limit) {
            context.restart();
            context.run_for(10ms);
        }
        return condition();
    }

    void cutFirstOff()
    {
        isFirstReaching = false;
        const auto examined = startTask(context.get_executor(), reachability->examineFailure(TargetId("a")));
        REQUIRE(runUntil([&] { return examined->has_value(); }, 1s));
        REQUIRE(reachability->isCutOff());
    }
};

} // namespace

TEST_CASE_METHOD(CutOffCoordinatorFixture, "coordinator that reaches no target, hands over to a candidate that reaches them")
{
    cutFirstOff();
    CHECK(runUntil([this] { return second->isCoordinating(); }, 6s));
    CHECK_FALSE(first->isCoordinating());
}

TEST_CASE_METHOD(CutOffCoordinatorFixture, "coordinator that reaches no target while no other candidate does, keeps the lease")
{
    isSecondReaching = false;
    cutFirstOff();
    CHECK(runUntil([this] { return questions >= 3; }, 6s));
    CHECK(first->isCoordinating());
    CHECK_FALSE(second->isCoordinating());
}

TEST_CASE_METHOD(CutOffCoordinatorFixture, "coordinator that reaches targets, is not replaced")
{
    runUntil([] { return false; }, 2500ms);
    CHECK(questions == 0);
    CHECK(first->isCoordinating());
}
