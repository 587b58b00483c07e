#include "CommandLine.h"
#include "SiteStateCommand.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace cicadalb;
using nlohmann::json;

namespace {

const auto coordinatorDump = json::parse(R"({ "host": "first", "ready": true, "later-field": {}, "site": {
    "configuration": { "version": 7, "age-ms": 250 },
    "organisations": [ { "name": "north", "priority": 1, "keys": 2 }, { "name": "south", "priority": null, "keys": 1 } ],
    "coordinator": { "host": "first", "fence": 812, "coordinating-for-ms": 61000 },
    "work": { "submissions": 3, "running": 40, "waiting": 5, "placement-paused": false },
    "permits": { "granting": true, "coordinator-known": true, "asking-hosts": 6, "limited-targets": 2 },
    "usage": { "waiting": 1, "last": { "window": 1000, "requests": 90, "organisations": 2, "age-ms": 3100, "outcome": "accepted", "hosts": 4, "missing": [ "killed" ], "silent": [] } },
    "usage-delivered": true,
    "orders": [ { "pool": "engines", "failure-domain": "a", "reclaimable": true, "engines": 12, "from": 8, "cause": "need", "accepted": true } ] } })");

/// States of hosts at 127.0.0.1:1, :2 and so on.
HostStates statesOf(const std::vector<json>& dumps)
{
    HostStates hosts;
    for (const auto& dump : dumps)
        hosts.states["127.0.0.1:" + std::to_string(hosts.states.size() + 1)] = dump;
    return hosts;
}

bool contains(const CommandOutcome& outcome, const std::string& text)
{
    INFO(outcome.text);
    return outcome.text.find(text) != std::string::npos;
}

struct CommandRun {
    int exitCode = 0;
    std::string output;
};

CommandRun run(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "cicadactl");
    std::ostringstream output;
    const auto exitCode = runCommandLine(static_cast<int>(arguments.size()), arguments.data(), output, output);
    return { exitCode, output.str() };
}

} // namespace

TEST_CASE("site state command, a coordinator's dump, shows each part of it")
{
    const auto outcome = describeSite(statesOf({ coordinatorDump }));
    CHECK(outcome.exitCode == ExitCode::Success);
    CHECK(contains(outcome, "coordinator: first, fencing number 812, for 61.0 s\n"));
    CHECK(contains(outcome, "configuration: version 7, age 0.2 s\n"));
    CHECK(contains(outcome, "north: priority 1, keys 2\n"));
    CHECK(contains(outcome, "south: priority of the route, keys 1\n"));
    CHECK(contains(outcome, "submissions 3, running 40, waiting 5"));
    CHECK(contains(outcome, "window 1000: requests 90 of organisations 2, accepted 3.1 s after its end\n"));
    CHECK(contains(outcome, "hosts with counts 4; missing 1 killed; silent 0\n"));
    CHECK(contains(outcome, "engines in a, reclaimable: 8 -> 12, cause need, in force\n"));
    CHECK(outcome.json["sites"]["127.0.0.1:1"] == coordinatorDump["site"]);
}

TEST_CASE("site state command, a host of an earlier build, is shown with what it states and the rest as unknown")
{
    const auto outcome = describeSite(statesOf({ { { "host", "old" }, { "ready", true }, { "configuration", 7 } } }));
    CHECK(outcome.exitCode == ExitCode::Success);
    CHECK(contains(outcome, "coordinator: unknown\n"));
    CHECK(contains(outcome, "old (127.0.0.1:1): ready yes\n"));
    CHECK(contains(outcome, "state of the site: unknown"));
}

TEST_CASE("site state command, two processes that state that they coordinate, shows both with their fencing numbers")
{
    auto second = coordinatorDump;
    second["host"] = "second";
    second["site"]["coordinator"] = { { "host", "second" }, { "fence", 815 }, { "coordinating-for-ms", 900 } };
    auto bystander = coordinatorDump;
    bystander["host"] = "third";
    bystander["site"]["coordinator"] = { { "host", "second" }, { "fence", 815 }, { "coordinating-for-ms", nullptr } };
    const auto outcome = describeSite(statesOf({ coordinatorDump, second, bystander }));
    CHECK(contains(outcome, "several processes state that they coordinate"));
    CHECK(contains(outcome, "coordinator: first, fencing number 812"));
    CHECK(contains(outcome, "coordinator: second, fencing number 815"));
    CHECK(contains(outcome, "second, fencing number 815, as known to third\n"));
}

TEST_CASE("site state command, each value in turn of each other type, still shows the site")
{
    const std::vector<json> wrongValues { nullptr, true, -1, 1.5e300, "text\nwith\x1b control", json::array({ nullptr, 1, json::array() }), json { { "other", 1 } } };
    const auto flat = coordinatorDump.flatten();
    std::vector<std::string> pointers { "", "/site", "/site/organisations", "/site/organisations/0", "/site/coordinator", "/site/work", "/site/permits", "/site/usage", "/site/usage/last", "/site/usage/last/missing", "/site/orders", "/site/orders/0", "/site/configuration" };
    for (const auto& [pointer, value] : flat.items())
        pointers.push_back(pointer);
    for (const auto& pointer : pointers) {
        for (const auto& wrong : wrongValues) {
            auto dump = coordinatorDump;
            dump[json::json_pointer(pointer)] = wrong;
            INFO(pointer << " is " << wrong.dump());
            const auto outcome = describeSite(statesOf({ dump }));
            CHECK(outcome.exitCode == ExitCode::Success);
            CHECK(contains(outcome, "127.0.0.1:1"));
            CHECK_FALSE(contains(outcome, "\x1b"));
        }
    }
}

TEST_CASE("site state command, a host that does not answer beside one that does, shows the other and fails with the error")
{
    auto hosts = statesOf({ coordinatorDump });
    hosts.errors.push_back({ ErrorCode::NotSent, "connection refused", "127.0.0.1:9" });
    const auto outcome = describeSite(hosts);
    CHECK(outcome.exitCode == ExitCode::Unreachable);
    CHECK(contains(outcome, "127.0.0.1:9"));
    CHECK(contains(outcome, "coordinator: first"));
}

TEST_CASE("site state command, addresses that are wrong, missing or that nobody answers at, ends with the documented exit code")
{
    CHECK(run({ "site-state" }).exitCode == 2);
    CHECK(run({ "site-state", "--host", "nowhere" }).exitCode == 1);
    const auto refused = run({ "site-state", "--json", "--host", "127.0.0.1:1" });
    CHECK(refused.exitCode == 3);
    const auto printed = json::parse(refused.output, nullptr, false);
    REQUIRE(printed.is_object());
    CHECK(printed["ok"] == false);
}
