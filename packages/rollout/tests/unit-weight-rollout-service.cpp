#include "cicadalb/rollout/WeightRolloutService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace cicadalb;

namespace {

constexpr std::size_t maximumTurns = 10000;

struct SwappingEngines final : EngineClient {
    Task<Result<Generation>> generate(TargetId, GenerationRequest, TimePoint, std::function<void(std::shared_ptr<GenerationHandle>)>,
        std::function<void(const GenerationProgress&)>) override
    {
        co_return failure(ErrorCode::NotSent, "not asked for");
    }
    Task<Result<void>> loadWeights(TargetId engine, WeightOrder order, TimePoint) override
    {
        ++orders;
        versions[engine] = order.version;
        fence = order.fence;
        co_return success();
    }
    Task<Result<EngineStatus>> status(TargetId engine, TimePoint) override
    {
        const auto version = versions[engine];
        co_return EngineStatus { version };
    }

    std::map<TargetId, WeightVersion> versions;
    FencingNumber fence = 0;
    unsigned orders = 0;
};

/// Permits the first calls only, as a lease that runs out while the process is paused.
struct FakePermit final : OrderPermit {
    std::optional<FencingNumber> permit(FenceCheck, Duration) const override
    {
        return callsLeft-- > 0 ? std::optional<FencingNumber>(9) : std::nullopt;
    }

    mutable int callsLeft = 1000000;
};

struct WeightRolloutServiceFixture {
    WeightRolloutServiceFixture()
    {
        WeightRolloutOptions options;
        options.model = "draft-model";
        service = std::make_unique<WeightRolloutService>(context.get_executor(), engines, permit, std::make_shared<LoadBudget>(100, 100, clock.now()), clock, options);
        service->setEngines({ TargetId("e1"), TargetId("e2"), TargetId("e3") });
        service->want(4);
        boost::asio::co_spawn(context, service->run(), boost::asio::detached);
    }

    bool isSettled() const
    {
        const auto views = service->engines();
        return std::all_of(views.begin(), views.end(), [](const auto& view) { return view.state == SwapState::InForce; });
    }

    boost::asio::io_context context;
    SwappingEngines engines;
    FakePermit permit;
    ManualClock clock;
    std::unique_ptr<WeightRolloutService> service;
};

} // namespace

TEST_CASE_METHOD(WeightRolloutServiceFixture, "rollout service, permitted to order, swaps every engine once under its number")
{
    for (std::size_t turn = 0; turn < maximumTurns && !isSettled(); ++turn)
        context.run_one();
    service->stop();
    context.run();
    CHECK(isSettled());
    CHECK(engines.orders == 3);
    CHECK(engines.fence == 9);
}

TEST_CASE_METHOD(WeightRolloutServiceFixture, "rollout service, whose permit ends between planning and sending, sends nothing")
{
    // Asked once by the loop and once for the planning.
    permit.callsLeft = 2;
    for (std::size_t turn = 0; turn < 20; ++turn)
        context.poll_one();
    service->stop();
    context.run();
    CHECK(engines.orders == 0);
}
