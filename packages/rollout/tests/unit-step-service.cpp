#include "cicadalb/rollout/StepService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

using namespace cicadalb;

namespace {

/// Engines that complete each generation at once, labelled with the set versions.
struct FakeEngines final : EngineClient {
    Task<Result<Generation>> generate(TargetId, GenerationRequest request, TimePoint, std::function<void(std::shared_ptr<GenerationHandle>)>,
        std::function<void(const GenerationProgress&)>) override
    {
        ++generations;
        co_return Generation { request.prompt, 5, versions };
    }
    Task<Result<void>> loadWeights(TargetId, WeightOrder, TimePoint) override { co_return success(); }
    Task<Result<EngineStatus>> status(TargetId, TimePoint) override { co_return EngineStatus {}; }

    std::atomic<std::size_t> generations = 0;
    std::vector<WeightVersion> versions { 7 };
};

struct FakeSelector final : EngineSelector {
    Task<Result<TargetId>> acquire(PoolName, RequestRequirements) override
    {
        const auto current = ++inUse;
        if (current > maximumInUse)
            maximumInUse = current;
        co_return TargetId("e1");
    }
    void release(const PoolName&, const TargetId&, const Completion&) override { --inUse; }
    std::size_t capacity(const PoolName&) const override { return 2; }

    std::atomic<std::size_t> inUse = 0;
    std::atomic<std::size_t> maximumInUse = 0;
};

struct StepServiceFixture {
    boost::asio::io_context context;
    FakeEngines engines;
    FakeSelector selector;
    ManualClock clock;
    StepService service { context.get_executor(), engines, selector, clock, options() };
    StepSpec spec { { TrainerName("drafts"), 4 }, { { "a", "", 3 }, { "b", "", 2 } } };
    PullRequest request { { 4, 1, SampleBitmap(5), 7 }, 64, std::chrono::milliseconds(0) };

    static StepServiceOptions options()
    {
        StepServiceOptions options;
        options.step.firstPullTimeout = std::chrono::milliseconds(0);
        return options;
    }

    Result<Batch> pull()
    {
        spawnPull();
        context.restart();
        context.run();
        return *answer;
    }

    void spawnPull() { boost::asio::co_spawn(context, storePull(), boost::asio::detached); }
    Task<void> storePull()
    {
        auto batch = co_await service.pull(spec.key, request);
        answer.emplace(std::move(batch));
    }

    std::optional<Result<Batch>> answer;
};

} // namespace

TEST_CASE_METHOD(StepServiceFixture, "service, given a step, generates it within the pool's capacity and hands it over")
{
    REQUIRE(service.submit(spec, { PoolName("draft-model") }));
    context.run();
    const auto batch = pull();
    REQUIRE(batch);
    CHECK(batch.value().samples.size() == 5);
    CHECK(batch.value().isDone);
    CHECK(engines.generations == 5);
    CHECK(selector.maximumInUse <= 2);
    CHECK(selector.inUse == 0);
}

TEST_CASE_METHOD(StepServiceFixture, "service, given the same step again, starts nothing twice")
{
    REQUIRE(service.submit(spec, { PoolName("draft-model") }));
    const auto again = service.submit(spec, { PoolName("draft-model") });
    REQUIRE(again);
    CHECK_FALSE(again.value().isNew);
    context.run();
    CHECK(engines.generations == 5);
}

TEST_CASE_METHOD(StepServiceFixture, "pull, of a step that was not submitted to this host, fails with StepUnknown")
{
    CHECK(pull().error().code == ErrorCode::StepUnknown);
}

TEST_CASE_METHOD(StepServiceFixture, "pull, waiting for samples, returns as soon as one is ready")
{
    request.maximumWait = std::chrono::minutes(10);
    REQUIRE(service.submit(spec, { PoolName("draft-model") }));
    const auto batch = pull();
    REQUIRE(batch);
    CHECK_FALSE(batch.value().samples.empty());
}

TEST_CASE_METHOD(StepServiceFixture, "service, stopped, refuses steps and pulls")
{
    REQUIRE(service.submit(spec, { PoolName("draft-model") }));
    service.stop();
    CHECK(pull().error().code == ErrorCode::HostStopping);
    CHECK(service.submit(spec, { PoolName("draft-model") }).error().code == ErrorCode::HostStopping);
}

TEST_CASE_METHOD(StepServiceFixture, "service, whose engine leaves tokens unlabelled, hands over nothing until the engine labels them")
{
    engines.versions = {};
    REQUIRE(service.submit(spec, { PoolName("draft-model") }));
    context.run();
    CHECK(pull().value().samples.empty());
    const auto unlabelled = service.progress().at(0).discarded[static_cast<std::size_t>(DiscardCause::Unlabelled)];
    CHECK(unlabelled >= 5);
    engines.versions = { 7 };
    clock.advance(std::chrono::seconds(10));
    service.tick();
    context.restart();
    context.run();
    CHECK(pull().value().isDone);
}

TEST_CASE_METHOD(StepServiceFixture, "service, on several threads with steps of several trainers, generates each sample once")
{
    constexpr StepNumber stepCount = 20;
    for (StepNumber step = 1; step <= stepCount; ++step) {
        StepSpec other { { TrainerName("trainer-" + std::to_string(step % 3)), step }, { { "a", "", 50 } } };
        REQUIRE(service.submit(other, { PoolName("draft-model"), 1.0 + static_cast<double>(step % 3) }));
    }
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < 4; ++i)
        threads.emplace_back([this] { context.run(); });
    for (auto& thread : threads)
        thread.join();
    CHECK(engines.generations == stepCount * 50);
    CHECK(selector.inUse == 0);
    CHECK(selector.maximumInUse <= 2);
    for (const auto& progress : service.progress())
        CHECK(progress.ready == 50);
}
