#include "cicadalb/rollout/StepCoordinator.h"

#include <CLI/CLI.hpp>
#include <malloc.h>

#include <iomanip>
#include <iostream>

/// @file
/// Measures the time and heap memory that the coordinator of a step takes per sample and per pull, for docs/CAPACITY.md.

namespace {

using namespace cicadalb;

struct CoordinatorArguments {
    std::size_t groups = 256;
    unsigned samplesPerGroup = 8;
    std::size_t engines = 64;
    std::size_t samplesPerPull = 64;
    std::size_t textBytes = 1024;
};

using Microseconds = std::chrono::duration<double, std::micro>;

StepSpec makeStepSpec(const CoordinatorArguments& arguments)
{
    StepSpec spec;
    spec.key = StepKey { TrainerName("trainer"), 1 };
    for (std::size_t i = 0; i < arguments.groups; ++i)
        spec.groups.push_back(SampleGroup { "prompt " + std::to_string(i), "prefix-" + std::to_string(i), arguments.samplesPerGroup });
    return spec;
}

/// Starts and completes every sample, at most as many at a time as there are engines.
void completeAllSamples(StepCoordinator& coordinator, const CoordinatorArguments& arguments, TimePoint now)
{
    const EngineObservations observations;
    const Generation generation { std::string(arguments.textBytes, 'x'), 256, { 1 } };
    for (auto dispatches = coordinator.nextDispatches(arguments.engines, observations, now); !dispatches.empty();
         dispatches = coordinator.nextDispatches(arguments.engines, observations, now)) {
        for (std::size_t i = 0; i < dispatches.size(); ++i) {
            coordinator.onStarted(dispatches[i].attempt, TargetId("engine-" + std::to_string(i)), now);
            coordinator.onResult(dispatches[i].attempt, generation, now);
        }
    }
}

/// Pulls until the step is complete. @return the number of pulls
std::size_t pullAll(StepCoordinator& coordinator, StepCursor cursor, std::size_t maximumSamples, TimePoint now)
{
    std::size_t pulls = 0;
    bool isDone = false;
    while (!isDone) {
        const auto batch = coordinator.pull(cursor, maximumSamples, now);
        for (const auto& sample : batch.value().samples)
            cursor.received.set(sample.position);
        ++cursor.number;
        ++pulls;
        isDone = batch.value().isDone;
    }
    return pulls;
}

/// Heap bytes in use, including blocks that malloc has mapped.
double heapBytes()
{
    const auto usage = mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

void printRow(const std::string& name, double value, const std::string& unit)
{
    std::cout << std::fixed << std::setprecision(2) << name << ' ' << value << ' ' << unit << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    CoordinatorArguments arguments;
    CLI::App app { "Measures the time and memory that the coordinator of one step takes" };
    app.add_option("--groups", arguments.groups, "Number of groups in the step");
    app.add_option("--samples", arguments.samplesPerGroup, "Number of samples in a group");
    app.add_option("--engines", arguments.engines, "Number of engines; each runs one generation at a time");
    app.add_option("--per-pull", arguments.samplesPerPull, "Maximum number of samples in a pull");
    CLI11_PARSE(app, argc, argv);

    const SteadyClock clock;
    const ManualClock virtualClock;
    StepOptions options;
    options.firstPullTimeout = std::chrono::milliseconds(0);
    const auto spec = makeStepSpec(arguments);
    const auto samples = static_cast<double>(spec.sampleCount());
    const auto heapBefore = heapBytes();
    StepCoordinator coordinator(spec, options, virtualClock.now());
    printRow("coordinator.waiting", (heapBytes() - heapBefore) / samples, "B of heap a sample");

    const auto generationBegin = clock.now();
    completeAllSamples(coordinator, arguments, virtualClock.now());
    printRow("coordinator.generation", Microseconds(clock.now() - generationBegin).count() / samples, "us a sample");
    printRow("coordinator.ready", (heapBytes() - heapBefore) / samples, "B of heap a sample, 1 KiB of text included");

    const auto pullBegin = clock.now();
    const auto pulls = pullAll(coordinator, StepCursor { 1, 1, SampleBitmap(spec.sampleCount()), 1 }, arguments.samplesPerPull, virtualClock.now());
    printRow("coordinator.pull", Microseconds(clock.now() - pullBegin).count() / static_cast<double>(pulls), "us a pull");
    return 0;
}
