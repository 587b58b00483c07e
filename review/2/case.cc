/// A step on a route with single_version, one of whose engines is lost while new weights are loaded. See claim.txt.

#include "../common/Trainer.hpp"

using namespace review;

namespace {

constexpr unsigned engineCount = 7;
constexpr unsigned slots = 4;
constexpr unsigned itemCount = 8;
constexpr unsigned eventCount = 10;
constexpr Milliseconds timePerEvent { 400 };
constexpr Milliseconds trainingTime { 500 };
constexpr Milliseconds maximumIdleTime { 5000 };
constexpr unsigned largeStep = 2;

Json configuration()
{
    const Json drafts { { "name", "drafts" }, { "hostname", "site.example" }, { "prefix", "/a/" }, { "type", "rollout" }, { "service", "draft" }, { "timeout_ms", 10000 }, { "target_latency_ms", 500 },
        { "target_finish_ms", 7500 }, { "item_ttl_s", 40 }, { "priority", 1 }, { "max_attempts", 3 }, { "single_version", true } };
    const Json models = Json::array({ Json { { "name", "model-a" } } });
    return { { "version", 3 }, { "routes", Json::array({ drafts }) }, { "services", Json::array({ Json { { "name", "draft" }, { "max_connections", 140 }, { "engine", { { "models", models } } } } }) },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 33554432 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

int run(const std::string& folder, Record& record)
{
    // Never destroyed, as their threads still use them.
    auto& store = *new Store;
    store.put("op/config", configuration().dump());
    std::vector<Sampler*> engines;
    for (unsigned i = 0; i < engineCount; ++i)
        engines.push_back(new Sampler(store, record, { "i-engine-" + std::to_string(i + 1), "draft", { "model-a" }, slots, 24, timePerEvent, eventCount }));
    const HostPorts ports { freePort(), freePort() };
    const auto mirror = "127.0.0.1:" + std::to_string(freePort());
    Process coordinator(folder, "storage-1", coordinatorSettings("storage-1", store.address(), mirror, { mirror }));
    Process host(folder, "edge-1", hostSettings("edge-1", store.address(), ports, { mirror }));
    coordinator.start();
    host.start();
    if (!waitUntil([&] { return isReady(ports.ready) && store.value("coordinator/holder"); }, Milliseconds(15000)))
        return couldNotRun;
    sleepFor(Milliseconds(4000));

    // The trainer asks for steps ahead: step 2, which allows version 1 and newer, is open when steps 0 and 1 end and versions 2 and 3 are named.
    Trainer trainer(record, ports.callers, "a");
    for (unsigned step = 0; step < largeStep; ++step) {
        if (!trainer.submit(step, 1, 4))
            return couldNotRun;
    }
    for (unsigned step = 0; step < largeStep; ++step) {
        if (!trainer.awaitResults(step, 4))
            return couldNotRun;
    }
    const auto submittedAt = record.now();
    if (!trainer.submit(largeStep, 1, itemCount))
        return couldNotRun;
    sleepFor(Milliseconds(300));
    for (unsigned step = 0; step < largeStep; ++step) {
        trainer.end(step);
        sleepFor(trainingTime);
        nameVersion(store, record, "model-a", step + 2);
    }
    if (hasTrouble()) {
        Sampler* lost = nullptr;
        // The third pair of engines is being loaded, and one engine still has version 1 and runs an item.
        const bool isFound = waitUntil([&] {
            const auto ordered = std::count_if(engines.begin(), engines.end(), [](auto* engine) { return engine->orders() > 0; });
            const auto found = std::find_if(engines.begin(), engines.end(), [](auto* engine) { return engine->orders() == 0 && engine->running() > 0; });
            lost = found == engines.end() ? nullptr : *found;
            return ordered + 1 >= engineCount && lost;
        },
            Milliseconds(6000));
        if (!isFound)
            return couldNotRun;
        lost->crash();
        record.line("the one engine that still has version 1 is lost for good, with " + std::to_string(lost->running()) + " items that it runs");
        sleepFor(Milliseconds(3600));
        lost->removeEntry();
        record.line("its entry is removed, after three status report intervals");
    }
    unsigned mostRunning = 0;
    while (record.now() < submittedAt + trainerStepDeadline.count()) {
        unsigned running = 0;
        for (auto* engine : engines)
            running += engine->running();
        if (record.now() > submittedAt + trainerStepDeadline.count() - maximumIdleTime.count())
            mostRunning = std::max(mostRunning, running);
        sleepFor(Milliseconds(20));
    }
    const auto listed = trainer.results(largeStep);
    const auto deadlineAt = record.now();
    record.line("the step runs out of time with " + std::to_string(listed.size()) + " of " + std::to_string(itemCount) + " results");
    trainer.end(largeStep);

    std::map<std::string, std::int64_t> lastRun;
    for (auto* engine : engines) {
        for (const auto& one : engine->runs())
            lastRun[one.id] = std::max(lastRun[one.id], one.arrivedAt);
    }
    unsigned begun = 0;
    unsigned idle = 0;
    for (unsigned i = 0; i < itemCount; ++i) {
        const auto id = trainer.itemId(largeStep, i);
        begun += lastRun.contains(id) ? 1 : 0;
        const auto since = lastRun.contains(id) ? lastRun[id] : submittedAt;
        const auto longestRun = timePerEvent.count() * eventCount;
        const bool isIdle = !listed.contains(id) && deadlineAt - since > maximumIdleTime.count() + longestRun;
        idle += isIdle ? 1 : 0;
        if (isIdle)
            record.line(id + " is not listed, and last reached a sampler " + std::to_string(deadlineAt - since) + " ms ago");
    }
    record.line(std::to_string(begun) + " items of the step had begun; " + std::to_string(idle) + " unfinished ones have been at no sampler for 5 s or more; in these 5 s at most " + std::to_string(mostRunning) + " of "
        + std::to_string((engineCount - 1) * slots) + " slots were taken");
    if (mostRunning * 2 >= (engineCount - 1) * slots)
        return couldNotRun;
    return begun > 0 && idle > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, &run);
}
