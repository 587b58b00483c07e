#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Random.h"
#include "cicadalb/membership/Assignment.h"
#include "cicadalb/membership/MembershipMessage.h"

#include <compare>
#include <deque>
#include <functional>
#include <unordered_map>

/// @file
/// Which hosts live, as one host sees it: random probes, suspicion with refutation, updates carried by all datagrams.

namespace cicadalb {

struct MembershipSettings {
    /// Time between two probes of one host.
    std::chrono::milliseconds probeInterval { 200 };
    /// Time after which other hosts are asked to probe.
    std::chrono::milliseconds directTimeout { 300 };
    /// Time after which a probed host becomes suspect.
    std::chrono::milliseconds probeTimeout { 700 };
    /// Time that a suspect host has to refute.
    std::chrono::milliseconds suspicionTimeout { 1250 };
    /// A suspicion reported later than this after its timeout is checked by an own probe first.
    std::chrono::milliseconds reportFreshness { 3000 };
    /// Time without any datagram after which this host no longer takes the silence for its own fault.
    std::chrono::milliseconds isolationTime { 2000 };
    /// A longer gap between two ticks means that this process was paused.
    std::chrono::milliseconds pauseThreshold { 1000 };
    /// Time between two probes of lost hosts, and of seeds while alone.
    std::chrono::milliseconds reconnectInterval { 1000 };
    /// Time between two contacts with a seed that is not a known member.
    std::chrono::milliseconds seedInterval { 1500 };
    /// Smallest time between two exchanges of state that one host asks for.
    std::chrono::milliseconds syncInterval { 1500 };
    std::chrono::milliseconds syncIntervalAlone { 300 };
    /// Time for which lost hosts are kept and probed, and departures remembered.
    std::chrono::minutes retention { 60 };
    std::size_t indirectProbes = 3;
    /// Probes added to each interval while several hosts are suspect.
    std::size_t additionalProbes = 16;
    std::size_t gossipFanout = 3;
    std::size_t maximumDatagramBytes = 1200;
    /// Budget of all that is sent but probes and their answers.
    double bytesPerSecond = 6000;
    double burstBytes = 800000;
};

/// @brief Where a host's membership port listens.
struct MemberEndpoint {
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const MemberEndpoint&) const = default;
};

struct OutgoingDatagram {
    MemberEndpoint to;
    std::vector<std::uint8_t> payload;
};

/// @brief A change of one member's state.
struct MembershipChange {
    HostId id;
    MemberState state = MemberState::Alive;
};

/// @brief The highest configuration heard of and a host that holds it.
struct ConfigurationSource {
    ConfigurationNumber number = 0;
    HostId host;
};

/// @brief Counters for the dump and the metrics.
struct MembershipCounters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t datagramsInvalid = 0;
    std::uint64_t syncsAsked = 0;
    std::uint64_t refutations = 0;
};

/// @brief The membership protocol of one host, without sockets or time of its own: feed it datagrams and ticks, send what it hands out.
/// Not thread-safe.
class Membership {
public:
    /// @param self this host; its incarnation should rise with each start
    Membership(Member self, MembershipSettings, std::uint64_t randomSeed);

    void setSeeds(std::vector<MemberEndpoint>);
    /// @brief Tells the others the highest accepted configuration that this host holds.
    void setConfiguration(ConfigurationNumber);

    /// @brief Drives probes and timeouts; call it several times a probe interval. Complexity: linear in the suspect hosts.
    void tick(TimePoint now);
    /// @brief Takes in one datagram. Complexity: constant for each update in it.
    void receive(const MemberEndpoint& from, std::span<const std::uint8_t> payload, TimePoint now);
    /// @brief Tells the others that this host leaves. Keep ticking for a second afterwards.
    void leave(TimePoint now);

    /// @brief Datagrams to send since the last call.
    std::vector<OutgoingDatagram> takeDatagrams();
    /// @brief Changes of other members since the last call.
    std::vector<MembershipChange> takeChanges();

    const Member& self() const noexcept { return m_entries.front().member; }
    /// @brief The member called @p id, or null.
    const Member* find(const HostId& id) const;
    /// @brief All known members, this host first.
    std::vector<Member> members() const;
    /// @brief The members that take assignments, this host included unless it is leaving.
    std::vector<AssignableHost> assignableHosts() const;
    std::size_t presentCount() const noexcept { return m_presentCount; }
    /// @brief Rises whenever the result of assignableHosts() changes.
    std::uint64_t version() const noexcept { return m_version; }
    /// @brief Equal on hosts with the same present members at the same incarnations.
    std::uint32_t digest() const noexcept;
    const ConfigurationSource& highestConfiguration() const noexcept { return m_highestConfiguration; }
    const MembershipCounters& counters() const noexcept { return m_counters; }

private:
    using Index = std::size_t;

    struct Entry {
        Member member;
        TimePoint changedAt;
        TimePoint suspectSince;
        TimePoint lastNoted;
        std::uint64_t idHash = 0;
        /// Remaining transmissions of the present state; 0: not queued.
        unsigned transmissionsLeft = 0;
        bool isWithDetails = false;
        /// The suspicion arose while this host was isolated and was not told to others.
        bool isLocalSuspicion = false;
        /// Another host takes it for lost; this host has not found it silent itself.
        bool isReportedLost = false;
    };

    struct Probe {
        Index index = 0;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        bool isIndirect = false;
    };

    struct Relay {
        std::uint64_t sequence = 0;
        MemberEndpoint origin;
        std::uint64_t originSequence = 0;
        TimePoint sentAt;
    };

    void passTime(TimePoint now);
    void resumeAfterPause(Duration gap, TimePoint now);
    void startProbes(TimePoint now);
    std::size_t probesAtOnce() const;
    std::optional<Index> nextProbed();
    void checkProbes(TimePoint now);
    void askForIndirectProbes(const Probe&, TimePoint now);
    void suspect(Index, TimePoint now);
    void expireSuspicions(TimePoint now);
    void gossip(TimePoint now);
    std::chrono::milliseconds sharedInterval(std::chrono::milliseconds, std::size_t silent) const;
    void reconnect(TimePoint now);
    std::vector<MemberEndpoint> unknownSeeds() const;
    void contactSeeds(TimePoint now);
    void forgetOldMembers(TimePoint now);

    void applyUpdate(const MemberUpdate&, const MemberEndpoint& from, TimePoint now);
    void refute(const MemberUpdate&, TimePoint now);
    void addMember(const MemberUpdate&, TimePoint now);
    void applySuspicion(Index, const MemberUpdate&, TimePoint now);
    void noteSender(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void handle(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void acknowledge(std::uint64_t sequence);
    void relayPing(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void answerSync(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void compareDigests(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void sendSyncRequest(const MemberEndpoint& to, TimePoint now);
    void requestSync(const MemberEndpoint& to, TimePoint now);

    void setState(Index, MemberState, Incarnation, TimePoint now);
    void enqueue(Index, bool withDetails);
    MembershipMessage message(MembershipMessageKind) const;
    MemberUpdate updateOf(const Entry&, bool withDetails, TimePoint now) const;
    void ping(Index, std::uint64_t sequence, TimePoint now);
    void piggyback(MembershipMessage&, TimePoint now);
    void send(const MembershipMessage&, const MemberEndpoint& to);
    std::optional<Index> randomAlive();
    std::optional<Index> recentSender();
    void toggleDigest(const Entry&);
    MemberEndpoint endpointOf(Index) const;
    bool isIsolated(TimePoint now) const;

    MembershipSettings m_settings;
    Random m_random;
    /// This host first.
    std::vector<Entry> m_entries;
    std::unordered_map<HostId, Index> m_indices;
    std::vector<MemberEndpoint> m_seeds;
    std::vector<std::uint32_t> m_bucketDigests;
    std::deque<Index> m_updates;
    std::vector<Index> m_probeOrder;
    std::deque<Index> m_verifications;
    std::deque<Index> m_recentSenders;
    std::vector<Probe> m_probes;
    std::vector<Relay> m_relays;
    std::vector<Index> m_suspects;
    std::vector<OutgoingDatagram> m_datagrams;
    std::vector<MembershipChange> m_changes;
    ConfigurationSource m_highestConfiguration;
    MembershipCounters m_counters;
    std::size_t m_presentCount = 1;
    std::uint64_t m_version = 1;
    std::uint64_t m_lastSequence = 0;
    unsigned m_digestMismatches = 0;
    bool m_isApplyingSync = false;
    double m_tokens;
    /// Time of the last tick or datagram.
    TimePoint m_lastTick;
    TimePoint m_lastHeard;
    /// After a pause the reports of others are newer than this host's own view.
    TimePoint m_trustsReportsUntil;
    /// Time of the last update that this host had not heard before.
    TimePoint m_lastNews;
    TimePoint m_nextProbe;
    TimePoint m_nextReconnect;
    TimePoint m_nextSeedContact;
    TimePoint m_nextSync;
    TimePoint m_nextForget;
};

} // namespace cicadalb
