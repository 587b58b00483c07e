#include "PoolSimulation.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <functional>
#include <numeric>
#include <string>

/// @file
/// Compares policies for picking a target, the loss of load reports, admission under overload, retries under faults, and home hosts
/// with direct dispatch; also times the decisions of a balancer.

using namespace cicadalb;
using namespace cicadalb::simulation;

namespace {

constexpr std::array policies = { PickPolicy::UniformRandom, PickPolicy::RoundRobin, PickPolicy::LeastInFlight, PickPolicy::TwoChoices, PickPolicy::LeastDelay };

struct Options {
    unsigned seedCount = 5;
    std::string part = "all";
};

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

/// Rate of answers within the deadline as a fraction of the capacity.
double goodput(const RunResult& result)
{
    return result.inTimeAnswersPerSecond / result.capacity;
}

/// Fraction of all served requests that targets of one speed class served (0: fastest, 2: slowest).
double shareServedBySpeedClass(const RunResult& result, std::size_t speedClass)
{
    double served = 0;
    double total = 0;
    for (std::size_t i = 0; i < result.servedByTarget.size(); ++i) {
        total += static_cast<double>(result.servedByTarget[i]);
        if (i % 3 == speedClass)
            served += static_cast<double>(result.servedByTarget[i]);
    }
    return served / total;
}

/// @brief A value computed from the result of a run.
struct Metric {
    std::string name;
    std::string unit;
    std::function<double(const RunResult&)> value;
};

Metric latencyMetric(std::string metricName, double fraction, std::size_t stream = 0)
{
    return { std::move(metricName), "ms", [=](const RunResult& result) { return 1000 * percentile(result.streams[stream].latencySeconds, fraction); } };
}

/// Runs @p scenario once for each seed and prints the median, minimum and maximum of each metric.
void runAndPrint(const std::string& prefix, Scenario scenario, unsigned seedCount, const std::vector<Metric>& metrics)
{
    std::vector<std::vector<double>> values(metrics.size());
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        scenario.seed = seed;
        const auto result = PoolSimulation(scenario).run();
        for (std::size_t i = 0; i < metrics.size(); ++i)
            values[i].push_back(metrics[i].value(result));
    }
    for (std::size_t i = 0; i < metrics.size(); ++i) {
        const auto [minimum, maximum] = std::minmax_element(values[i].begin(), values[i].end());
        std::printf("%s.%s %.4g %s (%.4g to %.4g)\n", prefix.c_str(), metrics[i].name.c_str(), percentile(values[i], 0.5),
            metrics[i].unit.c_str(), *minimum, *maximum);
    }
    std::fflush(stdout);
}

std::string percentText(double fraction)
{
    return std::to_string(static_cast<int>(std::lround(100 * fraction)));
}

void comparePolicies(const Options& options)
{
    const std::vector<Metric> metrics = {
        latencyMetric("p50", 0.5),
        latencyMetric("p99", 0.99),
        { "goodput", "capacity", goodput },
        { "share_fast", "part", [](const RunResult& result) { return shareServedBySpeedClass(result, 0); } },
        { "share_slow", "part", [](const RunResult& result) { return shareServedBySpeedClass(result, 2); } },
    };
    for (const double slowestToFastestRatio : { 3.0, 10.0 }) {
        for (const double load : { 0.5, 0.8, 0.95, 1.2 }) {
            for (const auto policy : policies) {
                Scenario scenario;
                scenario.policy = policy;
                scenario.slowestToFastestRatio = slowestToFastestRatio;
                scenario.streams.front().load = load;
                runAndPrint("pick.spread" + percentText(slowestToFastestRatio / 100) + ".load" + percentText(load) + "." + std::string(name(policy)),
                    scenario, options.seedCount, metrics);
            }
        }
    }
}

void compareReportLoss(const Options& options)
{
    const std::vector<Metric> metrics = { latencyMetric("p50", 0.5), latencyMetric("p99", 0.99), { "goodput", "capacity", goodput } };
    for (const double load : { 0.5, 0.8, 0.95, 1.2 }) {
        for (const double lossRate : { 0.2, 0.8, 1.0 }) {
            Scenario scenario;
            scenario.reportLossRate = lossRate;
            scenario.streams.front().load = load;
            runAndPrint("reports.load" + percentText(load) + ".lost" + percentText(lossRate), scenario, options.seedCount, metrics);
        }
    }
}

/// Returns a function that adds up @p counter over all streams.
std::function<double(const RunResult&)> sumOverStreams(std::uint64_t StreamResult::*counter)
{
    return [counter](const RunResult& result) {
        double sum = 0;
        for (const auto& stream : result.streams)
            sum += static_cast<double>(stream.*counter);
        return sum;
    };
}

/// Fraction of the first stream's requests that were answered within the deadline.
double answeredFraction(const RunResult& result)
{
    return static_cast<double>(result.streams[0].answeredInTime) / static_cast<double>(result.streams[0].requests);
}

void compareAdmission(const Options& options)
{
    const std::vector<Metric> metrics = {
        latencyMetric("interactive_p50", 0.5),
        latencyMetric("interactive_p99", 0.99),
        { "goodput", "capacity", goodput },
        { "interactive_answered", "part", answeredFraction },
        { "refused_at_once", "requests", sumOverStreams(&StreamResult::refusedWithoutQueueing) },
        { "refused_after_waiting", "requests", sumOverStreams(&StreamResult::refusedAfterQueueing) },
    };
    const Stream lightInteractive { Priority::Interactive, 0.2, Seconds(2) };
    const Stream interactive { Priority::Interactive, 0.5, Seconds(2) };
    const Stream normal { Priority::Normal, 0.5, Seconds(4) };
    const Stream training { Priority::Training, 1.0, Seconds(10) };
    for (const double slowestToFastestRatio : { 3.0, 10.0 }) {
        for (const auto policy : { PickPolicy::TwoChoices, PickPolicy::LeastDelay }) {
            Scenario scenario;
            scenario.policy = policy;
            scenario.slowestToFastestRatio = slowestToFastestRatio;
            const auto prefix = "admission.spread" + percentText(slowestToFastestRatio / 100) + "." + std::string(name(policy));
            scenario.streams = { lightInteractive };
            runAndPrint(prefix + ".unloaded", scenario, options.seedCount, metrics);
            scenario.streams = { interactive, normal, training };
            runAndPrint(prefix + ".load200", scenario, options.seedCount, metrics);
        }
    }
}

/// @brief A fault and its name in the printed rows.
struct NamedFault {
    Fault fault;
    const char* name;
};

void compareRetries(const Options& options)
{
    const std::vector<Metric> metrics = {
        { "attempts", "a_request", [](const RunResult& result) { return static_cast<double>(result.attempts) / static_cast<double>(result.requests); } },
        { "answered", "part", answeredFraction },
        latencyMetric("p99", 0.99),
    };
    constexpr std::array<NamedFault, 4> faults = { { { Fault::TargetCrash, "target_dies" }, { Fault::DomainOutage, "domain_dies" },
        { Fault::HalfOfTargetsSlow, "half_slow" }, { Fault::AllTargetsReturnErrors, "all_errors" } } };
    for (const auto& [fault, faultName] : faults) {
        for (const auto policy : { PickPolicy::TwoChoices, PickPolicy::LeastDelay }) {
            Scenario scenario;
            scenario.policy = policy;
            scenario.fault = fault;
            scenario.streams.front() = { Priority::Normal, 0.5, Seconds(2) };
            runAndPrint(std::string("retry.") + faultName + "." + std::string(name(policy)), scenario, options.seedCount, metrics);
        }
    }
}

/// Mean service time of a kind of target. The age of a load report matters less the longer the service time.
struct ServiceClass {
    const char* name;
    double meanServiceSeconds;
};

void compareHomeHosts(const Options& options)
{
    const std::vector<Metric> metrics = {
        latencyMetric("p50", 0.5),
        latencyMetric("p99", 0.99),
        { "goodput", "capacity", goodput },
        { "imbalance", "variation", [](const RunResult& result) { return result.loadImbalance; } },
        { "messages", "a_request", [](const RunResult& result) { return static_cast<double>(result.interHostMessages) / static_cast<double>(result.requests); } },
        { "lost_with_another_host", "requests", [](const RunResult& result) { return result.forwardedInFlight; } },
    };
    for (const auto& service : { ServiceClass { "plain", 0.02 }, ServiceClass { "engine", 1 } }) {
        const auto timeScale = service.meanServiceSeconds / 0.02;
        for (const double load : { 0.5, 0.8, 0.95 }) {
            for (const bool hasHomeHosts : { false, true }) {
                Scenario scenario;
                scenario.hasHomeHosts = hasHomeHosts;
                scenario.fastestServiceTime = Seconds(service.meanServiceSeconds);
                scenario.warmUp *= timeScale;
                scenario.duration *= timeScale;
                scenario.streams.front() = { Priority::Normal, load, Seconds(5 * timeScale) };
                runAndPrint(std::string("home.") + service.name + ".load" + percentText(load) + (hasHomeHosts ? ".home" : ".direct"),
                    scenario, options.seedCount, metrics);
            }
        }
    }
}

/// @brief Conditions under which a balancer's decisions are timed.
struct TimedCase {
    PickPolicy policy = PickPolicy::LeastDelay;
    bool hasAffinity = false;
    /// True if the targets are kept full, so that requests are queued.
    bool isFull = false;
};

Pool makePool(std::size_t targetCount)
{
    Pool pool;
    for (std::size_t i = 0; i < targetCount; ++i)
        pool.targets.push_back({ TargetId("target-" + std::to_string(i)), "127.0.0.1", 1, FailureDomain(i % 3 == 0 ? "a" : "b"), false });
    return pool;
}

/// Ends an admitted request or withdraws a queued one. With @p isFull, admitted requests stay in flight to keep the targets full.
void endRequest(PoolBalancer& balancer, const Admission& admission, unsigned requestIndex, bool isFull, TimePoint now)
{
    if (admission.kind == AdmissionKind::Admitted && !isFull)
        balancer.recordCompletion(admission.target, { CompletionKind::Succeeded, std::chrono::milliseconds(5 + requestIndex % 7) }, now);
    if (admission.kind == AdmissionKind::Queued)
        balancer.withdraw(admission.ticket, now);
}

/// Time of one decision in microseconds: the median over batches of the mean in a batch.
double medianDecisionMicroseconds(const TimedCase& timedCase)
{
    constexpr unsigned batches = 50;
    constexpr unsigned batchSize = 2000;
    constexpr std::size_t targetCount = 64;
    const auto pool = makePool(targetCount);
    ManualClock clock;
    BalancerOptions balancerOptions;
    balancerOptions.ownFailureDomain = FailureDomain("a");
    balancerOptions.policy = timedCase.policy;
    PoolBalancer balancer(pool, balancerOptions, clock.now());
    std::vector<double> batchMeans;
    RequestRequirements requirements;
    for (unsigned batch = 0; batch < batches; ++batch) {
        std::chrono::duration<double, std::micro> elapsed {};
        for (unsigned i = 0; i < batchSize; ++i) {
            clock.advance(std::chrono::microseconds(200));
            requirements.deadline = clock.now() + std::chrono::seconds(5);
            if (timedCase.hasAffinity)
                requirements.affinity = i % 64;
            const auto begin = std::chrono::steady_clock::now();
            const auto admission = balancer.request(requirements, clock.now());
            elapsed += std::chrono::steady_clock::now() - begin;
            endRequest(balancer, admission, i, timedCase.isFull, clock.now());
            if (i % 16 == 0)
                balancer.reportLoad(pool.targets[i % targetCount].id, { i % 9, 0, {}, false }, clock.now());
        }
        batchMeans.push_back(elapsed.count() / batchSize);
    }
    return percentile(batchMeans, 0.5);
}

void printDecisionTimes(const Options&)
{
    for (const auto policy : policies)
        std::printf("time.admission_and_pick.64_targets.%s %.3f us\n", std::string(name(policy)).c_str(), medianDecisionMicroseconds({ policy, false, false }));
    std::printf("time.admission_and_pick.64_targets.affinity %.3f us\n", medianDecisionMicroseconds({ PickPolicy::LeastDelay, true, false }));
    std::printf("time.admission_to_queue.64_targets %.3f us\n", medianDecisionMicroseconds({ PickPolicy::LeastDelay, false, true }));
}

/// @brief A part of the benchmark that can be run alone.
struct Part {
    const char* name;
    void (*run)(const Options&);
};

constexpr std::array<Part, 6> parts = { {
    { "policies", comparePolicies },
    { "reports", compareReportLoss },
    { "admission", compareAdmission },
    { "retries", compareRetries },
    { "homes", compareHomeHosts },
    { "time", printDecisionTimes },
} };

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Simulates target picking, admission and retries with 8 hosts and 24 targets");
    app.add_option("--seeds", options.seedCount, "Number of runs of each scenario; run N uses seed N");
    app.add_option("--part", options.part, "Part to run: policies, reports, admission, retries, homes, time or all");
    CLI11_PARSE(app, argc, argv);
    for (const auto& part : parts) {
        if (options.part == "all" || options.part == part.name)
            part.run(options);
    }
    return 0;
}
