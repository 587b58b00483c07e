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
/// Steps of several trainers over engines in memory, in virtual time: trainer idle time, staleness and duplicated tokens.

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration tickLength = 200ms;
constexpr Duration pullInterval = 1s;
constexpr unsigned maximumTokens = 4096;
/// Median and shape of the lengths in tokens (log-normal, cut at the maximum).
constexpr double medianTokens = 300;
constexpr double lengthShape = 0.9;
/// Tokens a second of one generation alone on the slowest engine; the fastest is three times as fast.
constexpr double slowestSpeed = 20;
constexpr double speedSpread = 3;
/// Slowdown of all generations of an engine by each further one.
constexpr double batchSlowdown = 0.03;
constexpr unsigned maximumInFlight = 16;
constexpr unsigned samplesPerGroup = 8;
constexpr Duration swapTime = 8s;
constexpr Duration prefillTime = 1s;
constexpr std::size_t cachedPrefixes = 32;

struct Scenario {
    unsigned trainers = 3;
    unsigned groups = 16;
    unsigned engines = 10;
    Duration runTime = 1h;
    Duration trainingTime = 120s;
    Duration weightInterval = 180s;
    WeightVersion stalenessBound = 2;
    bool hasFreeze = false;
};

struct Variant {
    std::string name;
    PickPolicy policy = PickPolicy::LeastDelay;
    double duplicatedShare = 0;
    double stalenessWeight = 0;
};

struct Figures {
    double idleShare = 0;
    double stalenessMean = 0;
    double stalenessP95 = 0;
    double stalenessMax = 0;
    double duplicatedShare = 0;
    double discardedShare = 0;
    double steps = 0;
    double samples = 0;
    double batches = 0;
    double secondRuns = 0;
};

struct Generating {
    std::size_t trainer = 0;
    StepNumber step = 0;
    AttemptId attempt = 0;
    double length = 0;
    double tokens = 0;
    TimePoint admittedAt {};
    TimePoint prefillUntil {};
    std::vector<WeightVersion> versions;
};

struct Engine {
    TargetId id;
    double speed = 0;
    WeightVersion version = 1;
    TimePoint pausedUntil {};
    std::optional<PlannedOrder> order;
    std::vector<Generating> running;
    std::vector<std::string> prefixes;
};

struct TrainerState {
    TrainerName name;
    StepNumber step = 0;
    std::unique_ptr<StepCoordinator> coordinator;
    std::unique_ptr<StepReceiver> receiver;
    TimePoint trainsUntil {};
    Duration idle {};
};

/// One run of the step loop.
class StepLoop {
public:
    StepLoop(Scenario scenario, Variant variant, std::uint64_t seed)
        : m_scenario(scenario)
        , m_variant(std::move(variant))
        , m_seed(seed)
        , m_random(seed)
        , m_balancer(makePool(), { FailureDomain("salt-lake"), seed, 1024, m_variant.policy }, m_clock.now())
    {
        m_rollout.setEngines(m_ids);
        m_rollout.want(m_version);
        for (unsigned i = 0; i < scenario.trainers; ++i) {
            m_trainers.emplace_back().name = TrainerName("trainer-" + std::to_string(i));
            submitNext(m_trainers.back());
        }
    }

    Figures run()
    {
        const auto start = m_clock.now();
        const auto end = start + m_scenario.runTime;
        m_nextVersionAt = start + m_scenario.weightInterval;
        m_nextFreezeAt = start + 5min;
        while (m_clock.now() < end) {
            m_clock.advance(tickLength);
            publishWeights();
            swapWeights();
            freeze();
            generate();
            train();
            dispatch();
        }
        return figures();
    }

private:
    Pool makePool()
    {
        Pool pool;
        pool.kind = TargetKind::ModelEngine;
        pool.maximumInFlight = maximumInFlight;
        for (unsigned i = 0; i < m_scenario.engines; ++i) {
            auto& engine = m_engines.emplace_back();
            engine.id = TargetId("engine-" + std::to_string(i));
            engine.speed = slowestSpeed * (1 + (speedSpread - 1) * i / (m_scenario.engines - 1));
            m_ids.push_back(engine.id);
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
        for (unsigned group = 0; group < m_scenario.groups; ++group)
            spec.groups.push_back({ trainer.name.value() + "/" + std::to_string(trainer.step) + "/" + std::to_string(group), "", samplesPerGroup });
        StepOptions options;
        options.duplicatedShare = m_variant.duplicatedShare;
        options.stalenessWeight = m_variant.stalenessWeight;
        trainer.coordinator = std::make_unique<StepCoordinator>(spec, options, m_clock.now());
        trainer.receiver = std::make_unique<StepReceiver>(spec, m_version, m_random());
    }

    void publishWeights()
    {
        if (m_clock.now() < m_nextVersionAt)
            return;
        m_nextVersionAt += m_scenario.weightInterval;
        m_rollout.want(++m_version);
        for (auto& trainer : m_trainers)
            trainer.receiver->setWeightVersion(m_version);
    }

    void swapWeights()
    {
        const auto now = m_clock.now();
        for (auto& engine : m_engines) {
            if (!engine.order || engine.pausedUntil > now)
                continue;
            engine.version = engine.order->order.version;
            m_rollout.onOrderResult(engine.id, engine.order->order, success(), now);
            engine.order.reset();
        }
        for (auto& order : m_rollout.nextOrders(1, m_loads, now)) {
            auto& engine = find(order.engine);
            engine.pausedUntil = now + swapTime;
            engine.order = order;
        }
    }

    void freeze()
    {
        if (!m_scenario.hasFreeze || m_clock.now() < m_nextFreezeAt)
            return;
        m_nextFreezeAt += 10min;
        auto& engine = m_engines[randomIndex(m_random, m_engines.size())];
        engine.pausedUntil = m_clock.now() + 2min;
    }

    Engine& find(const TargetId& id)
    {
        return *std::find_if(m_engines.begin(), m_engines.end(), [&id](const auto& engine) { return engine.id == id; });
    }

    StepCoordinator* coordinatorOf(const Generating& generating)
    {
        auto& trainer = m_trainers[generating.trainer];
        return trainer.step == generating.step ? trainer.coordinator.get() : nullptr;
    }

    void generate()
    {
        for (auto& engine : m_engines) {
            if (engine.pausedUntil > m_clock.now())
                continue;
            const auto batch = static_cast<double>(engine.running.size());
            const auto tokens = engine.speed / (1 + batchSlowdown * (batch - 1)) * Seconds(tickLength).count();
            for (auto& generating : engine.running)
                advance(engine, generating, tokens);
        }
        cancelAbandoned();
        for (auto& engine : m_engines)
            endFinished(engine);
    }

    void advance(Engine& engine, Generating& generating, double tokens)
    {
        if (generating.prefillUntil > m_clock.now())
            return;
        generating.tokens = std::min(generating.length, generating.tokens + tokens);
        if (generating.versions.empty() || generating.versions.back() != engine.version)
            generating.versions.push_back(engine.version);
        m_observations.recordChunk(engine.id, engine.version, m_clock.now());
        if (auto* coordinator = coordinatorOf(generating))
            coordinator->onProgress(generating.attempt, { static_cast<unsigned>(generating.tokens), engine.version }, m_clock.now());
    }

    void cancelAbandoned()
    {
        for (auto& trainer : m_trainers)
            trainer.coordinator->takeCancellations();
        for (auto& engine : m_engines) {
            const auto isUseless = [this](const Generating& generating) {
                auto* coordinator = coordinatorOf(generating);
                return !coordinator || !coordinator->isWanted(generating.attempt);
            };
            const auto useless = std::stable_partition(engine.running.begin(), engine.running.end(), [&](const auto& generating) { return !isUseless(generating); });
            std::vector<Generating> cancelled(useless, engine.running.end());
            engine.running.erase(useless, engine.running.end());
            for (const auto& generating : cancelled)
                finish(engine, generating, failure(ErrorCode::Cancelled, "cancelled"), CompletionKind::Abandoned);
        }
    }

    void endFinished(Engine& engine)
    {
        for (std::size_t i = 0; i < engine.running.size();) {
            if (engine.running[i].tokens < engine.running[i].length) {
                ++i;
                continue;
            }
            const auto generating = engine.running[i];
            engine.running.erase(engine.running.begin() + static_cast<std::ptrdiff_t>(i));
            m_observations.recordRun(engine.id, static_cast<unsigned>(generating.tokens), m_clock.now() - generating.admittedAt);
            finish(engine, generating, Generation { "", static_cast<unsigned>(generating.tokens), generating.versions }, CompletionKind::Succeeded);
        }
    }

    void finish(Engine& engine, const Generating& generating, const Result<Generation>& result, CompletionKind kind)
    {
        if (auto* coordinator = coordinatorOf(generating))
            coordinator->onResult(generating.attempt, result, m_clock.now());
        else
            m_lostTokens += generating.tokens;
        const auto decisions = m_balancer.finished(engine.id, { kind, m_clock.now() - generating.admittedAt }, m_clock.now());
        for (const auto& decision : decisions)
            decide(decision);
    }

    void train()
    {
        const auto now = m_clock.now();
        for (auto& trainer : m_trainers) {
            if (now >= m_nextPullAt)
                pull(trainer);
            if (now < trainer.trainsUntil)
                continue;
            if (!trainer.receiver->isComplete()) {
                trainer.idle += tickLength;
                continue;
            }
            collect(trainer);
            trainer.trainsUntil = now + m_scenario.trainingTime;
            submitNext(trainer);
        }
        if (now >= m_nextPullAt)
            m_nextPullAt = now + pullInterval;
    }

    void pull(TrainerState& trainer)
    {
        auto batch = trainer.coordinator->pull(trainer.receiver->cursor(), maximumSamplesPerStep, m_clock.now());
        const auto samples = trainer.receiver->accept(std::move(batch.value()));
        for (const auto& sample : samples)
            m_staleness.push_back(static_cast<double>(m_version - sample.versions.front()));
        m_batches += samples.empty() ? 0 : 1;
    }

    /// A step is whole: the first of each trainer is a warm-up and counts no idle time.
    void collect(TrainerState& trainer)
    {
        const auto progress = trainer.coordinator->progress(m_clock.now());
        m_keptTokens += static_cast<double>(progress.tokensKept);
        m_duplicatedTokens += static_cast<double>(progress.tokensDuplicated);
        m_discardedTokens += static_cast<double>(progress.tokensDiscarded);
        m_secondRuns += static_cast<double>(progress.secondRuns);
        if (trainer.step > 1) {
            m_idle += Seconds(trainer.idle).count();
            m_cycles += Seconds(m_clock.now() - trainer.trainsUntil + m_scenario.trainingTime).count();
            ++m_steps;
        }
        trainer.idle = {};
    }

    void dispatch()
    {
        std::vector<QueueDecision> decisions = m_balancer.tick(m_clock.now());
        for (const auto& decision : decisions)
            decide(decision);
        while (startOne([this](StepCoordinator& coordinator) { return firstAttempt(coordinator); })) { }
        while (startOne([this](StepCoordinator& coordinator) { return coordinator.nextSecondRun(m_observations, m_clock.now()); })) { }
    }

    std::optional<Dispatch> firstAttempt(StepCoordinator& coordinator)
    {
        auto dispatches = coordinator.nextDispatches(1, m_observations, m_clock.now());
        return dispatches.empty() ? std::nullopt : std::optional<Dispatch>(std::move(dispatches.front()));
    }

    template <typename Take>
    bool startOne(Take take)
    {
        if (m_queued.size() + running() >= capacity())
            return false;
        std::vector<std::size_t> order(m_trainers.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) { return runningOf(left) < runningOf(right); });
        for (const auto index : order) {
            auto dispatch = take(*m_trainers[index].coordinator);
            if (!dispatch)
                continue;
            request(index, std::move(*dispatch));
            return true;
        }
        return false;
    }

    std::size_t running() const
    {
        std::size_t running = 0;
        for (const auto& engine : m_engines)
            running += engine.running.size();
        return running;
    }

    std::size_t runningOf(std::size_t trainer) const
    {
        std::size_t running = 0;
        for (const auto& engine : m_engines)
            running += static_cast<std::size_t>(std::count_if(engine.running.begin(), engine.running.end(), [trainer](const auto& generating) { return generating.trainer == trainer; }));
        return running;
    }

    std::size_t capacity() const
    {
        double capacity = 0;
        for (const auto& view : m_balancer.targets(m_clock.now()))
            capacity += view.isEligible ? view.limit : 0;
        return static_cast<std::size_t>(capacity);
    }

    struct Waiting {
        std::size_t trainer = 0;
        StepNumber step = 0;
        Dispatch dispatch;
    };

    void request(std::size_t trainer, Dispatch dispatch)
    {
        Demand demand;
        demand.priority = Priority::Training;
        demand.deadline = m_clock.now() + 30min;
        demand.affinity = dispatch.affinity;
        demand.excluded = dispatch.excluded;
        const auto admission = m_balancer.request(demand, m_clock.now());
        Waiting waiting { trainer, m_trainers[trainer].step, std::move(dispatch) };
        if (admission.kind == AdmissionKind::Queued)
            m_queued.emplace(admission.ticket, std::move(waiting));
        else
            settle(waiting, admission);
    }

    void decide(const QueueDecision& decision)
    {
        const auto found = m_queued.find(decision.ticket);
        if (found == m_queued.end())
            return;
        const auto waiting = std::move(found->second);
        m_queued.erase(found);
        settle(waiting, decision.admission);
    }

    void settle(const Waiting& waiting, const Admission& admission)
    {
        Generating generating;
        generating.trainer = waiting.trainer;
        generating.step = waiting.step;
        generating.attempt = waiting.dispatch.attempt;
        generating.admittedAt = m_clock.now();
        auto* coordinator = coordinatorOf(generating);
        if (admission.kind != AdmissionKind::Admitted) {
            if (coordinator)
                coordinator->onResult(generating.attempt, failure(admission.reason, "refused"), m_clock.now());
            return;
        }
        auto& engine = find(admission.target);
        const auto& prefix = waiting.dispatch.request.prefixKey;
        generating.length = lengthOf(waiting.dispatch.request.id);
        generating.prefillUntil = m_clock.now() + (isCached(engine, prefix) ? Duration::zero() : prefillTime);
        if (coordinator)
            coordinator->onStarted(generating.attempt, engine.id, m_clock.now());
        engine.running.push_back(generating);
    }

    static bool isCached(Engine& engine, const std::string& prefix)
    {
        const auto found = std::find(engine.prefixes.begin(), engine.prefixes.end(), prefix);
        const bool isFound = found != engine.prefixes.end();
        if (isFound)
            engine.prefixes.erase(found);
        engine.prefixes.push_back(prefix);
        if (engine.prefixes.size() > cachedPrefixes)
            engine.prefixes.erase(engine.prefixes.begin());
        return isFound;
    }

    /// The same for each attempt of a sample, whichever engine and variant: a second run gains by speed alone.
    double lengthOf(const RequestId& id) const
    {
        auto sample = id.value();
        sample.erase(sample.rfind('/'));
        sample.erase(sample.rfind('/'));
        Random random(placementHashOf(sample));
        boost::random::lognormal_distribution<double> lengths(std::log(medianTokens), lengthShape);
        return std::clamp(std::floor(lengths(random)), 1.0, static_cast<double>(maximumTokens));
    }

    std::uint64_t placementHashOf(const std::string& text) const { return placementHash(text, m_seed); }

    Figures figures()
    {
        std::sort(m_staleness.begin(), m_staleness.end());
        Figures figures;
        figures.idleShare = m_idle / std::max(1.0, m_cycles);
        double sum = 0;
        for (const auto staleness : m_staleness)
            sum += staleness;
        if (!m_staleness.empty()) {
            figures.stalenessMean = sum / static_cast<double>(m_staleness.size());
            figures.stalenessP95 = m_staleness[static_cast<std::size_t>(0.95 * static_cast<double>(m_staleness.size() - 1))];
            figures.stalenessMax = m_staleness.back();
        }
        figures.duplicatedShare = (m_duplicatedTokens + m_lostTokens) / std::max(1.0, m_keptTokens);
        figures.discardedShare = (m_discardedTokens + m_lostTokens) / std::max(1.0, m_keptTokens);
        figures.steps = m_steps;
        figures.samples = static_cast<double>(m_staleness.size());
        figures.batches = m_batches;
        figures.secondRuns = m_secondRuns / std::max(1.0, m_steps);
        return figures;
    }

    Scenario m_scenario;
    Variant m_variant;
    std::uint64_t m_seed;
    Random m_random;
    ManualClock m_clock;
    std::vector<Engine> m_engines;
    std::vector<TargetId> m_ids;
    PoolBalancer m_balancer;
    WeightRollout m_rollout { { "draft-model", 0.5, FenceCheck::Checked } };
    LoadBudget m_loads { 2, 2, m_clock.now() };
    EngineObservations m_observations;
    std::vector<TrainerState> m_trainers;
    std::map<QueueTicket, Waiting> m_queued;
    WeightVersion m_version = 1;
    TimePoint m_nextVersionAt {};
    TimePoint m_nextFreezeAt {};
    TimePoint m_nextPullAt {};
    std::vector<double> m_staleness;
    double m_idle = 0;
    double m_cycles = 0;
    double m_keptTokens = 0;
    double m_duplicatedTokens = 0;
    double m_discardedTokens = 0;
    double m_lostTokens = 0;
    double m_steps = 0;
    double m_batches = 0;
    double m_secondRuns = 0;
};

void printSpread(const std::string& name, std::vector<double> values, const char* unit)
{
    double mean = 0;
    for (const auto value : values)
        mean += value / static_cast<double>(values.size());
    const auto [least, most] = std::minmax_element(values.begin(), values.end());
    std::printf("%s.mean %.4f %s\n%s.min %.4f %s\n%s.max %.4f %s\n", name.c_str(), mean, unit, name.c_str(), *least, unit, name.c_str(), *most, unit);
}

void measure(const Scenario& scenario, const Variant& variant, unsigned seeds, const std::string& prefix)
{
    std::vector<Figures> runs;
    for (unsigned seed = 1; seed <= seeds; ++seed)
        runs.push_back(StepLoop(scenario, variant, seed).run());
    const auto print = [&](const char* figure, double Figures::*member, double factor, const char* unit) {
        std::vector<double> values(runs.size());
        std::transform(runs.begin(), runs.end(), values.begin(), [&](const Figures& run) { return factor * run.*member; });
        printSpread(prefix + "." + variant.name + "." + figure, values, unit);
    };
    print("idle", &Figures::idleShare, 100, "percent");
    print("staleness-mean", &Figures::stalenessMean, 1, "versions");
    print("staleness-p95", &Figures::stalenessP95, 1, "versions");
    print("staleness-max", &Figures::stalenessMax, 1, "versions");
    print("duplicated", &Figures::duplicatedShare, 100, "percent");
    print("discarded", &Figures::discardedShare, 100, "percent");
    print("second-runs", &Figures::secondRuns, 1, "runs/step");
    print("steps", &Figures::steps, 1, "steps");
    std::fflush(stdout);
}

/// Writes to the key-value service at the target size if deliveries were recorded there.
void measureDelivery()
{
    Scenario scenario;
    scenario.trainers = 17;
    scenario.groups = 256;
    scenario.engines = 120;
    scenario.runTime = 30min;
    scenario.trainingTime = 300s;
    const auto figures = StepLoop(scenario, { "cicadalb", PickPolicy::LeastDelay, StepOptions().duplicatedShare, StepOptions().stalenessWeight }, 1).run();
    const auto seconds = Seconds(scenario.runTime).count();
    std::printf("delivery.cursor.writes 0 writes/s\n");
    std::printf("delivery.batch-records.writes %.2f writes/s\n", figures.batches / seconds);
    std::printf("delivery.sample-records.writes %.2f writes/s\n", figures.samples / seconds);
    std::printf("delivery.steps %.0f steps\n", figures.steps);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Trainer idle time, staleness and duplicated tokens over engines in memory");
    unsigned seeds = 10;
    bool isDelivery = false;
    bool isCurve = true;
    double duplicatedShare = StepOptions().duplicatedShare;
    double stalenessWeight = StepOptions().stalenessWeight;
    app.add_option("--seeds", seeds, "Runs of each variant")->check(CLI::Range(1U, 1000U));
    app.add_flag("--delivery", isDelivery, "Only the writes a second of delivery records at the target size");
    app.add_flag("!--no-curve", isCurve, "Leave out the curve over the staleness weight");
    app.add_option("--duplicated-share", duplicatedShare, "Budget of duplicated tokens")->check(CLI::Range(0.0, 1.0));
    app.add_option("--staleness-weight", stalenessWeight, "Weight of staleness against idle time")->check(CLI::Range(0.0, 1.0));
    std::string only;
    app.add_option("--only", only, "One variant: random, least-in-flight or cicadalb");
    CLI11_PARSE(app, argc, argv);
    if (isDelivery) {
        measureDelivery();
        return 0;
    }
    std::vector<Variant> variants {
        { "random", PickPolicy::UniformRandom },
        { "least-in-flight", PickPolicy::LeastInFlight },
        { "cicadalb", PickPolicy::LeastDelay, duplicatedShare, stalenessWeight },
    };
    if (!only.empty())
        std::erase_if(variants, [&only](const auto& variant) { return variant.name != only; });
    for (const auto& variant : variants)
        measure({}, variant, seeds, "steps");
    Scenario freezing;
    freezing.hasFreeze = true;
    for (const auto& variant : variants)
        measure(freezing, variant, seeds, "freeze");
    if (!isCurve)
        return 0;
    for (const double weight : { 0.0, 0.1, 0.25, 0.5, 0.75, 1.0 })
        measure({}, { "weight-" + std::to_string(weight).substr(0, 4), PickPolicy::LeastDelay, duplicatedShare, weight }, seeds, "curve");
    return 0;
}
