/// A step of one of six models after the loss of one of six engines. See claim.txt.

#include "../common/Trainer.hpp"

using namespace review;

namespace {

constexpr Milliseconds stepDeadline = trainerStepDeadline;
constexpr Milliseconds maximumIdleTime { 5000 };
/// Each model has a trainer of the same name.
const std::vector<std::string> names { "a", "b", "c", "d", "e", "f" };
/// The model whose steps are the smallest.
constexpr std::size_t smallest = 1;

Json route(const std::string& name, const std::string& prefix)
{
    return { { "name", name }, { "hostname", "site.example" }, { "prefix", prefix }, { "type", "rollout" }, { "service", "draft" }, { "timeout_ms", 10000 }, { "target_latency_ms", 500 },
        { "target_finish_ms", 7500 }, { "item_ttl_s", 40 }, { "priority", 1 }, { "max_attempts", 3 } };
}

Json configuration()
{
    Json models = Json::array();
    Json routes = Json::array();
    for (const auto& name : names) {
        models.push_back(Json { { "name", "model-" + name } });
        routes.push_back(route("drafts-" + name, "/" + name + "/"));
    }
    return { { "version", 3 }, { "routes", routes }, { "services", Json::array({ Json { { "name", "draft" }, { "max_connections", 140 }, { "engine", { { "models", models } } } } }) },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 33554432 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

int run(const std::string& folder, Record& record)
{
    // Never destroyed, as their threads still use them.
    auto& store = *new Store;
    store.put("op/config", configuration().dump());
    std::vector<std::string> models;
    for (const auto& name : names)
        models.push_back("model-" + name);
    std::vector<Sampler*> engines;
    for (std::size_t i = 0; i < names.size(); ++i)
        engines.push_back(new Sampler(store, record, { "i-engine-" + std::to_string(i + 1), "draft", models, 4, 24, Milliseconds(100), 6 }));
    const HostPorts ports { freePort(), freePort() };
    const auto mirror = "127.0.0.1:" + std::to_string(freePort());
    Process coordinator(folder, "storage-1", coordinatorSettings("storage-1", store.address(), mirror, { mirror }));
    Process host(folder, "edge-1", hostSettings("edge-1", store.address(), ports, { mirror }));
    coordinator.start();
    host.start();
    if (!waitUntil([&] { return isReady(ports.ready) && store.value("coordinator/holder"); }, Milliseconds(15000)))
        return couldNotRun;
    sleepFor(Milliseconds(3000));

    std::vector<Trainer> trainers;
    for (const auto& name : names)
        trainers.emplace_back(record, ports.callers, name);
    // All trainers take their first steps.
    const auto itemsOf = [](std::size_t index) { return index == smallest ? 32U : 48U; };
    for (std::size_t i = 0; i < trainers.size(); ++i) {
        if (!trainers[i].submit(0, 1, itemsOf(i)))
            return couldNotRun;
    }
    for (std::size_t i = 0; i < trainers.size(); ++i) {
        if (!trainers[i].awaitResults(0, itemsOf(i)))
            return couldNotRun;
        trainers[i].end(0);
    }
    for (unsigned version = 2; version <= 3; ++version) {
        for (const auto& model : models)
            nameVersion(store, record, model, version);
        sleepFor(Milliseconds(2000));
    }
    const auto enginesWith = [&](const std::string& model) {
        std::vector<Sampler*> found;
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(found), [&](auto* engine) { return engine->versionOf(model) >= 2; });
        return found;
    };
    if (!waitUntil([&] { return std::none_of(models.begin(), models.end(), [&](const auto& model) { return enginesWith(model).empty(); }); }, Milliseconds(20000)))
        return couldNotRun;
    sleepFor(Milliseconds(1000));

    // Step 3 is asked for after version 3 was named, and allows version 2 and newer.
    auto& trainer = trainers[smallest];
    const auto submittedAt = record.now();
    if (!trainer.submit(3, 2, 32))
        return couldNotRun;
    sleepFor(Milliseconds(1500));
    if (hasTrouble()) {
        const auto found = enginesWith(models[smallest]);
        if (found.size() != 1)
            return couldNotRun;
        found.front()->crash();
        record.line("the engine that has " + models[smallest] + " in version 2 or newer is lost for good; five engines are left");
        sleepFor(Milliseconds(3600));
        found.front()->removeEntry();
        record.line("its entry is removed, after three status report intervals");
    }
    while (record.now() < submittedAt + stepDeadline.count())
        sleepFor(Milliseconds(50));
    const auto listed = trainer.results(3);
    const auto deadlineAt = record.now();
    record.line("step 3 of " + models[smallest] + " runs out of time with " + std::to_string(listed.size()) + " of 32 results");
    trainer.end(3);

    std::map<std::string, std::int64_t> lastRun;
    for (auto* engine : engines) {
        for (const auto& one : engine->runs())
            lastRun[one.id] = std::max(lastRun[one.id], one.arrivedAt);
    }
    unsigned begun = 0;
    unsigned idle = 0;
    for (unsigned i = 0; i < 32; ++i) {
        const auto id = trainer.itemId(3, i);
        begun += lastRun.contains(id) ? 1 : 0;
        const auto since = lastRun.contains(id) ? lastRun[id] : submittedAt;
        // A run takes 0.6 s.
        const bool isIdle = !listed.contains(id) && deadlineAt - since > maximumIdleTime.count() + 600;
        idle += isIdle ? 1 : 0;
    }
    record.line(std::to_string(begun) + " items of the step had begun; " + std::to_string(idle) + " unfinished ones have been at no sampler for 5 s or more, while the other engines had nothing to do");
    return begun > 0 && idle > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, &run);
}
