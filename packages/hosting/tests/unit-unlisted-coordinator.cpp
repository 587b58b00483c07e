#include "SimulatedCoordinators.h"
#include "SiteParts.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

SiteSettings settingsOf(std::vector<SocketAddress> listed, SocketAddress own = {})
{
    SiteSettings settings;
    settings.host.id = HostId("host-1");
    settings.addresses.mirrorSources = std::move(listed);
    settings.addresses.mirrorListen = std::move(own);
    return settings;
}

const SocketAddress firstCandidate { "10.0.0.1", 7001 };
const SocketAddress secondCandidate { "10.0.0.2", 7001 };

} // namespace

// Guards against hosts that find no coordinator for usage counts and permits because their settings do not list the one that coordinates.
TEST_CASE_METHOD(SimulatedCoordinators, "unlisted coordinator, candidate or standby, is known with its address at hosts that reach a mirror")
{
    addSite(2, 2);
    REQUIRE(runUntil([this] { return coordinator() != nullptr; }, 5s));
    runFor(4s);
    const auto address = coordinator()->coordination->holder()->address;
    CHECK(address.starts_with("10.0.0.1:"));
    for (const auto& process : processes()) {
        INFO(process->name);
        if (process->isStandby)
            CHECK(process->mirrorClient->coordinatorAddress() == address);
        else
            CHECK(process->coordination->holder()->address == address);
    }
}

TEST_CASE_METHOD(SimulatedCoordinators, "unlisted coordinator, all mirrors gone, is no longer known from them")
{
    addSite(1, 1);
    REQUIRE(runUntil([this] { return coordinator() != nullptr; }, 5s));
    runFor(4s);
    REQUIRE_FALSE(find("standby-0")->mirrorClient->coordinatorAddress().empty());
    end(*find("candidate-0"));
    runFor(2s);
    CHECK(find("standby-0")->mirrorClient->coordinatorAddress().empty());
}

TEST_CASE("unlisted coordinator, reply of a mirror, states its address and earlier builds none")
{
    MirrorReply reply;
    reply.coordination.coordinatorAddress = "10.0.0.3:7001";
    const auto text = encodeMirrorReply(reply);
    CHECK(decodeMirrorReply(text).value().coordination.coordinatorAddress == "10.0.0.3:7001");
    auto json = nlohmann::json::from_cbor(text);
    json.erase("coordinator");
    const auto earlier = nlohmann::json::to_cbor(json);
    CHECK(decodeMirrorReply(std::string(earlier.begin(), earlier.end())).value().coordination.coordinatorAddress.empty());
}

TEST_CASE("unlisted coordinator, address that the settings do not list, is where messages are sent as well")
{
    const auto settings = settingsOf({ firstCandidate, secondCandidate });
    const auto endpoint = unlistedEndpoint(settings, "10.0.0.3:7001");
    REQUIRE(endpoint);
    CHECK(endpoint->address == "10.0.0.3");
    CHECK(endpoint->port == 7001);
}

// A process that is asked twice in one search would take the place of another one.
TEST_CASE("unlisted coordinator, address that is listed, missing or malformed, is none")
{
    const auto settings = settingsOf({ firstCandidate, secondCandidate });
    for (const auto* address : { "10.0.0.2:7001", "", "10.0.0.3", "10.0.0.3:x" }) {
        INFO(address);
        CHECK_FALSE(unlistedEndpoint(settings, address));
    }
}

TEST_CASE("unlisted coordinator, candidate with a mirror and standby without, state the address at which they serve hosts")
{
    auto settings = settingsOf({ firstCandidate }, secondCandidate);
    settings.addresses.standbyListen = { "10.0.0.9", 7009 };
    CHECK(addressForHosts(settings) == "10.0.0.2:7001");
    settings.addresses.mirrorListen = {};
    CHECK(addressForHosts(settings) == "10.0.0.9:7009");
    settings.addresses.standbyListen = {};
    CHECK(addressForHosts(settings).empty());
}
