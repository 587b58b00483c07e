#include "cicadalb/membership/FakeFleet.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <vector>

/// @file
/// Slopes for docs/CAPACITY.md: cost of membership, assignment, claims and leases by size.

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

void printRow(const std::string& name, double value, const std::string& unit)
{
    std::cout << name << ' ' << value << ' ' << unit << std::endl;
}

double secondsOf(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Runs @p work and returns the processor time in seconds.
template <typename Work>
double timed(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return secondsOf(std::chrono::steady_clock::now() - start);
}

struct FleetTraffic {
    double bytes = 0;
    double datagrams = 0;
};

FleetTraffic trafficOf(const FakeFleet& fleet)
{
    FleetTraffic traffic;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.isRunning(i))
            continue;
        traffic.bytes += static_cast<double>(fleet.at(i).counters().bytesSent);
        traffic.datagrams += static_cast<double>(fleet.at(i).counters().datagramsSent);
    }
    return traffic;
}

/// Bytes of an IP and UDP header and of the authentication code of each datagram.
constexpr double datagramOverheadBytes = 28 + 16;

/// Advances @p fleet by @p time and prints what one member sends in it.
void printTraffic(FakeFleet& fleet, const std::string& name, std::chrono::milliseconds time)
{
    const auto before = trafficOf(fleet);
    const double processorSeconds = timed([&] { fleet.advance(time); });
    const auto after = trafficOf(fleet);
    const double memberSeconds = static_cast<double>(fleet.size()) * secondsOf(time);
    const double datagrams = after.datagrams - before.datagrams;
    printRow(name + ".datagrams", datagrams / memberSeconds, "1/s/member");
    printRow(name + ".bytes", (after.bytes - before.bytes + datagrams * datagramOverheadBytes) / memberSeconds, "B/s/member");
    printRow(name + ".processor", 100.0 * processorSeconds / memberSeconds, "%core/member");
}

void printSettling(FakeFleet& fleet, const std::string& name)
{
    const auto before = trafficOf(fleet);
    constexpr std::chrono::milliseconds limit { 30000 };
    const auto taken = fleet.advanceUntil(limit, [&] { return fleet.isSettled(); });
    const auto after = trafficOf(fleet);
    printRow(name + ".settled", secondsOf(taken), "s");
    printRow(name + ".bytes", (after.bytes - before.bytes) / static_cast<double>(fleet.size()), "B/member");
}

void measureMembership(std::size_t size, std::uint64_t seed)
{
    const std::string prefix = "membership." + std::to_string(size);
    constexpr std::size_t domains = 10;
    FakeFleet fleet(size, seed, domains);
    fleet.startAll();
    printSettling(fleet, prefix + ".start-together");
    fleet.advance(10s);
    printTraffic(fleet, prefix + ".quiet", 10s);
    fleet.kill(size / 2);
    printSettling(fleet, prefix + ".one-host-lost");
    fleet.start(size / 2);
    printSettling(fleet, prefix + ".one-host-back");
    for (std::size_t i = 0; i < size; i += domains)
        fleet.kill(i);
    printSettling(fleet, prefix + ".domain-lost");
    for (std::size_t i = 0; i < size; i += domains)
        fleet.start(i);
    printSettling(fleet, prefix + ".domain-back");
}

/// Processor time of one update: written into a datagram, read and applied.
void measureUpdates(std::size_t members)
{
    std::vector<MembershipMessage> messages;
    constexpr std::size_t updatesEach = 14;
    for (std::size_t i = 0; i < members; ++i) {
        if (i % updatesEach == 0) {
            messages.emplace_back();
            messages.back().kind = MembershipMessageKind::Gossip;
            messages.back().sender = HostId("host-1");
        }
        MemberDetails details { FailureDomain("domain-1"), 1.0, "10.0.0.1", static_cast<std::uint16_t>(10000 + i), 7000, 7001 };
        messages.back().updates.push_back(MemberUpdate { HostId("host-" + std::to_string(i)), 1000, MemberState::Alive, 0ms, details });
    }
    ManualClock clock;
    Member self;
    self.id = HostId("self");
    Membership membership(self, MembershipSettings {}, 1);
    membership.tick(clock.now());
    std::vector<std::vector<std::uint8_t>> payloads;
    const double encodeSeconds = timed([&] {
        for (const auto& message : messages)
            payloads.push_back(encode(message));
    });
    const auto apply = [&] {
        for (const auto& payload : payloads)
            membership.receive(MemberEndpoint { "10.0.0.1", 10001 }, payload, clock.now());
    };
    const double firstSeconds = timed(apply);
    const double againSeconds = timed(apply);
    const double microseconds = 1e6 / static_cast<double>(members);
    std::size_t bytes = 0;
    for (const auto& payload : payloads)
        bytes += payload.size();
    printRow("membership.update.encode", encodeSeconds * microseconds, "us");
    printRow("membership.update.first-received", firstSeconds * microseconds, "us");
    printRow("membership.update.received-again", againSeconds * microseconds, "us");
    printRow("membership.update.size", static_cast<double>(bytes) / static_cast<double>(members), "B");
}

/// Regions that lose each other for a minute: how soon assignments settle apart and together.
void measureSplit(std::size_t size, std::uint64_t seed)
{
    const std::string prefix = "membership." + std::to_string(size) + ".regions";
    FakeFleet fleet(size, seed, 10);
    fleet.startAll();
    fleet.advance(20s);
    const std::size_t boundary = size / 4;
    fleet.split(boundary);
    const auto isApart = [&] {
        for (std::size_t i = 0; i < size; ++i) {
            if (fleet.at(i).presentCount() != (i < boundary ? boundary : size - boundary))
                return false;
        }
        return true;
    };
    const auto taken = fleet.advanceUntil(30s, isApart);
    printRow(prefix + "-apart.settled", secondsOf(taken), "s");
    fleet.advance(60s - taken);
    fleet.merge();
    printSettling(fleet, prefix + "-together");
}

void measureAssignment(std::size_t hosts, std::size_t targets)
{
    std::vector<AssignableHost> all;
    constexpr std::size_t sizes = 4;
    for (std::size_t i = 0; i < hosts; ++i)
        all.push_back(AssignableHost { HostId("host-" + std::to_string(i)), 0.5 + static_cast<double>(i % sizes), FailureDomain("domain") });
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < targets; ++i)
        keys.push_back("target-" + std::to_string(i));
    const std::string prefix = "assignment." + std::to_string(targets) + "-to-" + std::to_string(hosts);
    std::vector<const AssignableHost*> assigned(targets);
    const double buildSeconds = timed([&] {
        const Assignment assignment(all);
    });
    const Assignment assignment(all);
    const double seconds = timed([&] {
        for (std::size_t i = 0; i < targets; ++i)
            assigned[i] = assignment.hostOf(keys[i]);
    });
    printRow(prefix + ".build", 1000.0 * buildSeconds, "ms");
    printRow(prefix + ".all", 1000.0 * seconds, "ms");
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(hosts / 2));
    const Assignment without(all);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < targets; ++i)
        moved += without.hostOf(keys[i])->id == assigned[i]->id ? 0 : 1;
    printRow(prefix + ".moved-by-one-host", static_cast<double>(moved), "targets");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures the slopes of docs/CAPACITY.md");
    std::vector<std::size_t> sizes { 8, 32, 128, 512, 1300 };
    std::uint64_t seed = 1;
    app.add_option("--sizes", sizes, "numbers of members");
    app.add_option("--seed", seed, "seed of the random numbers");
    CLI11_PARSE(app, argc, argv);
    measureAssignment(1300, 12000);
    measureUpdates(1300);
    for (const auto size : sizes) {
        measureMembership(size, seed);
        measureSplit(size, seed);
    }
    return 0;
}
