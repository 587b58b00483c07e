#include "FakeSiteProtocol.h"
#include "WeightOrders.h"

#include "cicadalb/services/FakeKeyValueService.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Weight orders for nine engines and three models. Orders are never allowed, so that no engine is called.
struct StarvedModelFixture {
    const ModelName first { "first" };
    const ModelName second { "second" };
    const ModelName third { "third" };
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    WorkerPool worker { 1 };
    TargetClients clients { worker };
    SampleScheduler scheduler;
    std::shared_ptr<WeightOrders> orders;
    unsigned submissions = 0;

    StarvedModelFixture()
    {
        clock.advance(1h);
        store.put("site/configuration", "4 drafts first second third");
        std::vector<SchedulableEngine> engines;
        for (int i = 0; i < 9; ++i) {
            const auto id = "e" + std::to_string(i);
            store.put("targets/" + id, "drafts 127.0.0.1:1 ready first 1 100 r1");
            engines.push_back({ TargetId(id), PoolName("drafts"), 4, { { "first", 1 }, { "second", 1 }, { "third", 1 } }, SoftwareVersion("r1"), 1 });
        }
        scheduler.setEngines(engines);
    }

    ~StarvedModelFixture()
    {
        if (orders)
            orders->stop();
        directory.setChangeHandler({});
        directory.stop();
        advance(60s);
        worker.stop();
    }

    void advance(Duration time)
    {
        store.advance(time);
        context.restart();
        context.poll();
    }

    void start()
    {
        directory.start();
        advance(0s);
        const WeightOrderHooks hooks { [] { return false; }, [] {}, [](const TargetId&) {}, [] {} };
        orders = std::make_shared<WeightOrders>(context.get_executor(), store, protocol, directory, clients, scheduler, clock, WeightOrderSettings {}, hooks);
        orders->start();
        advance(0s);
    }

    /// @return the submission, which waits
    SubmissionId submit(const ModelName& model, double tokens)
    {
        Submission submission;
        submission.id = SubmissionId("step-" + std::to_string(++submissions));
        submission.model = model;
        submission.items.emplace_back();
        submission.items.back().id = ItemId(submission.id.value());
        submission.items.back().lengthHint = tokens;
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 60s;
        policy.expiresAt = clock.now() + 60s;
        policy.pools = { PoolName("drafts") };
        scheduler.add(submission, policy, {});
        return submission.id;
    }

    void tickFor(Duration time)
    {
        for (const auto until = clock.now() + time; clock.now() < until;) {
            advance(100ms);
            orders->tick();
        }
    }

    std::size_t engineCount(const ModelName& model) const
    {
        std::size_t count = 0;
        for (int i = 0; i < 9; ++i)
            count += orders->assignedModel(TargetId("e" + std::to_string(i))) == model ? 1 : 0;
        return count;
    }
};

constexpr double fewTokens = 100;
constexpr double manyTokens = 1000000;

} // namespace

// Guards against shares of engines that follow the demand of one instant and stay.
TEST_CASE_METHOD(StarvedModelFixture, "weight orders, demand evens out after an assignment and a model waits with one engine, gives it its share within a step")
{
    (void)submit(first, manyTokens);
    const auto ended = submit(second, fewTokens);
    (void)submit(third, manyTokens);
    start();
    REQUIRE(engineCount(second) == 1);
    (void)scheduler.remove(ended);
    for (unsigned step = 0; step < 4; ++step) {
        (void)submit(second, manyTokens);
        tickFor(1s);
    }
    CHECK(engineCount(second) >= 2);
    CHECK(engineCount(first) >= 2);
    CHECK(engineCount(third) >= 2);
}

TEST_CASE_METHOD(StarvedModelFixture, "weight orders, model has few engines and nothing waits for them, leaves the engines as they are")
{
    const auto one = submit(first, manyTokens);
    const auto two = submit(second, fewTokens);
    start();
    REQUIRE(engineCount(second) == 1);
    (void)scheduler.remove(one);
    (void)scheduler.remove(two);
    (void)scheduler.remove(submit(second, manyTokens));
    tickFor(5s);
    CHECK(engineCount(second) == 1);
}
