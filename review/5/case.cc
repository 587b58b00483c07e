/// An item of a batch submission with a request hidden in one of its headers. See claim.txt.

#include "../common/World.hpp"

using namespace review;

namespace {

const std::string submissionId = "b7c8d9e0f1a20314";
const std::string hiddenId = "hidden-1";

Json configuration()
{
    const Json drafts { { "name", "drafts" }, { "hostname", "site.example" }, { "prefix", "/drafts/" }, { "type", "rollout" }, { "service", "draft" }, { "timeout_ms", 10000 }, { "target_latency_ms", 500 },
        { "target_finish_ms", 7500 }, { "item_ttl_s", 40 }, { "priority", 1 }, { "max_attempts", 3 } };
    const Json models = Json::array({ Json { { "name", "m0" } } });
    return { { "version", 3 }, { "routes", Json::array({ drafts }) }, { "services", Json::array({ Json { { "name", "draft" }, { "max_connections", 140 }, { "engine", { { "models", models } } } } }) },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 33554432 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

Json submission()
{
    std::string note = "a note";
    if (hasTrouble())
        note += "\r\nX-Attempt-Id: item-0\r\nHost: site.example\r\nContent-Length: 0\r\n\r\nPOST /elsewhere/1 HTTP/1.1\r\nX-Attempt-Id: " + hiddenId + "\r\nX-Rest: ";
    const Json item { { "id", "item-0" }, { "path", "/drafts/0" }, { "headers", { { "X-Model", "m0" }, { "X-Note", note }, { "X-Token-Usage", "100,300" } } }, { "body", base64("prompt") }, { "tokens", 400 }, { "group_id", "g0" } };
    return { { "step", 0 }, { "model", "m0" }, { "min_version", 1 }, { "target_groups", 1 }, { "items", Json::array({ item }) } };
}

int run(const std::string& folder, Record& record)
{
    auto& store = *new Store;
    store.put("op/config", configuration().dump());
    auto& engine = *new Sampler(store, record, { "i-engine", "draft", { "m0" }, 8, 24, Milliseconds(20), 6 });
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
    record.line("submission sent: " + submission().dump());
    record.line("its answer: " + std::to_string(submitted.status));
    if (submitted.status != 202 && submitted.status != 400)
        return couldNotRun;
    sleepFor(Milliseconds(5000));
    for (const auto& run : engine.runs()) {
        if (run.id == hiddenId)
            return ruleBroken;
    }
    return submitted.status == 202 && engine.runs().empty() && !hasTrouble() ? couldNotRun : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, &run);
}
