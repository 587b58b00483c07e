#include "cicadalb/base/Hash.h"
#include "cicadalb/membership/FakeFleet.h"
#include "cicadalb/services/ClaimBatcher.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <malloc.h>
#include <map>
#include <string>
#include <vector>

/// @file
/// Measures how the costs of membership, assignment and claims grow with their size, for docs/CAPACITY.md.

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

/// Runs @p work and returns its wall-clock time, which stands for the processor time since the work is single-threaded.
template <typename Work>
double elapsedSeconds(Work work)
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

/// IP and UDP headers (28 bytes) and authentication code (16 bytes) of each datagram.
constexpr double datagramOverheadBytes = 28 + 16;

/// Advances @p fleet by @p time and prints the mean traffic and processor load of one member.
void printTraffic(FakeFleet& fleet, const std::string& name, std::chrono::milliseconds time)
{
    const auto before = trafficOf(fleet);
    const double wallSeconds = elapsedSeconds([&] { fleet.advance(time); });
    const auto after = trafficOf(fleet);
    const double memberSeconds = static_cast<double>(fleet.size()) * secondsOf(time);
    const double datagrams = after.datagrams - before.datagrams;
    printRow(name + ".datagrams", datagrams / memberSeconds, "1/s/member");
    printRow(name + ".bytes", (after.bytes - before.bytes + datagrams * datagramOverheadBytes) / memberSeconds, "B/s/member");
    printRow(name + ".processor", 100.0 * wallSeconds / memberSeconds, "%core/member");
}

/// Prints the time until all running hosts agree on the membership, and the bytes sent until then.
void printConvergence(FakeFleet& fleet, const std::string& name)
{
    const auto before = trafficOf(fleet);
    constexpr std::chrono::milliseconds limit { 30000 };
    const auto convergenceTime = fleet.advanceUntil(limit, [&] { return fleet.hasConverged(); });
    const auto after = trafficOf(fleet);
    printRow(name + ".settled", secondsOf(convergenceTime), "s");
    printRow(name + ".bytes", (after.bytes - before.bytes) / static_cast<double>(fleet.size()), "B/member");
}

/// Prints the time until all hosts know of a new configuration, when each host adopts it as soon as it learns of it.
void printConfigurationPropagation(FakeFleet& fleet, const std::string& name)
{
    const ConfigurationNumber number = fleet.at(0).highestConfiguration().number + 1;
    fleet.at(0).setConfiguration(number);
    const auto isKnownToAll = [&] {
        bool isKnown = true;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.at(i).setConfiguration(fleet.at(i).highestConfiguration().number);
            isKnown = isKnown && fleet.at(i).self().configuration == number;
        }
        return isKnown;
    };
    printRow(name + ".known-to-all", secondsOf(fleet.advanceUntil(30s, isKnownToAll)), "s");
}

void measureMembership(std::size_t size, std::uint64_t seed)
{
    const std::string prefix = "membership." + std::to_string(size);
    constexpr std::size_t domains = 10;
    FakeFleet fleet(size, seed, domains);
    fleet.startAll();
    printConvergence(fleet, prefix + ".start-together");
    fleet.advance(10s);
    printTraffic(fleet, prefix + ".quiet", 10s);
    printConfigurationPropagation(fleet, prefix + ".configuration");
    fleet.kill(size / 2);
    printConvergence(fleet, prefix + ".one-host-lost");
    fleet.start(size / 2);
    printConvergence(fleet, prefix + ".one-host-back");
    for (std::size_t i = 0; i < size; i += domains)
        fleet.kill(i);
    printConvergence(fleet, prefix + ".domain-lost");
    for (std::size_t i = 0; i < size; i += domains)
        fleet.start(i);
    printConvergence(fleet, prefix + ".domain-back");
}

/// Measures the time to encode one membership update and to decode and apply it, its encoded size, and the heap used per member.
void measureUpdates(std::size_t members)
{
    std::vector<MembershipMessage> messages;
    constexpr std::size_t updatesPerMessage = 14;
    for (std::size_t i = 0; i < members; ++i) {
        if (i % updatesPerMessage == 0) {
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
    const double encodeSeconds = elapsedSeconds([&] {
        for (const auto& message : messages)
            payloads.push_back(encode(message));
    });
    const auto apply = [&] {
        for (const auto& payload : payloads)
            membership.receive(MemberEndpoint { "10.0.0.1", 10001 }, payload, clock.now());
    };
    const auto heapBefore = mallinfo2().uordblks;
    const double firstReceiveSeconds = elapsedSeconds(apply);
    printRow("membership.entry", static_cast<double>(mallinfo2().uordblks - heapBefore) / static_cast<double>(members), "B of heap");
    const double repeatedReceiveSeconds = elapsedSeconds(apply);
    const double microsecondsPerUpdate = 1e6 / static_cast<double>(members);
    std::size_t bytes = 0;
    for (const auto& payload : payloads)
        bytes += payload.size();
    printRow("membership.update.encode", encodeSeconds * microsecondsPerUpdate, "us");
    printRow("membership.update.first-received", firstReceiveSeconds * microsecondsPerUpdate, "us");
    printRow("membership.update.received-again", repeatedReceiveSeconds * microsecondsPerUpdate, "us");
    printRow("membership.update.size", static_cast<double>(bytes) / static_cast<double>(members), "B");
}

/// Cuts the hosts into two regions for a minute. Measures how soon each region sees only its own hosts, and how soon all hosts agree again.
void measurePartition(std::size_t size, std::uint64_t seed)
{
    const std::string prefix = "membership." + std::to_string(size) + ".regions";
    FakeFleet fleet(size, seed, 10);
    fleet.startAll();
    fleet.advance(20s);
    const std::size_t boundary = size / 4;
    fleet.split(boundary);
    const auto isPartitionDetected = [&] {
        for (std::size_t i = 0; i < size; ++i) {
            if (fleet.at(i).presentCount() != (i < boundary ? boundary : size - boundary))
                return false;
        }
        return true;
    };
    const auto detectionTime = fleet.advanceUntil(30s, isPartitionDetected);
    printRow(prefix + "-apart.settled", secondsOf(detectionTime), "s");
    fleet.advance(60s - detectionTime);
    fleet.merge();
    printConvergence(fleet, prefix + "-together");
}

void measureAssignment(std::size_t hosts, std::size_t targets)
{
    std::vector<AssignableHost> assignableHosts;
    constexpr std::size_t distinctWeights = 4;
    for (std::size_t i = 0; i < hosts; ++i)
        assignableHosts.push_back(AssignableHost { HostId("host-" + std::to_string(i)), 0.5 + static_cast<double>(i % distinctWeights), FailureDomain("domain") });
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < targets; ++i)
        keys.push_back("target-" + std::to_string(i));
    const std::string prefix = "assignment." + std::to_string(targets) + "-to-" + std::to_string(hosts);
    std::vector<const AssignableHost*> assigned(targets);
    const double buildSeconds = elapsedSeconds([&] {
        const Assignment assignment(assignableHosts);
    });
    const Assignment assignment(assignableHosts);
    const double lookupSeconds = elapsedSeconds([&] {
        for (std::size_t i = 0; i < targets; ++i)
            assigned[i] = assignment.hostOf(keys[i]);
    });
    printRow(prefix + ".build", 1000.0 * buildSeconds, "ms");
    printRow(prefix + ".all", 1000.0 * lookupSeconds, "ms");
    assignableHosts.erase(assignableHosts.begin() + static_cast<std::ptrdiff_t>(hosts / 2));
    const Assignment smallerAssignment(assignableHosts);
    std::size_t movedTargets = 0;
    for (std::size_t i = 0; i < targets; ++i)
        movedTargets += smallerAssignment.hostOf(keys[i])->id == assigned[i]->id ? 0 : 1;
    printRow(prefix + ".moved-by-one-host", static_cast<double>(movedTargets), "targets");
}

/// Claim buckets, each written by one host, on a simulated key-value service with a fixed round-trip time. A bucket is written at most
/// once per commit interval, which bounds the writes per second.
class ClaimSimulation {
public:
    ClaimSimulation(std::size_t buckets, std::chrono::milliseconds commitInterval)
        : m_commitInterval(commitInterval)
    {
        for (std::size_t i = 0; i < buckets; ++i)
            m_buckets.push_back(Bucket { ClaimBatcher("bucket", "0123456789ab", ClaimSettings {}), {}, {}, 0, {}, {}, {} });
    }

    /// @brief Submits @p claimsPerSecond for @p time and prints the claims decided, the writes and the latencies.
    void run(double claimsPerSecond, std::chrono::seconds time)
    {
        constexpr std::chrono::milliseconds tickInterval { 1 };
        double dueClaims = 0;
        for (auto elapsed = std::chrono::milliseconds(0); elapsed < time; elapsed += tickInterval) {
            m_clock.advance(tickInterval);
            for (dueClaims += claimsPerSecond * secondsOf(tickInterval); dueClaims >= 1; dueClaims -= 1)
                submitClaim();
            for (auto& bucket : m_buckets)
                advance(bucket);
        }
        const std::string name = "claims." + std::to_string(static_cast<int>(claimsPerSecond)) + "-offered";
        std::sort(m_latenciesMs.begin(), m_latenciesMs.end());
        printRow(name + ".claims", static_cast<double>(m_latenciesMs.size()) / secondsOf(time), "1/s");
        printRow(name + ".writes", static_cast<double>(m_writes) / secondsOf(time), "1/s");
        printRow(name + ".writes-a-claim", static_cast<double>(m_writes) / static_cast<double>(m_latenciesMs.size()), "writes");
        printRow(name + ".latency-p50", m_latenciesMs[m_latenciesMs.size() / 2], "ms");
        printRow(name + ".latency-p99", m_latenciesMs[m_latenciesMs.size() * 99 / 100], "ms");
        printRow(name + ".written", static_cast<double>(m_bytesWritten) / secondsOf(time), "B/s");
    }

private:
    static constexpr std::chrono::milliseconds roundTripTime { 5 };

    struct Bucket {
        ClaimBatcher batcher;
        std::optional<ClaimAction> openCall;
        std::string value;
        Revision revision = 0;
        TimePoint completesAt;
        TimePoint nextWriteAt;
        std::map<ClaimTicket, TimePoint> claimedAt;
    };

    void submitClaim()
    {
        auto& bucket = m_buckets[randomIndex(m_random, m_buckets.size())];
        const auto key = sha256Hex(std::to_string(++m_keyCount));
        const auto ticket = bucket.batcher.claim(key.substr(0, 32), key.substr(32, 16), m_clock.now());
        if (ticket)
            bucket.claimedAt.emplace(ticket.value(), m_clock.now());
    }

    void advance(Bucket& bucket)
    {
        if (bucket.openCall && m_clock.now() >= bucket.completesAt)
            completeCall(bucket);
        if (!bucket.openCall && m_clock.now() >= bucket.nextWriteAt)
            bucket.openCall = bucket.batcher.next(m_clock.now(), 1000000000);
        else
            return;
        bucket.completesAt = m_clock.now() + roundTripTime;
        if (bucket.openCall && bucket.openCall->write)
            bucket.nextWriteAt = m_clock.now() + m_commitInterval;
    }

    void completeCall(Bucket& bucket)
    {
        auto action = *std::exchange(bucket.openCall, std::nullopt);
        if (action.write) {
            ++m_writes;
            m_bytesWritten += action.write->value.size();
            bucket.value = std::move(action.write->value);
            bucket.batcher.onWrite(Result<Revision>(++bucket.revision), m_clock.now());
        } else {
            bucket.batcher.onRead(m_absentEntry, m_clock.now());
        }
        for (const auto& resolution : bucket.batcher.takeResolutions())
            m_latenciesMs.push_back(1000.0 * secondsOf(m_clock.now() - bucket.claimedAt.at(resolution.ticket)));
    }

    /// Reply of a read when the key does not exist. A temporary here makes GCC 12 report an uninitialised value.
    const Result<std::optional<KeyValueEntry>> m_absentEntry = std::optional<KeyValueEntry>();
    ManualClock m_clock;
    Random m_random { 1 };
    std::chrono::milliseconds m_commitInterval;
    std::vector<Bucket> m_buckets;
    std::vector<double> m_latenciesMs;
    std::uint64_t m_keyCount = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_bytesWritten = 0;
};

void measureClaims()
{
    constexpr std::size_t buckets = 64;
    constexpr std::chrono::milliseconds commitInterval { 200 };
    constexpr std::chrono::seconds time { 10 };
    for (const double claimsPerSecond : { 10.0, 100.0, 1000.0, 3000.0 })
        ClaimSimulation(buckets, commitInterval).run(claimsPerSecond, time);
    ClaimBucket bucket;
    constexpr std::size_t entries = 9000;
    for (std::size_t i = 0; i < entries; ++i) {
        const auto key = sha256Hex(std::to_string(i));
        bucket.insert(key.substr(0, 32), ClaimEntry { key.substr(32, 16), "0123456789ab-" + std::to_string(i), 1700000000, 200U });
    }
    std::string json;
    const double writeSeconds = elapsedSeconds([&] { json = bucket.toJson(); });
    const double readSeconds = elapsedSeconds([&] { (void)ClaimBucket::fromJson(json); });
    printRow("claims.entry", static_cast<double>(json.size()) / static_cast<double>(entries), "B");
    printRow("claims.bucket-of-9000.write", 1000.0 * writeSeconds, "ms");
    printRow("claims.bucket-of-9000.read", 1000.0 * readSeconds, "ms");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures how costs grow with size, for docs/CAPACITY.md");
    std::vector<std::size_t> sizes { 8, 32, 128, 512, 1300 };
    std::uint64_t seed = 1;
    app.add_option("--sizes", sizes, "numbers of members to measure");
    app.add_option("--seed", seed, "seed of the random numbers");
    CLI11_PARSE(app, argc, argv);
    measureAssignment(1300, 12000);
    measureUpdates(1300);
    measureClaims();
    for (const auto size : sizes) {
        measureMembership(size, seed);
        measurePartition(size, seed);
    }
    return 0;
}
