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

/// Time until all hosts have heard of a new configuration, if each holds it as soon as it hears of it.
void printConfigurationSpread(FakeFleet& fleet, const std::string& name)
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
    printSettling(fleet, prefix + ".start-together");
    fleet.advance(10s);
    printTraffic(fleet, prefix + ".quiet", 10s);
    printConfigurationSpread(fleet, prefix + ".configuration");
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
    const auto heapBefore = mallinfo2().uordblks;
    const double firstSeconds = timed(apply);
    printRow("membership.entry", static_cast<double>(mallinfo2().uordblks - heapBefore) / static_cast<double>(members), "B of heap");
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

/// Buckets of claims, one claim host for each bucket, against a service that takes a bounded number of writes a second.
class ClaimLoad {
public:
    ClaimLoad(std::size_t buckets, std::chrono::milliseconds groupInterval)
        : m_groupInterval(groupInterval)
    {
        for (std::size_t i = 0; i < buckets; ++i)
            m_buckets.push_back(Bucket { ClaimBatcher("bucket", "0123456789ab", ClaimSettings {}), {}, {}, 0, {}, {}, {} });
    }

    /// @brief Offers @p claimsPerSecond for @p time and prints what it cost.
    void run(double claimsPerSecond, std::chrono::seconds time)
    {
        constexpr std::chrono::milliseconds step { 1 };
        double owed = 0;
        for (auto passed = std::chrono::milliseconds(0); passed < time; passed += step) {
            m_clock.advance(step);
            for (owed += claimsPerSecond * secondsOf(step); owed >= 1; owed -= 1)
                offer();
            for (auto& bucket : m_buckets)
                advance(bucket);
        }
        const std::string name = "claims." + std::to_string(static_cast<int>(claimsPerSecond)) + "-offered";
        std::sort(m_latencies.begin(), m_latencies.end());
        printRow(name + ".claims", static_cast<double>(m_latencies.size()) / secondsOf(time), "1/s");
        printRow(name + ".writes", static_cast<double>(m_writes) / secondsOf(time), "1/s");
        printRow(name + ".writes-a-claim", static_cast<double>(m_writes) / static_cast<double>(m_latencies.size()), "writes");
        printRow(name + ".latency-p50", m_latencies[m_latencies.size() / 2], "ms");
        printRow(name + ".latency-p99", m_latencies[m_latencies.size() * 99 / 100], "ms");
        printRow(name + ".written", static_cast<double>(m_bytesWritten) / secondsOf(time), "B/s");
    }

private:
    static constexpr std::chrono::milliseconds roundTrip { 5 };

    struct Bucket {
        ClaimBatcher batcher;
        std::optional<ClaimAction> open;
        std::string value;
        Revision revision = 0;
        TimePoint answerAt;
        TimePoint nextWriteAt;
        std::map<ClaimTicket, TimePoint> since;
    };

    void offer()
    {
        auto& bucket = m_buckets[randomIndex(m_random, m_buckets.size())];
        const auto key = sha256Hex(std::to_string(++m_keys));
        const auto ticket = bucket.batcher.claim(key.substr(0, 32), key.substr(32, 16), m_clock.now());
        if (ticket)
            bucket.since.emplace(ticket.value(), m_clock.now());
    }

    void advance(Bucket& bucket)
    {
        if (bucket.open && m_clock.now() >= bucket.answerAt)
            answer(bucket);
        if (!bucket.open && m_clock.now() >= bucket.nextWriteAt)
            bucket.open = bucket.batcher.next(m_clock.now(), 1000000000);
        else
            return;
        bucket.answerAt = m_clock.now() + roundTrip;
        if (bucket.open && bucket.open->write)
            bucket.nextWriteAt = m_clock.now() + m_groupInterval;
    }

    void answer(Bucket& bucket)
    {
        auto action = *std::exchange(bucket.open, std::nullopt);
        if (action.write) {
            ++m_writes;
            m_bytesWritten += action.write->value.size();
            bucket.value = std::move(action.write->value);
            bucket.batcher.onWrite(Result<Revision>(++bucket.revision), m_clock.now());
        } else {
            bucket.batcher.onRead(Result<std::optional<KeyValueEntry>>(std::optional<KeyValueEntry>()), m_clock.now());
        }
        for (const auto& resolution : bucket.batcher.takeResolutions())
            m_latencies.push_back(1000.0 * secondsOf(m_clock.now() - bucket.since.at(resolution.ticket)));
    }

    ManualClock m_clock;
    Random m_random { 1 };
    std::chrono::milliseconds m_groupInterval;
    std::vector<Bucket> m_buckets;
    std::vector<double> m_latencies;
    std::uint64_t m_keys = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_bytesWritten = 0;
};

void measureClaims()
{
    constexpr std::size_t buckets = 64;
    constexpr std::chrono::milliseconds groupInterval { 200 };
    constexpr std::chrono::seconds time { 10 };
    for (const double offered : { 10.0, 100.0, 1000.0, 3000.0 })
        ClaimLoad(buckets, groupInterval).run(offered, time);
    ClaimBucket bucket;
    constexpr std::size_t entries = 9000;
    for (std::size_t i = 0; i < entries; ++i) {
        const auto key = sha256Hex(std::to_string(i));
        bucket.insert(key.substr(0, 32), ClaimEntry { key.substr(32, 16), "0123456789ab-" + std::to_string(i), 1700000000, 200U });
    }
    std::string text;
    const double seconds = timed([&] { text = bucket.toJson(); });
    const double readSeconds = timed([&] { (void)ClaimBucket::fromJson(text); });
    printRow("claims.entry", static_cast<double>(text.size()) / static_cast<double>(entries), "B");
    printRow("claims.bucket-of-9000.write", 1000.0 * seconds, "ms");
    printRow("claims.bucket-of-9000.read", 1000.0 * readSeconds, "ms");
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
    measureClaims();
    for (const auto size : sizes) {
        measureMembership(size, seed);
        measureSplit(size, seed);
    }
    return 0;
}
