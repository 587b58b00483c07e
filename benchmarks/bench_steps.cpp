#include "cicadalb/base/Hash.h"
#include "cicadalb/base/Random.h"
#include "cicadalb/client/StepReceiver.h"
#include "cicadalb/rollout/StepCoordinator.h"
#include "cicadalb/rollout/WeightRollout.h"
#include "cicadalb/routing/PoolBalancer.h"

#include <CLI/CLI.hpp>
#include <boost/random/lognormal_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Simulates the steps of several trainers on in-memory engines in virtual time, and measures trainer idle time, staleness and
/// duplicated tokens.

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration tickLength = 200ms;
constexpr Duration pullInterval = 1s;
constexpr unsigned maximumTokens = 4096;
/// Lengths of generations in tokens are log-normal with this median and shape parameter, and cut at maximumTokens.
constexpr double medianTokens = 300;
constexpr double lengthSigma = 0.9;
/// Speed of a single generation on the slowest engine; the fastest engine is fastestToSlowestRatio times as fast.
constexpr double slowestTokensPerSecond = 20;
constexpr double fastestToSlowestRatio = 3;
/// Fraction by which each further generation on an engine lengthens the time per token of all its generations.
constexpr double slowdownPerGeneration = 0.03;
constexpr unsigned maximumInFlight = 16;
constexpr unsigned samplesPerGroup = 8;
constexpr Duration swapDuration = 8s;
constexpr Duration prefillDuration = 1s;
/// Number of prefixes that an engine keeps.
constexpr std::size_t prefixCacheCapacity = 32;

struct Scenario {
    unsigned trainerCount = 3;
    unsigned groupsPerStep = 16;
    unsigned engineCount = 10;
    Duration runTime = 1h;
    Duration trainingTime = 120s;
    Duration weightInterval = 180s;
    WeightVersion stalenessBound = 2;
    bool hasEngineFreezes = false;
};

struct Variant {
    std::string name;
    PickPolicy policy = PickPolicy::LeastDelay;
    double duplicatedShare = 0;
    double stalenessWeight = 0;
};

struct Metrics {
    double idleShare = 0;
    double stalenessMean = 0;
    double stalenessP95 = 0;
    double stalenessMax = 0;
    double duplicatedShare = 0;
    double discardedShare = 0;
    double steps = 0;
    double samples = 0;
    double nonemptyBatches = 0;
    double secondRunsPerStep = 0;
};

struct RunningGeneration {
    std::size_t trainer = 0;
    StepNumber step = 0;
    AttemptId attempt = 0;
    double lengthTokens = 0;
    double generatedTokens = 0;
    TimePoint admittedAt {};
    TimePoint prefillUntil {};
    std::vector<WeightVersion> versions;
};

struct Engine {
    TargetId id;
    double tokensPerSecond = 0;
    WeightVersion version = 1;
    TimePoint pausedUntil {};
    std::optional<PlannedOrder> pendingOrder;
    std::vector<RunningGeneration> running;
    std::vector<std::string> cachedPrefixes;
};

struct TrainerState {
    TrainerName name;
    StepNumber step = 0;
    std::unique_ptr<StepCoordinator> coordinator;
    std::unique_ptr<StepReceiver> receiver;
    TimePoint trainsUntil {};
    Duration idleTime {};
};

/// One simulation run.
class StepSimulation {
public:
    StepSimulation(Scenario scenario, Variant variant, std::uint64_t seed)
        : m_scenario(scenario)
        , m_variant(std::move(variant))
        , m_seed(seed)
        , m_random(seed)
        , m_balancer(makePool(), { FailureDomain("salt-lake"), seed, 1024, m_variant.policy }, m_clock.now())
    {
        m_rollout.setEngines(m_engineIds);
        m_rollout.setDesiredVersion(m_newestVersion);
        for (unsigned i = 0; i < scenario.trainerCount; ++i) {
            m_trainers.emplace_back().name = TrainerName("trainer-" + std::to_string(i));
            submitNext(m_trainers.back());
        }
    }

    Metrics run()
    {
        const auto start = m_clock.now();
        const auto end = start + m_scenario.runTime;
        m_nextVersionAt = start + m_scenario.weightInterval;
        m_nextFreezeAt = start + 5min;
        while (m_clock.now() < end) {
            m_clock.advance(tickLength);
            publishWeights();
            swapWeights();
            freezeRandomEngine();
            advanceGenerations();
            advanceTrainers();
            dispatchAttempts();
        }
        return summarize();
    }

private:
    Pool makePool()
    {
        Pool pool;
        pool.kind = TargetKind::ModelEngine;
        pool.maximumInFlight = maximumInFlight;
        for (unsigned i = 0; i < m_scenario.engineCount; ++i) {
            auto& engine = m_engines.emplace_back();
            engine.id = TargetId("engine-" + std::to_string(i));
            engine.tokensPerSecond = slowestTokensPerSecond * (1 + (fastestToSlowestRatio - 1) * i / (m_scenario.engineCount - 1));
            m_engineIds.push_back(engine.id);
            Target target;
            target.id = engine.id;
            target.failureDomain = FailureDomain("salt-lake");
            pool.targets.push_back(target);
        }
        return pool;
    }

    void submitNext(TrainerState& trainer)
    {
        StepSpec spec { { trainer.name, ++trainer.step }, {}, maximumTokens };
        spec.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(m_scenario.trainingTime);
        spec.stalenessBound = m_scenario.stalenessBound;
        for (unsigned group = 0; group < m_scenario.groupsPerStep; ++group)
            spec.groups.push_back({ trainer.name.value() + "/" + std::to_string(trainer.step) + "/" + std::to_string(group), "", samplesPerGroup });
        StepOptions options;
        options.maximumDuplicatedShare = m_variant.duplicatedShare;
        options.stalenessWeight = m_variant.stalenessWeight;
        trainer.coordinator = std::make_unique<StepCoordinator>(spec, options, m_clock.now());
        trainer.receiver = std::make_unique<StepReceiver>(spec, m_newestVersion, m_random());
    }

    void publishWeights()
    {
        if (m_clock.now() < m_nextVersionAt)
            return;
        m_nextVersionAt += m_scenario.weightInterval;
        m_rollout.setDesiredVersion(++m_newestVersion);
        for (auto& trainer : m_trainers)
            trainer.receiver->setWeightVersion(m_newestVersion);
    }

    void swapWeights()
    {
        const auto now = m_clock.now();
        for (auto& engine : m_engines) {
            if (!engine.pendingOrder || engine.pausedUntil > now)
                continue;
            engine.version = engine.pendingOrder->order.version;
            m_rollout.onOrderResult(engine.id, engine.pendingOrder->order, success(), now);
            engine.pendingOrder.reset();
        }
        for (auto& order : m_rollout.nextOrders(1, m_loadBudget, now)) {
            auto& engine = findEngine(order.engine);
            engine.pausedUntil = now + swapDuration;
            engine.pendingOrder = order;
        }
    }

    void freezeRandomEngine()
    {
        if (!m_scenario.hasEngineFreezes || m_clock.now() < m_nextFreezeAt)
            return;
        m_nextFreezeAt += 10min;
        auto& engine = m_engines[randomIndex(m_random, m_engines.size())];
        engine.pausedUntil = m_clock.now() + 2min;
    }

    Engine& findEngine(const TargetId& id)
    {
        return *std::find_if(m_engines.begin(), m_engines.end(), [&id](const auto& engine) { return engine.id == id; });
    }

    StepCoordinator* coordinatorOf(const RunningGeneration& generation)
    {
        auto& trainer = m_trainers[generation.trainer];
        return trainer.step == generation.step ? trainer.coordinator.get() : nullptr;
    }

    void advanceGenerations()
    {
        for (auto& engine : m_engines) {
            if (engine.pausedUntil > m_clock.now())
                continue;
            const auto batch = static_cast<double>(engine.running.size());
            const auto tokens = engine.tokensPerSecond / (1 + slowdownPerGeneration * (batch - 1)) * Seconds(tickLength).count();
            for (auto& generation : engine.running)
                advanceGeneration(engine, generation, tokens);
        }
        cancelUnneeded();
        for (auto& engine : m_engines)
            endCompleted(engine);
    }

    void advanceGeneration(Engine& engine, RunningGeneration& generation, double tokens)
    {
        if (generation.prefillUntil > m_clock.now())
            return;
        generation.generatedTokens = std::min(generation.lengthTokens, generation.generatedTokens + tokens);
        if (generation.versions.empty() || generation.versions.back() != engine.version)
            generation.versions.push_back(engine.version);
        m_observations.recordChunk(engine.id, engine.version, m_clock.now());
        if (auto* coordinator = coordinatorOf(generation))
            coordinator->onProgress(generation.attempt, { static_cast<unsigned>(generation.generatedTokens), engine.version }, m_clock.now());
    }

    void cancelUnneeded()
    {
        for (auto& trainer : m_trainers)
            trainer.coordinator->takeCancellations();
        for (auto& engine : m_engines) {
            const auto isUnneeded = [this](const RunningGeneration& generation) {
                auto* coordinator = coordinatorOf(generation);
                return !coordinator || !coordinator->isNeeded(generation.attempt);
            };
            const auto firstUnneeded = std::stable_partition(engine.running.begin(), engine.running.end(),
                [&](const auto& generation) { return !isUnneeded(generation); });
            std::vector<RunningGeneration> cancelled(firstUnneeded, engine.running.end());
            engine.running.erase(firstUnneeded, engine.running.end());
            for (const auto& generation : cancelled)
                endGeneration(engine, generation, failure(ErrorCode::Cancelled, "cancelled"), CompletionKind::Abandoned);
        }
    }

    void endCompleted(Engine& engine)
    {
        for (std::size_t i = 0; i < engine.running.size();) {
            if (engine.running[i].generatedTokens < engine.running[i].lengthTokens) {
                ++i;
                continue;
            }
            const auto generation = engine.running[i];
            engine.running.erase(engine.running.begin() + static_cast<std::ptrdiff_t>(i));
            m_observations.recordRun(engine.id, static_cast<unsigned>(generation.generatedTokens), m_clock.now() - generation.admittedAt);
            endGeneration(engine, generation, Generation { "", static_cast<unsigned>(generation.generatedTokens), generation.versions }, CompletionKind::Succeeded);
        }
    }

    void endGeneration(Engine& engine, const RunningGeneration& generation, const Result<Generation>& result, CompletionKind kind)
    {
        if (auto* coordinator = coordinatorOf(generation))
            coordinator->onResult(generation.attempt, result, m_clock.now());
        else
            m_orphanedTokens += generation.generatedTokens;
        const auto decisions = m_balancer.recordCompletion(engine.id, { kind, m_clock.now() - generation.admittedAt }, m_clock.now());
        for (const auto& decision : decisions)
            applyDecision(decision);
    }

    void advanceTrainers()
    {
        const auto now = m_clock.now();
        for (auto& trainer : m_trainers) {
            if (now >= m_nextPullAt)
                pullBatch(trainer);
            if (now < trainer.trainsUntil)
                continue;
            if (!trainer.receiver->isComplete()) {
                trainer.idleTime += tickLength;
                continue;
            }
            recordStep(trainer);
            trainer.trainsUntil = now + m_scenario.trainingTime;
            submitNext(trainer);
        }
        if (now >= m_nextPullAt)
            m_nextPullAt = now + pullInterval;
    }

    void pullBatch(TrainerState& trainer)
    {
        auto batch = trainer.coordinator->pull(trainer.receiver->cursor(), maximumSamplesPerStep, m_clock.now());
        const auto samples = trainer.receiver->accept(std::move(batch.value()));
        for (const auto& sample : samples)
            m_staleness.push_back(static_cast<double>(m_newestVersion - sample.versions.front()));
        m_nonemptyBatches += samples.empty() ? 0 : 1;
    }

    /// Adds a complete step to the measurements. The first step of each trainer is a warm-up: it counts neither as a step nor in the
    /// idle and cycle times.
    void recordStep(TrainerState& trainer)
    {
        const auto progress = trainer.coordinator->progress(m_clock.now());
        m_keptTokens += static_cast<double>(progress.tokensKept);
        m_duplicatedTokens += static_cast<double>(progress.tokensDuplicated);
        m_discardedTokens += static_cast<double>(progress.tokensDiscarded);
        m_secondRuns += static_cast<double>(progress.secondRuns);
        if (trainer.step > 1) {
            m_idleSeconds += Seconds(trainer.idleTime).count();
            m_cycleSeconds += Seconds(m_clock.now() - trainer.trainsUntil + m_scenario.trainingTime).count();
            ++m_steps;
        }
        trainer.idleTime = {};
    }

    void dispatchAttempts()
    {
        std::vector<QueueDecision> decisions = m_balancer.tick(m_clock.now());
        for (const auto& decision : decisions)
            applyDecision(decision);
        while (startAttempt([this](StepCoordinator& coordinator) { return nextFirstAttempt(coordinator); })) { }
        while (startAttempt([this](StepCoordinator& coordinator) { return coordinator.nextSecondRun(m_observations, m_clock.now()); })) { }
    }

    std::optional<Dispatch> nextFirstAttempt(StepCoordinator& coordinator)
    {
        auto dispatches = coordinator.nextDispatches(1, m_observations, m_clock.now());
        return dispatches.empty() ? std::nullopt : std::optional<Dispatch>(std::move(dispatches.front()));
    }

    template <typename Take>
    bool startAttempt(Take take)
    {
        if (m_queued.size() + runningCount() >= capacity())
            return false;
        std::vector<std::size_t> order(m_trainers.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) { return runningCountOf(left) < runningCountOf(right); });
        for (const auto index : order) {
            auto dispatch = take(*m_trainers[index].coordinator);
            if (!dispatch)
                continue;
            requestAdmission(index, std::move(*dispatch));
            return true;
        }
        return false;
    }

    std::size_t runningCount() const
    {
        std::size_t running = 0;
        for (const auto& engine : m_engines)
            running += engine.running.size();
        return running;
    }

    std::size_t runningCountOf(std::size_t trainer) const
    {
        std::size_t running = 0;
        for (const auto& engine : m_engines)
            running += static_cast<std::size_t>(std::count_if(engine.running.begin(), engine.running.end(),
                [trainer](const auto& generation) { return generation.trainer == trainer; }));
        return running;
    }

    std::size_t capacity() const
    {
        double capacity = 0;
        for (const auto& view : m_balancer.targets(m_clock.now()))
            capacity += view.isEligible ? view.limit : 0;
        return static_cast<std::size_t>(capacity);
    }

    struct PendingAttempt {
        std::size_t trainer = 0;
        StepNumber step = 0;
        Dispatch dispatch;
    };

    void requestAdmission(std::size_t trainer, Dispatch dispatch)
    {
        RequestRequirements requirements;
        requirements.priority = Priority::Training;
        requirements.deadline = m_clock.now() + 30min;
        requirements.affinity = dispatch.affinity;
        requirements.excluded = dispatch.excluded;
        const auto admission = m_balancer.request(requirements, m_clock.now());
        PendingAttempt pendingAttempt { trainer, m_trainers[trainer].step, std::move(dispatch) };
        if (admission.kind == AdmissionKind::Queued)
            m_queued.emplace(admission.ticket, std::move(pendingAttempt));
        else
            applyAdmission(pendingAttempt, admission);
    }

    void applyDecision(const QueueDecision& decision)
    {
        const auto found = m_queued.find(decision.ticket);
        if (found == m_queued.end())
            return;
        const auto pendingAttempt = std::move(found->second);
        m_queued.erase(found);
        applyAdmission(pendingAttempt, decision.admission);
    }

    void applyAdmission(const PendingAttempt& pendingAttempt, const Admission& admission)
    {
        RunningGeneration generation;
        generation.trainer = pendingAttempt.trainer;
        generation.step = pendingAttempt.step;
        generation.attempt = pendingAttempt.dispatch.attempt;
        generation.admittedAt = m_clock.now();
        auto* coordinator = coordinatorOf(generation);
        if (admission.kind != AdmissionKind::Admitted) {
            if (coordinator)
                coordinator->onResult(generation.attempt, failure(admission.reason, "refused"), m_clock.now());
            return;
        }
        auto& engine = findEngine(admission.target);
        const auto& prefix = pendingAttempt.dispatch.request.prefixKey;
        generation.lengthTokens = lengthTokensOf(pendingAttempt.dispatch.request.id);
        generation.prefillUntil = m_clock.now() + (lookUpPrefix(engine, prefix) ? Duration::zero() : prefillDuration);
        if (coordinator)
            coordinator->onStarted(generation.attempt, engine.id, m_clock.now());
        engine.running.push_back(generation);
    }

    /// Makes @p prefix the most recently used one of the engine's prefix cache. @return true if it was cached already
    static bool lookUpPrefix(Engine& engine, const std::string& prefix)
    {
        const auto found = std::find(engine.cachedPrefixes.begin(), engine.cachedPrefixes.end(), prefix);
        const bool isFound = found != engine.cachedPrefixes.end();
        if (isFound)
            engine.cachedPrefixes.erase(found);
        engine.cachedPrefixes.push_back(prefix);
        if (engine.cachedPrefixes.size() > prefixCacheCapacity)
            engine.cachedPrefixes.erase(engine.cachedPrefixes.begin());
        return isFound;
    }

    /// Length of a generation. It is the same for each attempt of a sample on any engine and in any variant, so that a second run gains
    /// by the speed of its engine alone.
    double lengthTokensOf(const RequestId& id) const
    {
        auto sample = id.value();
        sample.erase(sample.rfind('/'));
        sample.erase(sample.rfind('/'));
        Random random(seededHash(sample));
        boost::random::lognormal_distribution<double> lengths(std::log(medianTokens), lengthSigma);
        return std::clamp(std::floor(lengths(random)), 1.0, static_cast<double>(maximumTokens));
    }

    std::uint64_t seededHash(const std::string& text) const { return placementHash(text, m_seed); }

    Metrics summarize()
    {
        std::sort(m_staleness.begin(), m_staleness.end());
        Metrics metrics;
        metrics.idleShare = m_idleSeconds / std::max(1.0, m_cycleSeconds);
        double sum = 0;
        for (const auto staleness : m_staleness)
            sum += staleness;
        if (!m_staleness.empty()) {
            metrics.stalenessMean = sum / static_cast<double>(m_staleness.size());
            metrics.stalenessP95 = m_staleness[static_cast<std::size_t>(0.95 * static_cast<double>(m_staleness.size() - 1))];
            metrics.stalenessMax = m_staleness.back();
        }
        metrics.duplicatedShare = (m_duplicatedTokens + m_orphanedTokens) / std::max(1.0, m_keptTokens);
        metrics.discardedShare = (m_discardedTokens + m_orphanedTokens) / std::max(1.0, m_keptTokens);
        metrics.steps = m_steps;
        metrics.samples = static_cast<double>(m_staleness.size());
        metrics.nonemptyBatches = m_nonemptyBatches;
        metrics.secondRunsPerStep = m_secondRuns / std::max(1.0, m_steps);
        return metrics;
    }

    Scenario m_scenario;
    Variant m_variant;
    std::uint64_t m_seed;
    Random m_random;
    ManualClock m_clock;
    std::vector<Engine> m_engines;
    std::vector<TargetId> m_engineIds;
    PoolBalancer m_balancer;
    WeightRollout m_rollout { { "draft-model", 0.5, FenceCheck::Checked } };
    WeightLoadLimiter m_loadBudget { 2, 2, m_clock.now() };
    EngineObservations m_observations;
    std::vector<TrainerState> m_trainers;
    std::map<QueueTicket, PendingAttempt> m_queued;
    WeightVersion m_newestVersion = 1;
    TimePoint m_nextVersionAt {};
    TimePoint m_nextFreezeAt {};
    TimePoint m_nextPullAt {};
    std::vector<double> m_staleness;
    double m_idleSeconds = 0;
    double m_cycleSeconds = 0;
    double m_keptTokens = 0;
    double m_duplicatedTokens = 0;
    double m_discardedTokens = 0;
    /// Tokens of generations that ended after their step was complete.
    double m_orphanedTokens = 0;
    double m_steps = 0;
    double m_nonemptyBatches = 0;
    double m_secondRuns = 0;
};

void printMeanAndRange(const std::string& name, std::vector<double> values, const char* unit)
{
    double mean = 0;
    for (const auto value : values)
        mean += value / static_cast<double>(values.size());
    const auto [minimum, maximum] = std::minmax_element(values.begin(), values.end());
    std::printf("%s.mean %.4f %s\n%s.min %.4f %s\n%s.max %.4f %s\n", name.c_str(), mean, unit, name.c_str(), *minimum, unit, name.c_str(), *maximum, unit);
}

void measureVariant(const Scenario& scenario, const Variant& variant, unsigned seedCount, const std::string& prefix)
{
    std::vector<Metrics> runs;
    for (unsigned seed = 1; seed <= seedCount; ++seed)
        runs.push_back(StepSimulation(scenario, variant, seed).run());
    const auto print = [&](const char* metricName, double Metrics::*member, double factor, const char* unit) {
        std::vector<double> values(runs.size());
        std::transform(runs.begin(), runs.end(), values.begin(), [&](const Metrics& run) { return factor * run.*member; });
        printMeanAndRange(prefix + "." + variant.name + "." + metricName, values, unit);
    };
    print("idle", &Metrics::idleShare, 100, "percent");
    print("staleness-mean", &Metrics::stalenessMean, 1, "versions");
    print("staleness-p95", &Metrics::stalenessP95, 1, "versions");
    print("staleness-max", &Metrics::stalenessMax, 1, "versions");
    print("duplicated", &Metrics::duplicatedShare, 100, "percent");
    print("discarded", &Metrics::discardedShare, 100, "percent");
    print("second-runs", &Metrics::secondRunsPerStep, 1, "runs/step");
    print("steps", &Metrics::steps, 1, "steps");
    std::fflush(stdout);
}

/// Prints the writes per second to the key-value service that recording each delivery there would take at the intended system size.
void printDeliveryWrites()
{
    Scenario scenario;
    scenario.trainerCount = 17;
    scenario.groupsPerStep = 256;
    scenario.engineCount = 120;
    scenario.runTime = 30min;
    scenario.trainingTime = 300s;
    const auto metrics = StepSimulation(scenario, { "cicadalb", PickPolicy::LeastDelay, StepOptions().maximumDuplicatedShare, StepOptions().stalenessWeight }, 1).run();
    const auto seconds = Seconds(scenario.runTime).count();
    std::printf("delivery.cursor.writes 0 writes/s\n");
    std::printf("delivery.batch-records.writes %.2f writes/s\n", metrics.nonemptyBatches / seconds);
    std::printf("delivery.sample-records.writes %.2f writes/s\n", metrics.samples / seconds);
    std::printf("delivery.steps %.0f steps\n", metrics.steps);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Simulates the steps of trainers on in-memory engines; prints idle time, staleness and duplicated tokens");
    unsigned seedCount = 10;
    bool isDeliveryOnly = false;
    bool hasWeightCurve = true;
    double duplicatedShare = StepOptions().maximumDuplicatedShare;
    double stalenessWeight = StepOptions().stalenessWeight;
    app.add_option("--seeds", seedCount, "Number of runs of each variant; run N uses seed N")->check(CLI::Range(1U, 1000U));
    app.add_flag("--delivery", isDeliveryOnly, "Print only the writes per second that delivery records would take at the intended system size");
    app.add_flag("!--no-curve", hasWeightCurve, "Skip the runs over a range of staleness weights");
    app.add_option("--duplicated-share", duplicatedShare, "Budget of duplicated tokens as a fraction of the tokens of a step")->check(CLI::Range(0.0, 1.0));
    app.add_option("--staleness-weight", stalenessWeight,
           "Weight of staleness against idle time: 0 weighs idle time alone, 1 staleness alone")
        ->check(CLI::Range(0.0, 1.0));
    std::string onlyVariant;
    app.add_option("--only", onlyVariant, "Run this variant only: random, least-in-flight or cicadalb");
    CLI11_PARSE(app, argc, argv);
    if (isDeliveryOnly) {
        printDeliveryWrites();
        return 0;
    }
    std::vector<Variant> variants {
        { "random", PickPolicy::UniformRandom },
        { "least-in-flight", PickPolicy::LeastInFlight },
        { "cicadalb", PickPolicy::LeastDelay, duplicatedShare, stalenessWeight },
    };
    if (!onlyVariant.empty())
        std::erase_if(variants, [&onlyVariant](const auto& variant) { return variant.name != onlyVariant; });
    for (const auto& variant : variants)
        measureVariant({}, variant, seedCount, "steps");
    Scenario freezeScenario;
    freezeScenario.hasEngineFreezes = true;
    for (const auto& variant : variants)
        measureVariant(freezeScenario, variant, seedCount, "freeze");
    if (!hasWeightCurve)
        return 0;
    for (const double weight : { 0.0, 0.1, 0.25, 0.5, 0.75, 1.0 })
        measureVariant({}, { "weight-" + std::to_string(weight).substr(0, 4), PickPolicy::LeastDelay, duplicatedShare, weight }, seedCount, "curve");
    return 0;
}
