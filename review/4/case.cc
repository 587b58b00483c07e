/// Requests that must not be repeated, at samplers that are full and send some of their answers once more. See claim.txt.

#include "../common/World.hpp"

using namespace review;

namespace {

constexpr unsigned hostCount = 3;
constexpr unsigned serviceCount = 3;
constexpr unsigned callersOfService = 18;
constexpr Milliseconds loadTime { 60000 };

std::string nameOf(unsigned service) { return "ledger-" + std::to_string(service); }

Json configuration()
{
    Json routes = Json::array();
    Json services = Json::array();
    for (unsigned service = 0; service < serviceCount; ++service) {
        routes.push_back({ { "name", "posts-" + std::to_string(service) }, { "hostname", "site.example" }, { "prefix", "/posts/" + std::to_string(service) + "/" }, { "type", "non_idempotent" }, { "service", nameOf(service) },
            { "timeout_ms", 2000 }, { "target_latency_ms", 150 }, { "priority", 1 }, { "max_attempts", 2 } });
        services.push_back({ { "name", nameOf(service) }, { "max_connections", 110 } });
    }
    return { { "version", 3 }, { "routes", routes }, { "services", services }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 33554432 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

int run(const std::string& folder, Record& record)
{
    // Never destroyed, as their threads still use them.
    auto& store = *new Store;
    store.put("op/config", configuration().dump());
    std::vector<Sampler*> samplers;
    for (unsigned service = 0; service < serviceCount; ++service) {
        Sampler::Options options { "i-" + nameOf(service), nameOf(service), {}, 4, 2, Milliseconds(6), 0 };
        // At most 3 in 100 of a sampler's answers are sent once more, late.
        options.extraShare = hasTrouble() ? 0.03 : 0;
        samplers.push_back(new Sampler(store, record, options));
    }
    const auto mirror = "127.0.0.1:" + std::to_string(freePort());
    Process coordinator(folder, "storage-1", coordinatorSettings("storage-1", store.address(), mirror, { mirror }));
    coordinator.start();
    std::vector<HostPorts> ports;
    std::vector<std::unique_ptr<Process>> hosts;
    for (unsigned i = 0; i < hostCount; ++i) {
        ports.push_back({ freePort(), freePort() });
        const auto name = "edge-" + std::to_string(i + 1);
        hosts.push_back(std::make_unique<Process>(folder, name, hostSettings(name, store.address(), ports.back(), { mirror })));
        hosts.back()->start();
    }
    for (const auto& port : ports) {
        if (!waitUntil([&] { return isReady(port.ready); }, Milliseconds(15000)))
            return couldNotRun;
    }
    sleepFor(Milliseconds(2000));

    std::mutex mutex;
    std::map<std::string, unsigned> statuses;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < serviceCount * callersOfService; ++caller) {
        callers.emplace_back([&, caller] {
            for (unsigned number = 0; !isOver; ++number) {
                // Each attempt of a client has an id of its own.
                const auto id = "post-" + std::to_string(caller) + "-" + std::to_string(number);
                const auto answer = call(ports[caller / serviceCount % hostCount].callers, "POST", "/posts/" + std::to_string(caller % serviceCount) + "/" + std::to_string(number), { { "Host", "site.example" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", "2000" } }, "amount", Milliseconds(2000));
                {
                    const std::lock_guard lock(mutex);
                    statuses[id] = answer.status;
                }
                record.line("answer to " + id + ": " + std::to_string(answer.status));
                const auto retryAfter = answer.fields.find("Retry-After");
                sleepFor(Milliseconds(retryAfter == answer.fields.end() ? number % 7 * 3 : static_cast<int>(1000 * std::stod(retryAfter->second))));
            }
        });
    }
    sleepFor(loadTime);
    isOver = true;
    for (auto& caller : callers)
        caller.join();
    sleepFor(Milliseconds(1000));

    std::map<std::string, unsigned> runs;
    for (auto* sampler : samplers) {
        for (const auto& run : sampler->runs())
            ++runs[run.id];
        record.line("a sampler gave " + std::to_string(sampler->answers()) + " answers and sent " + std::to_string(sampler->extras()) + " of them once more");
    }
    unsigned twice = 0;
    unsigned refused = 0;
    std::map<unsigned, unsigned> counts;
    for (const auto& [id, status] : statuses) {
        ++counts[status];
        const auto count = runs.contains(id) ? runs[id] : 0;
        if (count > 1) {
            ++twice;
            record.line(id + " ran " + std::to_string(count) + " times; its answer was " + std::to_string(status));
        }
        if (count > 0 && (status == 503 || status == 429)) {
            ++refused;
            record.line(id + " was answered " + std::to_string(status) + " and ran");
        }
    }
    for (const auto& [status, count] : counts)
        record.line(std::to_string(count) + " answers with status " + std::to_string(status));
    record.line(std::to_string(twice) + " requests ran more than once (TWICE); " + std::to_string(refused) + " were answered 503 or 429 and ran (REFUSED)");
    if (counts[200] == 0)
        return couldNotRun;
    return twice + refused > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, &run);
}
