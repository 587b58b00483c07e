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

    std::optional<Dispatch> firstAttempt(StepCoordinator& coordinator, const EngineObservations& engines, TimePoint now)
    {
        auto dispatches = coordinator.nextDispatches(1, engines, now);
        if (dispatches.empty())
            return std::nullopt;
        return std::move(dispatches.front());
    }

    std::optional<Dispatch> secondRun(StepCoordinator& coordinator, const EngineObservations& engines, TimePoint now)
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

    Result<SubmitReceipt> submit(StepSpec, StepTerms);
    Task<Result<Batch>> pull(StepKey, PullRequest);
    void reportWeights(const PoolName&, const TargetId&, WeightVersion);
    void tick();
    Task<void> run();
    void stop();
    std::vector<StepProgress> progress() const;

private:
    struct Step {
        Step(StepSpec spec, StepTerms stepTerms, StepOptions options, TimePoint now)
            : coordinator(std::move(spec), options, now)
            , terms(std::move(stepTerms))
        {
        }

        StepCoordinator coordinator;
        StepTerms terms;
        std::map<AttemptId, std::shared_ptr<GenerationHandle>> handles;
        std::vector<std::shared_ptr<Wakeup>> waiting;
        bool isFinishLogged = false;
    };

    struct Shard {
        mutable std::mutex mutex;
        std::map<StepKey, Step> steps;
    };

    /// A step that could use a slot.
    struct Candidate {
        StepKey key;
        PoolName pool;
        double share = 1.0;
    };

    struct PoolUse {
        std::size_t running = 0;
        std::map<TrainerName, std::size_t> runningByTrainer;
    };

    /// What a pull found.
    struct PullAttempt {
        Result<Batch> batch;
        std::shared_ptr<Wakeup> wakeup;
    };

    Shard& shardOf(const StepKey& key);
    PullAttempt tryPull(const StepKey&, const PullRequest&, bool mayWait);
    void startGenerations();
    std::vector<Candidate> candidates() const;
    using Take = std::optional<Dispatch> (*)(StepCoordinator&, const EngineObservations&, TimePoint);
    void startFrom(std::vector<Candidate>, Take);
    std::optional<Dispatch> takeDispatch(const Candidate&, Take);
    void spawn(const Candidate&, Dispatch);
    Task<void> generate(StepKey, PoolName, Dispatch);
    Task<Result<Generation>> runOnEngine(StepKey, PoolName, Dispatch, TargetId);
    void started(const StepKey&, AttemptId, const TargetId&);
    void hasHandle(const StepKey&, AttemptId, std::shared_ptr<GenerationHandle>);
    void progressed(const StepKey&, AttemptId, const GenerationProgress&);
    void observe(const PoolName&, const TargetId&, const GenerationProgress&);
    void observeRun(const PoolName&, const TargetId&, unsigned tokens, Duration);
    void finished(const StepKey&, const PoolName&, AttemptId, const Result<Generation>&);
    void dropAbandoned();
    void freeSlot(const PoolName&, const TrainerName&);

    using Handles = std::vector<std::shared_ptr<GenerationHandle>>;
    void logFinish(Step&) const;
    static Handles cancelledHandles(Step&);
    static void cancelAll(const Handles&);
    static std::vector<std::shared_ptr<Wakeup>> takeWaiting(Step&);
    static void notifyAll(const std::vector<std::shared_ptr<Wakeup>>&);

    boost::asio::any_io_executor m_executor;
    EngineClient& m_engines;
    EngineSelector& m_selector;
    const Clock& m_clock;
    StepServiceOptions m_options;
    std::atomic<bool> m_isStopping = false;
    std::array<Shard, shardCount> m_shards;
    /// Taken before a shard's lock, never after it.
    std::mutex m_poolsMutex;
    std::map<PoolName, PoolUse> m_pools;
    /// Taken last.
    std::mutex m_enginesMutex;
    std::map<PoolName, EngineObservations> m_observations;
};

StepService::Implementation::Shard& StepService::Implementation::shardOf(const StepKey& key)
{
    return m_shards[placementHash(key.trainer.value(), key.step) % shardCount];
}

Result<SubmitReceipt> StepService::Implementation::submit(StepSpec spec, StepTerms terms)
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
        options.stalenessWeight = terms.stalenessWeight;
        shard.steps.emplace(std::piecewise_construct, std::forward_as_tuple(key),
            std::forward_as_tuple(std::move(spec), std::move(terms), options, m_clock.now()));
    }
    logEvent(Event::StepSubmitted, { { "trainer", key.trainer.value() }, { "step", std::to_string(key.step) }, { "samples", std::to_string(receipt.samples) } });
    startGenerations();
    return receipt;
}

StepService::Implementation::PullAttempt StepService::Implementation::tryPull(const StepKey& key, const PullRequest& request, bool mayWait)
{
    PullAttempt attempt { failure(ErrorCode::StepUnknown, "submit the step again", "step " + std::to_string(key.step)), nullptr };
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
        attempt.batch = step.coordinator.pull(request.cursor, request.maximum, m_clock.now());
        logFinish(step);
        cancelled = cancelledHandles(step);
        const bool isEmpty = attempt.batch && attempt.batch.value().samples.empty() && !attempt.batch.value().isDone;
        if (isEmpty && mayWait) {
            attempt.wakeup = std::make_shared<Wakeup>(m_executor);
            step.waiting.push_back(attempt.wakeup);
        }
    }
    cancelAll(cancelled);
    return attempt;
}

void StepService::Implementation::logFinish(Step& step) const
{
    if (step.isFinishLogged || !step.coordinator.isReceived())
        return;
    step.isFinishLogged = true;
    const auto progress = step.coordinator.progress(m_clock.now());
    logEvent(Event::StepFinished, { { "trainer", progress.key.trainer.value() }, { "step", std::to_string(progress.key.step) }, { "tokens", std::to_string(progress.tokensKept) }, { "discarded", std::to_string(progress.tokensDiscarded) } });
}

Task<Result<Batch>> StepService::Implementation::pull(StepKey key, PullRequest request)
{
    const auto patienceEnd = m_clock.now() + request.patience;
    while (true) {
        const auto left = patienceEnd - m_clock.now();
        auto attempt = tryPull(key, request, left > Duration::zero());
        // What the pull discarded or freed can be generated again.
        startGenerations();
        if (!attempt.wakeup)
            co_return std::move(attempt.batch);
        co_await attempt.wakeup->wait(left);
    }
}

std::vector<StepService::Implementation::Candidate> StepService::Implementation::candidates() const
{
    std::vector<Candidate> candidates;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [key, step] : shard.steps) {
            if (!step.coordinator.isReceived())
                candidates.push_back({ key, step.terms.pool, step.terms.share });
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
    startFrom(steps, firstAttempt);
    // Only places that no waiting sample of any trainer could use.
    startFrom(steps, secondRun);
}

void StepService::Implementation::startFrom(std::vector<Candidate> open, Take take)
{
    while (!open.empty()) {
        // The trainer with the least use of the pool for its share comes first; of one trainer, the oldest step.
        const auto weightedUse = [this](const Candidate& candidate) {
            const auto running = m_pools[candidate.pool].runningByTrainer[candidate.key.trainer];
            return static_cast<double>(running) / std::max(candidate.share, std::numeric_limits<double>::min());
        };
        const auto next = std::min_element(open.begin(), open.end(),
            [&](const auto& left, const auto& right) { return weightedUse(left) < weightedUse(right); });
        auto& use = m_pools[next->pool];
        const bool isFull = use.running >= m_selector.capacity(next->pool);
        auto dispatch = isFull ? std::nullopt : takeDispatch(*next, take);
        if (!dispatch) {
            open.erase(next);
            continue;
        }
        ++use.running;
        ++use.runningByTrainer[next->key.trainer];
        spawn(*next, std::move(*dispatch));
    }
}

std::optional<Dispatch> StepService::Implementation::takeDispatch(const Candidate& candidate, Take take)
{
    auto& shard = shardOf(candidate.key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.steps.find(candidate.key);
    if (found == shard.steps.end())
        return std::nullopt;
    const std::lock_guard enginesLock(m_enginesMutex);
    return take(found->second.coordinator, m_observations[candidate.pool], m_clock.now());
}

void StepService::Implementation::spawn(const Candidate& candidate, Dispatch dispatch)
{
    // Posted, since a coroutine runs up to its first suspension at once and the caller holds a lock.
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
    Demand demand;
    demand.priority = Priority::Training;
    demand.deadline = m_clock.now() + m_options.attemptTimeout;
    demand.affinity = dispatch.affinity;
    demand.excluded = dispatch.excluded;
    auto engine = co_await m_selector.acquire(pool, std::move(demand));
    if (!engine) {
        const Result<Generation> refused = engine.as_failure();
        finished(key, pool, attempt, refused);
        co_return;
    }
    const auto target = engine.value();
    auto result = co_await runOnEngine(key, pool, std::move(dispatch), target);
    finished(key, pool, attempt, result);
}

Task<Result<Generation>> StepService::Implementation::runOnEngine(StepKey key, PoolName pool, Dispatch dispatch, TargetId target)
{
    const auto attempt = dispatch.attempt;
    const auto begin = m_clock.now();
    started(key, attempt, target);
    auto self = shared_from_this();
    std::function<void(std::shared_ptr<GenerationHandle>)> onStart = [self, key, attempt](std::shared_ptr<GenerationHandle> handle) {
        self->hasHandle(key, attempt, std::move(handle));
    };
    std::function<void(const GenerationProgress&)> onProgress = [self, key, pool, target, attempt](const GenerationProgress& progress) {
        self->observe(pool, target, progress);
        self->progressed(key, attempt, progress);
    };
    auto result = co_await m_engines.generate(target, std::move(dispatch.request), begin + m_options.attemptTimeout, std::move(onStart), std::move(onProgress));
    if (result)
        observeRun(pool, target, result.value().tokens, m_clock.now() - begin);
    m_selector.release(pool, target, { completionKind(result), m_clock.now() - begin });
    co_return result;
}

void StepService::Implementation::observe(const PoolName& pool, const TargetId& engine, const GenerationProgress& progress)
{
    if (progress.version == 0)
        return;
    const std::lock_guard lock(m_enginesMutex);
    m_observations[pool].recordChunk(engine, progress.version, m_clock.now());
}

void StepService::Implementation::reportWeights(const PoolName& pool, const TargetId& engine, WeightVersion version)
{
    const std::lock_guard lock(m_enginesMutex);
    m_observations[pool].recordReport(engine, version, m_clock.now());
}

void StepService::Implementation::observeRun(const PoolName& pool, const TargetId& engine, unsigned tokens, Duration elapsed)
{
    const std::lock_guard lock(m_enginesMutex);
    m_observations[pool].recordRun(engine, tokens, elapsed);
}

void StepService::Implementation::started(const StepKey& key, AttemptId attempt, const TargetId& target)
{
    auto& shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.steps.find(key);
    if (found != shard.steps.end())
        found->second.coordinator.onStarted(attempt, target, m_clock.now());
}

void StepService::Implementation::hasHandle(const StepKey& key, AttemptId attempt, std::shared_ptr<GenerationHandle> handle)
{
    bool isWanted = false;
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found != shard.steps.end()) {
            isWanted = !m_isStopping && found->second.coordinator.isWanted(attempt);
            found->second.handles[attempt] = handle;
        }
    }
    if (!isWanted)
        handle->cancel();
}

void StepService::Implementation::progressed(const StepKey& key, AttemptId attempt, const GenerationProgress& progress)
{
    Handles cancelled;
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found == shard.steps.end())
            return;
        auto& step = found->second;
        const bool isWanted = step.coordinator.onProgress(attempt, progress, m_clock.now());
        cancelled = cancelledHandles(step);
        const auto own = step.handles.find(attempt);
        if (!isWanted && own != step.handles.end())
            cancelled.push_back(own->second);
    }
    cancelAll(cancelled);
}

void StepService::Implementation::finished(const StepKey& key, const PoolName& pool, AttemptId attempt, const Result<Generation>& result)
{
    Handles cancelled;
    std::vector<std::shared_ptr<Wakeup>> waiting;
    {
        auto& shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.steps.find(key);
        if (found != shard.steps.end()) {
            auto& step = found->second;
            step.handles.erase(attempt);
            step.coordinator.onResult(attempt, result, m_clock.now());
            cancelled = cancelledHandles(step);
            waiting = takeWaiting(step);
        }
    }
    cancelAll(cancelled);
    notifyAll(waiting);
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

StepService::Implementation::Handles StepService::Implementation::cancelledHandles(Step& step)
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

std::vector<std::shared_ptr<Wakeup>> StepService::Implementation::takeWaiting(Step& step)
{
    return std::exchange(step.waiting, {});
}

void StepService::Implementation::notifyAll(const std::vector<std::shared_ptr<Wakeup>>& waiting)
{
    for (const auto& wakeup : waiting)
        wakeup->notify();
}

void StepService::Implementation::dropAbandoned()
{
    const auto now = m_clock.now();
    for (auto& shard : m_shards) {
        Handles cancelled;
        {
            const std::lock_guard lock(shard.mutex);
            for (auto step = shard.steps.begin(); step != shard.steps.end();) {
                const auto& coordinator = step->second.coordinator;
                const auto lastUse = std::max(coordinator.lastPull(), coordinator.deadline());
                if (now - lastUse <= m_options.abandonedAfter) {
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
    dropAbandoned();
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
        std::vector<std::shared_ptr<Wakeup>> waiting;
        {
            const std::lock_guard lock(shard.mutex);
            for (auto& [key, step] : shard.steps) {
                for (const auto& [attempt, handle] : step.handles)
                    cancelled.push_back(handle);
                const auto stepWaiting = takeWaiting(step);
                waiting.insert(waiting.end(), stepWaiting.begin(), stepWaiting.end());
            }
        }
        cancelAll(cancelled);
        notifyAll(waiting);
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

Result<SubmitReceipt> StepService::submit(StepSpec spec, StepTerms terms)
{
    return m_implementation->submit(std::move(spec), std::move(terms));
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
