/// Reward calls of a submission that its trainer has ended. See claim.txt.

#include "../common/World.hpp"

using namespace review;

namespace {

constexpr Milliseconds cancelTime { 3000 };
constexpr unsigned itemCount = 64;
const std::string submissionId = "a1b2c3d4e5f60718";

Json route(const std::string& name, const std::string& prefix, const char* type, const char* service, int timeout, int latency)
{
    return { { "name", name }, { "hostname", "site.example" }, { "prefix", prefix }, { "type", type }, { "service", service }, { "timeout_ms", timeout }, { "target_latency_ms", latency },
        { "target_finish_ms", 7500 }, { "item_ttl_s", 40 }, { "priority", 1 }, { "max_attempts", 3 } };
}

Json configuration()
{
    const Json models = Json::array({ Json { { "name", "m0" } } });
    return { { "version", 3 }, { "routes", Json::array({ route("drafts", "/drafts/", "rollout", "draft", 10000, 500), route("checks", "/checks/", "idempotent", "ledger", 10000, 400) }) },
        { "services", Json::array({ Json { { "name", "draft" }, { "max_connections", 140 }, { "engine", { { "models", models } } } }, Json { { "name", "ledger" }, { "max_connections", 110 } } }) },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 33554432 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

Json submission()
{
    Json items = Json::array();
    for (unsigned i = 0; i < itemCount; ++i) {
        const Json reward { { "id", "reward-" + std::to_string(i) }, { "hostname", "site.example" }, { "path", "/checks/" + std::to_string(i) }, { "body", base64("check") } };
        items.push_back({ { "id", "item-" + std::to_string(i) }, { "path", "/drafts/" + std::to_string(i) }, { "headers", { { "X-Model", "m0" }, { "X-Token-Usage", "100,300" } } }, { "body", base64("prompt") }, { "tokens", 400 },
            { "group_id", "g" + std::to_string(i / 4) }, { "scorer_url", reward } });
    }
    return { { "step", 0 }, { "model", "m0" }, { "min_version", 1 }, { "target_groups", itemCount / 4 }, { "items", items } };
}

int run(const std::string& folder, Record& record)
{
    // Never destroyed, as their threads still use them.
    auto& store = *new Store;
    store.put("op/config", configuration().dump());
    auto& engine = *new Sampler(store, record, { "i-engine", "draft", { "m0" }, 8, 24, Milliseconds(20), 6 });
    auto& ledger = *new Sampler(store, record, { "i-ledger", "ledger", {}, 2, 24, Milliseconds(100), 0 });
    // The sampler of the plain service takes four times as long as usual.
    if (hasTrouble())
        ledger.setWork(Milliseconds(400));
    const HostPorts ports { freePort(), freePort() };
    const auto mirror = "127.0.0.1:" + std::to_string(freePort());
    Process coordinator(folder, "storage-1", coordinatorSettings("storage-1", store.address(), mirror, { mirror }));
    Process host(folder, "edge-1", hostSettings("edge-1", store.address(), ports, { mirror }));
    coordinator.start();
    host.start();
    if (!waitUntil([&] { return isReady(ports.ready) && store.value("coordinator/holder"); }, Milliseconds(15000)))
        return couldNotRun;
    sleepFor(Milliseconds(3000));

    const auto submitted = call(ports.callers, "POST", "/drafts/step", { { "Host", "site.example" }, { "X-Attempt-Id", submissionId }, { "Content-Type", "application/json" } }, submission().dump(), Milliseconds(4000));
    record.line("submission sent; answer " + std::to_string(submitted.status));
    if (submitted.status != 202)
        return couldNotRun;
    sleepFor(Milliseconds(2000));
    const auto ended = call(ports.callers, "DELETE", "/api/lots/" + submissionId, { { "Host", "site.example" } }, "", Milliseconds(4000));
    const auto endedAt = record.now();
    record.line("end of the submission sent; answer " + std::to_string(ended.status));
    if (ended.status != 200 || ledger.runs().empty())
        return couldNotRun;
    sleepFor(Milliseconds(10000));

    unsigned late = 0;
    std::int64_t latest = 0;
    for (const auto& run : ledger.runs()) {
        latest = std::max(latest, run.arrivedAt - endedAt);
        late += run.arrivedAt > endedAt + cancelTime.count() ? 1 : 0;
    }
    record.line(std::to_string(ledger.runs().size()) + " reward calls have run; the last one arrived " + std::to_string(latest) + " ms after the acknowledgement of the end; " + std::to_string(late) + " arrived later than cancel_ms = 3000");
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, &run);
}
