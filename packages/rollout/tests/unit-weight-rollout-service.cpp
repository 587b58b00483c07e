#include "cicadalb/rollout/WeightRolloutService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace cicadalb;

namespace {

constexpr std::size_t maximumHandlers = 10000;

struct SwappingEngines final : EngineClient {
    Task<Result<Generation>> generate(TargetId, GenerationRequest, TimePoint, std::function<void(std::shared_ptr<GenerationHandle>)>,
        std::function<void(const GenerationProgress&)>) override
    {
        co_return failure(ErrorCode::NotSent, "this fake generates nothing");
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

/// Permits only the first calls, like a lease that expires while the process is paused.
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
        service = std::make_unique<WeightRolloutService>(context.get_executor(), engines, permit, std::make_shared<WeightLoadLimiter>(100, 100, clock.now()), clock, options);
        service->setEngines({ TargetId("e1"), TargetId("e2"), TargetId("e3") });
        service->setDesiredVersion(4);
        boost::asio::co_spawn(context, service->run(), boost::asio::detached);
    }

    bool isSettled() const
    {
        const auto statuses = service->engines();
        return std::all_of(statuses.begin(), statuses.end(), [](const auto& status) { return status.state == SwapState::InForce; });
    }

    boost::asio::io_context context;
    SwappingEngines engines;
    FakePermit permit;
    ManualClock clock;
    std::unique_ptr<WeightRolloutService> service;
};

} // namespace

TEST_CASE_METHOD(WeightRolloutServiceFixture, "rollout service, permitted to send orders, swaps every engine once under its fencing number")
{
    for (std::size_t handler = 0; handler < maximumHandlers && !isSettled(); ++handler)
        context.run_one();
    service->stop();
    context.run();
    CHECK(isSettled());
    CHECK(engines.orders == 3);
    CHECK(engines.fence == 9);
}

TEST_CASE_METHOD(WeightRolloutServiceFixture, "rollout service, whose permit ends between planning and sending an order, sends nothing")
{
    // The run loop asks once, and planning the orders asks once.
    permit.callsLeft = 2;
    for (std::size_t handler = 0; handler < 20; ++handler)
        context.poll_one();
    service->stop();
    context.run();
    CHECK(engines.orders == 0);
}
