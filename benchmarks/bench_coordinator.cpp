#include "cicadalb/rollout/StepCoordinator.h"

#include <CLI/CLI.hpp>
#include <malloc.h>

#include <iomanip>
#include <iostream>

/// @file
/// Processor time and memory of one step's coordinator: the slopes for docs/CAPACITY.md.

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

StepSpec stepSpec(const CoordinatorArguments& arguments)
{
    StepSpec spec;
    spec.key = StepKey { TrainerName("trainer"), 1 };
    for (std::size_t i = 0; i < arguments.groups; ++i)
        spec.groups.push_back(SampleGroup { "prompt " + std::to_string(i), "prefix-" + std::to_string(i), arguments.samplesPerGroup });
    return spec;
}

/// Generates every sample, as many at once as there are engines.
void generateAll(StepCoordinator& coordinator, const CoordinatorArguments& arguments, TimePoint now)
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

/// Pulls until the step is whole. @return the number of pulls
std::size_t pullAll(StepCoordinator& coordinator, StepCursor cursor, std::size_t maximum, TimePoint now)
{
    std::size_t pulls = 0;
    bool isDone = false;
    while (!isDone) {
        const auto batch = coordinator.pull(cursor, maximum, now);
        for (const auto& sample : batch.value().samples)
            cursor.received.set(sample.position);
        ++cursor.number;
        ++pulls;
        isDone = batch.value().isDone;
    }
    return pulls;
}

/// Bytes in use on the heap, mapped blocks included.
double heapBytes()
{
    const auto usage = mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

void print(const std::string& name, double value, const std::string& unit)
{
    std::cout << std::fixed << std::setprecision(2) << name << ' ' << value << ' ' << unit << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    CoordinatorArguments arguments;
    CLI::App app { "Cost of one step's coordinator" };
    app.add_option("--groups", arguments.groups, "Groups of the step");
    app.add_option("--samples", arguments.samplesPerGroup, "Samples of a group");
    app.add_option("--engines", arguments.engines, "Generations at once");
    app.add_option("--per-pull", arguments.samplesPerPull, "Samples of a pull");
    CLI11_PARSE(app, argc, argv);

    const SteadyClock clock;
    const ManualClock stepClock;
    StepOptions options;
    options.firstPullGrace = std::chrono::milliseconds(0);
    const auto spec = stepSpec(arguments);
    const auto samples = static_cast<double>(spec.sampleCount());
    const auto heapBefore = heapBytes();
    StepCoordinator coordinator(spec, options, stepClock.now());
    print("coordinator.waiting", (heapBytes() - heapBefore) / samples, "B of heap a sample");

    const auto generationBegin = clock.now();
    generateAll(coordinator, arguments, stepClock.now());
    print("coordinator.generation", Microseconds(clock.now() - generationBegin).count() / samples, "us a sample");
    print("coordinator.ready", (heapBytes() - heapBefore) / samples, "B of heap a sample, 1 KiB of text included");

    const auto pullBegin = clock.now();
    const auto pulls = pullAll(coordinator, StepCursor { 1, 1, SampleBitmap(spec.sampleCount()), 1 }, arguments.samplesPerPull, stepClock.now());
    print("coordinator.pull", Microseconds(clock.now() - pullBegin).count() / static_cast<double>(pulls), "us a pull");
    return 0;
}
