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
/// Group membership with failure detection, as in SWIM: random probes, suspicion with refutation, updates piggybacked on all datagrams.

namespace cicadalb {

struct MembershipSettings {
    /// Interval at which each host probes other hosts.
    std::chrono::milliseconds probeInterval { 200 };
    /// Time after which other hosts are asked to probe a host that has not answered.
    std::chrono::milliseconds indirectProbeDelay { 300 };
    /// Time after which a probed host that has not answered becomes suspect.
    std::chrono::milliseconds probeTimeout { 700 };
    /// Time that a suspect host has to refute the suspicion before it counts as lost.
    std::chrono::milliseconds suspicionTimeout { 1250 };
    /// A suspicion that another host reports later than this after its timeout is first verified by a probe of this host.
    std::chrono::milliseconds maximumReportDelay { 3000 };
    /// Time without any received datagram after which this host is isolated: it then suspects hosts that do not answer, without gossiping this.
    std::chrono::milliseconds isolationTime { 2000 };
    /// A longer gap between two ticks means that this process was paused.
    std::chrono::milliseconds pauseThreshold { 1000 };
    /// Interval between probes of lost hosts, and between contacts with seeds while no other host is present.
    std::chrono::milliseconds reconnectInterval { 1000 };
    /// Interval between contacts with seeds that are not present members.
    std::chrono::milliseconds seedInterval { 1500 };
    /// Minimum interval between the state synchronizations that one host requests, before jitter.
    std::chrono::milliseconds syncInterval { 1500 };
    /// The same while no other host is present.
    std::chrono::milliseconds syncIntervalAlone { 300 };
    /// Time for which lost hosts are kept and probed, and departed hosts are remembered.
    std::chrono::minutes retention { 60 };
    /// Number of hosts that are asked to probe a host that has not answered.
    std::size_t indirectProbes = 3;
    /// Maximum number of probes added to each interval while several hosts are suspect or silent.
    std::size_t maximumAdditionalProbes = 16;
    std::size_t gossipFanout = 3;
    std::size_t maximumDatagramBytes = 1200;
    /// Rate limit of sent traffic, except probes and acknowledgements without updates.
    double bytesPerSecond = 6000;
    /// Burst allowed by the rate limit.
    double burstBytes = 800000;
};

/// @brief Address at which a host receives membership datagrams.
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

/// @brief The highest configuration announced by any host and a host that holds it.
struct ConfigurationSource {
    ConfigurationNumber number = 0;
    HostId host;
};

/// @brief Counters for the state dump and the metrics.
struct MembershipCounters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t datagramsInvalid = 0;
    std::uint64_t syncsRequested = 0;
    std::uint64_t refutations = 0;
};

/// @brief Membership protocol of one host. Does no I/O and reads no clock: the owner passes in received datagrams and ticks, and sends the
/// datagrams from takeDatagrams(). Not thread-safe.
class Membership {
public:
    /// @param self this host; its incarnation should increase with each start
    Membership(Member self, MembershipSettings, std::uint64_t randomSeed);

    void setSeeds(std::vector<MemberEndpoint>);
    /// @brief Sets the highest accepted configuration that this host holds, which it announces to other hosts.
    void setConfiguration(ConfigurationNumber);

    /// @brief Runs probes and timeouts; call it several times per probe interval. Complexity: linear in the number of suspect hosts.
    void tick(TimePoint now);
    /// @brief Processes one received datagram. Complexity: constant for each update in it.
    void receive(const MemberEndpoint& from, std::span<const std::uint8_t> payload, TimePoint now);
    /// @brief Announces to other hosts that this host leaves. Keep calling tick() for a second afterwards, so that the announcement spreads.
    void leave(TimePoint now);

    /// @brief Datagrams to send since the last call.
    std::vector<OutgoingDatagram> takeDatagrams();
    /// @brief State changes of other members since the last call.
    std::vector<MembershipChange> takeChanges();

    const Member& self() const noexcept { return m_entries.front().member; }
    /// @brief The member with this id, or null.
    const Member* find(const HostId& id) const;
    /// @brief All known members, this host first.
    std::vector<Member> members() const;
    /// @brief The members that take assignments, this host included unless it is leaving.
    std::vector<AssignableHost> assignableHosts() const;
    std::size_t presentCount() const noexcept { return m_presentCount; }
    /// @brief Increases whenever the result of assignableHosts() changes.
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
        /// Time of the last ping that told the member about its suspicion.
        TimePoint lastSuspicionPing;
        std::uint64_t idHash = 0;
        /// Remaining transmissions of the current state; 0 if not queued.
        unsigned transmissionsLeft = 0;
        bool isSentWithDetails = false;
        /// True if the suspicion arose while this host was isolated; it is not gossiped to other hosts.
        bool isLocalSuspicion = false;
        /// True if another host reports the member as lost and it has not answered a probe of this host since.
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

    void advanceTime(TimePoint now);
    void resumeAfterPause(Duration gap, TimePoint now);
    void startProbes(TimePoint now);
    std::size_t probesPerInterval() const;
    std::optional<Index> nextProbedMember();
    void checkProbes(TimePoint now);
    void requestIndirectProbes(const Probe&, TimePoint now);
    void suspect(Index, TimePoint now);
    void expireSuspicions(TimePoint now);
    void gossip(TimePoint now);
    std::chrono::milliseconds perHostInterval(std::chrono::milliseconds, std::size_t silentHosts) const;
    void reconnect(TimePoint now);
    std::vector<MemberEndpoint> unknownSeeds() const;
    void contactSeeds(TimePoint now);
    void removeExpiredMembers(TimePoint now);

    void applyUpdate(const MemberUpdate&, const MemberEndpoint& from, TimePoint now);
    void refute(const MemberUpdate&, TimePoint now);
    void addMember(const MemberUpdate&, TimePoint now);
    void applySuspicion(Index, const MemberUpdate&, TimePoint now);
    void recordSender(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void handle(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void handleAck(std::uint64_t sequence);
    void relayPing(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void answerSync(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void compareDigests(const MembershipMessage&, const MemberEndpoint& from, TimePoint now);
    void sendSyncRequest(const MemberEndpoint& to, TimePoint now);
    void requestSync(const MemberEndpoint& to, TimePoint now);

    void setState(Index, MemberState, Incarnation, TimePoint now);
    void enqueue(Index, bool withDetails);
    MembershipMessage createMessage(MembershipMessageKind) const;
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
    /// The first entry is this host.
    std::vector<Entry> m_entries;
    std::unordered_map<HostId, Index> m_indices;
    std::vector<MemberEndpoint> m_seeds;
    std::vector<std::uint32_t> m_bucketDigests;
    std::deque<Index> m_updateQueue;
    std::vector<Index> m_probeOrder;
    std::deque<Index> m_pendingVerifications;
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
    /// Token bucket of the rate limit, in bytes.
    double m_availableBytes;
    /// Time of the last tick or datagram.
    TimePoint m_lastTickOrDatagram;
    TimePoint m_lastReceived;
    /// After a pause, the reports of other hosts are trusted until then, since they are newer than this host's view.
    TimePoint m_reportsTrustedUntil;
    /// Time of the last update that was new to this host.
    TimePoint m_lastNewUpdate;
    TimePoint m_nextProbe;
    TimePoint m_nextReconnect;
    TimePoint m_nextSeedContact;
    TimePoint m_nextSync;
    TimePoint m_nextExpiryCheck;
};

} // namespace cicadalb
