#include "cicadalb/rollout/StepService.h"

#include "Wakeup.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace cicadalb {

namespace {

    constexpr std::size_t shardCount = 16;

    std::optional<Dispatch> nextFirstAttempt(StepCoordinator& coordinator, const EngineObservations& engines, TimePoint now)
    {
        auto dispatches = coordinator.nextDispatches(1, engines, now);
        if (dispatches.empty())
            return std::nullopt;
        return std::move(dispatches.front());
    }

    std::optional<Dispatch> nextSecondRun(StepCoordinator& coordinator, const EngineObservations& engines, TimePoint now)
    {
        return coordinator.nextSecondRun(engines, now);
    }

    CompletionKind completionKind(const Result<Generation>& result)
    {
        if (result)
            return CompletionKind::Succeeded;
        switch (result.error().code) {
        case ErrorCode::NotSent:
            return CompletionKind::NotRun;
        case ErrorCode::Cancelled:
            return CompletionKind::Abandoned;
        case ErrorCode::OutcomeUnknown:
        case ErrorCode::DeadlineExceeded:
            return CompletionKind::Lost;
        default:
            return CompletionKind::ServerError;
        }
    }

} // namespace

class StepService::Implementation : public std::enable_shared_from_this<StepService::Implementation> {
public:
    Implementation(boost::asio::any_io_executor executor, EngineClient& engines, EngineSelector& selector, const Clock& clock, StepServiceOptions options)
        : m_executor(std::move(executor))
        , m_engines(engines)
        , m_selector(selector)
        , m_clock(clock)
        , m_options(options)
    {
    }

    Result<SubmitReceipt> submit(StepSpec, StepSchedulingOptions);
    Task<Result<Batch>> pull(StepKey, PullRequest);
    void reportWeights(const PoolName&, const TargetId&, WeightVersion);
    void tick();
    Task<void> run();
    void stop();
    std::vector<StepProgress> progress() const;

private:
    struct Step {
        Step(StepSpec spec, StepSchedulingOptions stepScheduling, StepOptions options, TimePoint now)
            : coordinator(std::move(spec), options, now)
            , scheduling(std::move(stepScheduling))
        {
        }

        StepCoordinator coordinator;
        StepSchedulingOptions scheduling;
        std::map<AttemptId, std::shared_ptr<GenerationHandle>> handles;
        std::vector<std::shared_ptr<Wakeup>> waitingPulls;
        bool isFinishLogged = false;
    };

    struct Shard {
        mutable std::mutex mutex;
        std::map<StepKey, Step> steps;
    };

    /// A step that may have generations to start.
    struct Candidate {
        StepKey key;
        PoolName pool;
        double share = 1.0;
    };

    struct PoolUse {
        std::size_t running = 0;
        std::map<TrainerName, std::size_t> runningByTrainer;
    };

    /// Result of one try of a pull; @c wakeup is set if the pull shall wait for it and try again.
    struct PullAttempt {
        Result<Batch> batch;
        std::shared_ptr<Wakeup> wakeup;
    };

    Shard& shardOf(const StepKey& key);
    PullAttempt tryPull(const StepKey&, const PullRequest&, bool mayWait);
    void startGenerations();
    std::vector<Candidate> candidates() const;
    using NextDispatch = std::optional<Dispatch> (*)(StepCoordinator&, const EngineObservations&, TimePoint);
    void startDispatches(std::vector<Candidate>, NextDispatch);
    std::optional<Dispatch> takeDispatch(const Candidate&, NextDispatch);
    void spawn(const Candidate&, Dispatch);
    Task<void> generate(StepKey, PoolName, Dispatch);
    Task<Result<Generation>> runOnEngine(StepKey, PoolName, Dispatch, TargetId);
    void recordStart(const StepKey&, AttemptId, const TargetId&);
    void storeHandle(const StepKey&, AttemptId, std::shared_ptr<GenerationHandle>);
    void recordProgress(const StepKey&, AttemptId, const GenerationProgress&);
    void recordVersion(const PoolName&, const TargetId&, const GenerationProgress&);
    void recordRun(const PoolName&, const TargetId&, unsigned tokens, Duration);
    void finishAttempt(const StepKey&, const PoolName&, AttemptId, const Result<Generation>&);
    void dropAbandonedSteps();
    void freeSlot(const PoolName&, const TrainerName&);

    using Handles = std::vector<std::shared_ptr<GenerationHandle>>;
    void logFinishOnce(Step&) const;
    static Handles takeCancelledHandles(Step&);
    static void cancelAll(const Handles&);
    static std::vector<std::shared_ptr<Wakeup>> takeWaitingPulls(Step&);
    static void notifyAll(const std::vector<std::shared_ptr<Wakeup>>&);

    boost::asio::any_io_executor m_executor;
    EngineClient& m_engines;
    EngineSelector& m_selector;
    const Clock& m_clock;
    StepServiceOptions m_options;
    std::atomic<bool> m_isStopping = false;
    std::array<Shard, shardCount> m_shards;
    /// Locked before a shard's mutex, never after it.
    std::mutex m_poolsMutex;
    std::map<PoolName, PoolUse> m_pools;
    /// Locked after all other mutexes.
    std::mutex m_observationsMutex;
    std::map<PoolName, EngineObservations> m_observations;
};

StepService::Implementation::Shard& StepService::Implementation::shardOf(const StepKey& key)
{
    return m_shards[placementHash(key.trainer.value(), key.step) % shardCount];
}

Result<SubmitReceipt> StepService::Implementation::submit(StepSpec spec, StepSchedulingOptions scheduling)
{
    if (m_isStopping)
        return failure(ErrorCode::HostStopping, "the host is stopping");
    const auto key = spec.key;
    SubmitReceipt receipt { key, spec.sampleCount(), true };
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found != shard.steps.end()) {
            const auto same = found->second.coordinator.resubmit(spec);
            if (!same)
                return same.as_failure();
            receipt.isNew = false;
            return receipt;
        }
        auto options = m_options.step;
        options.stalenessWeight = scheduling.stalenessWeight;
        shard.steps.emplace(std::piecewise_construct, std::forward_as_tuple(key),
            std::forward_as_tuple(std::move(spec), std::move(scheduling), options, m_clock.now()));
    }
    logEvent(Event::StepSubmitted, { { "trainer", key.trainer.value() }, { "step", std::to_string(key.step) }, { "samples", std::to_string(receipt.samples) } });
    startGenerations();
    return receipt;
}

StepService::Implementation::PullAttempt StepService::Implementation::tryPull(const StepKey& key, const PullRequest& request, bool mayWait)
{
    PullAttempt attempt { failure(ErrorCode::StepUnknown, "this host does not coordinate the step; submit it again", "step " + std::to_string(key.step)), nullptr };
    if (m_isStopping) {
        attempt.batch = failure(ErrorCode::HostStopping, "the host is stopping");
        return attempt;
    }
    Handles cancelled;
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found == shard.steps.end())
            return attempt;
        auto& step = found->second;
        attempt.batch = step.coordinator.pull(request.cursor, request.maximumSamples, m_clock.now());
        logFinishOnce(step);
        cancelled = takeCancelledHandles(step);
        const bool isEmpty = attempt.batch && attempt.batch.value().samples.empty() && !attempt.batch.value().isDone;
        if (isEmpty && mayWait) {
            attempt.wakeup = std::make_shared<Wakeup>(m_executor);
            step.waitingPulls.push_back(attempt.wakeup);
        }
    }
    cancelAll(cancelled);
    return attempt;
}

void StepService::Implementation::logFinishOnce(Step& step) const
{
    if (step.isFinishLogged || !step.coordinator.isReceived())
        return;
    step.isFinishLogged = true;
    const auto progress = step.coordinator.progress(m_clock.now());
    logEvent(Event::StepFinished, { { "trainer", progress.key.trainer.value() }, { "step", std::to_string(progress.key.step) }, { "tokens", std::to_string(progress.tokensKept) }, { "discarded", std::to_string(progress.tokensDiscarded) } });
}

Task<Result<Batch>> StepService::Implementation::pull(StepKey key, PullRequest request)
{
    const auto waitDeadline = m_clock.now() + request.maximumWait;
    while (true) {
        const auto remaining = waitDeadline - m_clock.now();
        auto attempt = tryPull(key, request, remaining > Duration::zero());
        // The pull may have discarded stale samples or reset received ones; these wait for an engine again.
        startGenerations();
        if (!attempt.wakeup)
            co_return std::move(attempt.batch);
        co_await attempt.wakeup->wait(remaining);
    }
}

std::vector<StepService::Implementation::Candidate> StepService::Implementation::candidates() const
{
    std::vector<Candidate> candidates;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [key, step] : shard.steps) {
            if (!step.coordinator.isReceived())
                candidates.push_back({ key, step.scheduling.pool, step.scheduling.share });
        }
    }
    return candidates;
}

void StepService::Implementation::startGenerations()
{
    if (m_isStopping)
        return;
    const std::lock_guard lock(m_poolsMutex);
    const auto steps = candidates();
    startDispatches(steps, nextFirstAttempt);
    // Second runs get only the slots that no waiting sample of any trainer could use.
    startDispatches(steps, nextSecondRun);
}

void StepService::Implementation::startDispatches(std::vector<Candidate> remainingCandidates, NextDispatch nextDispatch)
{
    while (!remainingCandidates.empty()) {
        // The trainer with the fewest running generations in the pool relative to its share comes first; of one trainer, its first candidate.
        const auto weightedUse = [this](const Candidate& candidate) {
            const auto running = m_pools[candidate.pool].runningByTrainer[candidate.key.trainer];
            return static_cast<double>(running) / std::max(candidate.share, std::numeric_limits<double>::min());
        };
        const auto next = std::min_element(remainingCandidates.begin(), remainingCandidates.end(),
            [&](const auto& left, const auto& right) { return weightedUse(left) < weightedUse(right); });
        auto& use = m_pools[next->pool];
        const bool isFull = use.running >= m_selector.capacity(next->pool);
        auto dispatch = isFull ? std::nullopt : takeDispatch(*next, nextDispatch);
        if (!dispatch) {
            remainingCandidates.erase(next);
            continue;
        }
        ++use.running;
        ++use.runningByTrainer[next->key.trainer];
        spawn(*next, std::move(*dispatch));
    }
}

std::optional<Dispatch> StepService::Implementation::takeDispatch(const Candidate& candidate, NextDispatch nextDispatch)
{
    auto& shard = shardOf(candidate.key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.steps.find(candidate.key);
    if (found == shard.steps.end())
        return std::nullopt;
    const std::lock_guard observationsLock(m_observationsMutex);
    return nextDispatch(found->second.coordinator, m_observations[candidate.pool], m_clock.now());
}

void StepService::Implementation::spawn(const Candidate& candidate, Dispatch dispatch)
{
    // Posted, since a coroutine runs up to its first suspension immediately and the caller holds m_poolsMutex.
    boost::asio::post(m_executor, [self = shared_from_this(), candidate, dispatch = std::move(dispatch)] {
        auto task = self->generate(candidate.key, candidate.pool, dispatch);
        boost::asio::co_spawn(self->m_executor, std::move(task), [self](const std::exception_ptr& thrown) {
            if (thrown)
                std::rethrow_exception(thrown);
        });
    });
}

Task<void> StepService::Implementation::generate(StepKey key, PoolName pool, Dispatch dispatch)
{
    const auto attempt = dispatch.attempt;
    RequestRequirements requirements;
    requirements.priority = Priority::Training;
    requirements.deadline = m_clock.now() + m_options.attemptTimeout;
    requirements.affinity = dispatch.affinity;
    requirements.excluded = dispatch.excluded;
    auto engine = co_await m_selector.acquire(pool, std::move(requirements));
    if (!engine) {
        const Result<Generation> refused = engine.as_failure();
        finishAttempt(key, pool, attempt, refused);
        co_return;
    }
    const auto target = engine.value();
    auto result = co_await runOnEngine(key, pool, std::move(dispatch), target);
    finishAttempt(key, pool, attempt, result);
}

Task<Result<Generation>> StepService::Implementation::runOnEngine(StepKey key, PoolName pool, Dispatch dispatch, TargetId target)
{
    const auto attempt = dispatch.attempt;
    const auto begin = m_clock.now();
    recordStart(key, attempt, target);
    auto self = shared_from_this();
    std::function<void(std::shared_ptr<GenerationHandle>)> onStart = [self, key, attempt](std::shared_ptr<GenerationHandle> handle) {
        self->storeHandle(key, attempt, std::move(handle));
    };
    std::function<void(const GenerationProgress&)> onProgress = [self, key, pool, target, attempt](const GenerationProgress& progress) {
        self->recordVersion(pool, target, progress);
        self->recordProgress(key, attempt, progress);
    };
    auto result = co_await m_engines.generate(target, std::move(dispatch.request), begin + m_options.attemptTimeout, std::move(onStart), std::move(onProgress));
    if (result)
        recordRun(pool, target, result.value().tokens, m_clock.now() - begin);
    m_selector.release(pool, target, { completionKind(result), m_clock.now() - begin });
    co_return result;
}

void StepService::Implementation::recordVersion(const PoolName& pool, const TargetId& engine, const GenerationProgress& progress)
{
    if (progress.version == 0)
        return;
    const std::lock_guard lock(m_observationsMutex);
    m_observations[pool].recordChunk(engine, progress.version, m_clock.now());
}

void StepService::Implementation::reportWeights(const PoolName& pool, const TargetId& engine, WeightVersion version)
{
    const std::lock_guard lock(m_observationsMutex);
    m_observations[pool].recordReport(engine, version, m_clock.now());
}

void StepService::Implementation::recordRun(const PoolName& pool, const TargetId& engine, unsigned tokens, Duration elapsed)
{
    const std::lock_guard lock(m_observationsMutex);
    m_observations[pool].recordRun(engine, tokens, elapsed);
}

void StepService::Implementation::recordStart(const StepKey& key, AttemptId attempt, const TargetId& target)
{
    auto& shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.steps.find(key);
    if (found != shard.steps.end())
        found->second.coordinator.onStarted(attempt, target, m_clock.now());
}

void StepService::Implementation::storeHandle(const StepKey& key, AttemptId attempt, std::shared_ptr<GenerationHandle> handle)
{
    bool isNeeded = false;
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found != shard.steps.end()) {
            isNeeded = !m_isStopping && found->second.coordinator.isNeeded(attempt);
            found->second.handles[attempt] = handle;
        }
    }
    if (!isNeeded)
        handle->cancel();
}

void StepService::Implementation::recordProgress(const StepKey& key, AttemptId attempt, const GenerationProgress& progress)
{
    Handles cancelled;
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found == shard.steps.end())
            return;
        auto& step = found->second;
        const bool isNeeded = step.coordinator.onProgress(attempt, progress, m_clock.now());
        cancelled = takeCancelledHandles(step);
        const auto own = step.handles.find(attempt);
        if (!isNeeded && own != step.handles.end())
            cancelled.push_back(own->second);
    }
    cancelAll(cancelled);
}

void StepService::Implementation::finishAttempt(const StepKey& key, const PoolName& pool, AttemptId attempt, const Result<Generation>& result)
{
    Handles cancelled;
    std::vector<std::shared_ptr<Wakeup>> waitingPulls;
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found != shard.steps.end()) {
            auto& step = found->second;
            step.handles.erase(attempt);
            step.coordinator.onResult(attempt, result, m_clock.now());
            cancelled = takeCancelledHandles(step);
            waitingPulls = takeWaitingPulls(step);
        }
    }
    cancelAll(cancelled);
    notifyAll(waitingPulls);
    freeSlot(pool, key.trainer);
    startGenerations();
}

void StepService::Implementation::freeSlot(const PoolName& pool, const TrainerName& trainer)
{
    const std::lock_guard lock(m_poolsMutex);
    auto& use = m_pools[pool];
    --use.running;
    --use.runningByTrainer[trainer];
}

StepService::Implementation::Handles StepService::Implementation::takeCancelledHandles(Step& step)
{
    Handles handles;
    for (const auto attempt : step.coordinator.takeCancellations()) {
        const auto found = step.handles.find(attempt);
        if (found != step.handles.end())
            handles.push_back(found->second);
    }
    return handles;
}

void StepService::Implementation::cancelAll(const Handles& handles)
{
    for (const auto& handle : handles)
        handle->cancel();
}

std::vector<std::shared_ptr<Wakeup>> StepService::Implementation::takeWaitingPulls(Step& step)
{
    return std::exchange(step.waitingPulls, {});
}

void StepService::Implementation::notifyAll(const std::vector<std::shared_ptr<Wakeup>>& waitingPulls)
{
    for (const auto& wakeup : waitingPulls)
        wakeup->notify();
}

void StepService::Implementation::dropAbandonedSteps()
{
    const auto now = m_clock.now();
    for (auto& shard : m_shards) {
        Handles cancelled;
        {
            const std::lock_guard lock(shard.mutex);
            for (auto step = shard.steps.begin(); step != shard.steps.end();) {
                const auto& coordinator = step->second.coordinator;
                const auto lastActivity = std::max(coordinator.lastPull(), coordinator.deadline());
                if (now - lastActivity <= m_options.abandonTimeout) {
                    ++step;
                    continue;
                }
                for (const auto& [attempt, handle] : step->second.handles)
                    cancelled.push_back(handle);
                step = shard.steps.erase(step);
            }
        }
        cancelAll(cancelled);
    }
}

void StepService::Implementation::tick()
{
    dropAbandonedSteps();
    startGenerations();
}

Task<void> StepService::Implementation::run()
{
    auto self = shared_from_this();
    while (!m_isStopping) {
        tick();
        Wakeup pause(m_executor);
        co_await pause.wait(m_options.tickInterval);
    }
}

void StepService::Implementation::stop()
{
    m_isStopping = true;
    for (auto& shard : m_shards) {
        Handles cancelled;
        std::vector<std::shared_ptr<Wakeup>> waitingPulls;
        {
            const std::lock_guard lock(shard.mutex);
            for (auto& [key, step] : shard.steps) {
                for (const auto& [attempt, handle] : step.handles)
                    cancelled.push_back(handle);
                const auto stepPulls = takeWaitingPulls(step);
                waitingPulls.insert(waitingPulls.end(), stepPulls.begin(), stepPulls.end());
            }
        }
        cancelAll(cancelled);
        notifyAll(waitingPulls);
    }
}

std::vector<StepProgress> StepService::Implementation::progress() const
{
    std::vector<StepProgress> all;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [key, step] : shard.steps)
            all.push_back(step.coordinator.progress(m_clock.now()));
    }
    return all;
}

StepService::StepService(boost::asio::any_io_executor executor, EngineClient& engines, EngineSelector& selector, const Clock& clock, StepServiceOptions options)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), engines, selector, clock, options))
{
}

StepService::~StepService()
{
    m_implementation->stop();
}

Result<SubmitReceipt> StepService::submit(StepSpec spec, StepSchedulingOptions scheduling)
{
    return m_implementation->submit(std::move(spec), std::move(scheduling));
}

Task<Result<Batch>> StepService::pull(StepKey key, PullRequest request)
{
    return m_implementation->pull(std::move(key), std::move(request));
}

void StepService::reportWeights(const PoolName& pool, const TargetId& engine, WeightVersion version)
{
    m_implementation->reportWeights(pool, engine, version);
}

void StepService::tick()
{
    m_implementation->tick();
}

Task<void> StepService::run()
{
    return m_implementation->run();
}

void StepService::stop()
{
    m_implementation->stop();
}

std::vector<StepProgress> StepService::progress() const
{
    return m_implementation->progress();
}

} // namespace cicadalb
