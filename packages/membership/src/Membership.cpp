#include "cicadalb/membership/Membership.h"

#include "MembershipRules.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>

namespace cicadalb {

Membership::Membership(Member self, MembershipSettings settings, std::uint64_t randomSeed)
    : m_settings(settings)
    , m_random(randomSeed)
    , m_bucketDigests(digestBucketCount, 0)
    , m_availableBytes(settings.burstBytes)
{
    Entry entry;
    entry.idHash = placementHash(self.id.value());
    entry.member = std::move(self);
    entry.member.state = MemberState::Alive;
    m_indices.emplace(entry.member.id, 0);
    m_entries.push_back(std::move(entry));
    toggleDigest(m_entries.front());
    enqueue(0, true);
}

void Membership::setSeeds(std::vector<MemberEndpoint> seeds)
{
    m_seeds = std::move(seeds);
}

void Membership::setConfiguration(ConfigurationNumber number)
{
    m_entries.front().member.configuration = number;
    if (number > m_highestConfiguration.number)
        m_highestConfiguration = ConfigurationSource { number, self().id };
}

void Membership::tick(TimePoint now)
{
    advanceTime(now);
    checkProbes(now);
    expireSuspicions(now);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probeInterval;
        startProbes(now);
        gossip(now);
    }
    reconnect(now);
    contactSeeds(now);
    removeExpiredMembers(now);
}

void Membership::advanceTime(TimePoint now)
{
    if (m_lastTickOrDatagram == TimePoint()) {
        m_lastTickOrDatagram = now;
        m_lastReceived = now;
        m_nextSync = now;
    }
    const auto gap = now - m_lastTickOrDatagram;
    m_lastTickOrDatagram = now;
    m_availableBytes = std::min(m_settings.burstBytes, m_availableBytes + m_settings.bytesPerSecond * std::chrono::duration<double>(gap).count());
    if (gap > m_settings.pauseThreshold)
        resumeAfterPause(gap, now);
}

void Membership::receive(const MemberEndpoint& from, std::span<const std::uint8_t> payload, TimePoint now)
{
    advanceTime(now);
    ++m_counters.datagramsReceived;
    const auto decoded = decodeMembershipMessage(payload);
    if (!decoded) {
        ++m_counters.datagramsInvalid;
        return;
    }
    const auto& message = decoded.value();
    if (message.sender == self().id && message.senderIncarnation == self().incarnation)
        return;
    m_lastReceived = now;
    m_isApplyingSync = message.kind == MembershipMessageKind::SyncAnswer;
    for (const auto& update : message.updates)
        applyUpdate(update, from, now);
    m_isApplyingSync = false;
    recordSender(message, from, now);
    handle(message, from, now);
    compareDigests(message, from, now);
}

void Membership::leave(TimePoint now)
{
    setState(0, MemberState::Left, self().incarnation, now);
    enqueue(0, false);
    for (std::size_t i = 0; i < departureFanout; ++i) {
        const auto index = randomAlive();
        if (!index)
            return;
        auto departure = createMessage(MembershipMessageKind::Gossip);
        departure.updates.push_back(updateOf(m_entries.front(), false, now));
        send(departure, endpointOf(*index));
    }
}

std::vector<OutgoingDatagram> Membership::takeDatagrams() { return std::exchange(m_datagrams, {}); }

std::vector<MembershipChange> Membership::takeChanges() { return std::exchange(m_changes, {}); }

const Member* Membership::find(const HostId& id) const
{
    const auto found = m_indices.find(id);
    return found == m_indices.end() ? nullptr : &m_entries[found->second].member;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members;
    members.reserve(m_entries.size());
    for (const auto& entry : m_entries)
        members.push_back(entry.member);
    return members;
}

std::vector<AssignableHost> Membership::assignableHosts() const
{
    std::vector<AssignableHost> hosts;
    hosts.reserve(m_entries.size());
    for (const auto& entry : m_entries) {
        const auto& member = entry.member;
        if (member.isPresent())
            hosts.push_back(AssignableHost { member.id, member.details.weight, member.details.failureDomain });
    }
    return hosts;
}

std::uint32_t Membership::digest() const noexcept
{
    std::uint32_t digest = 0;
    for (const auto bucket : m_bucketDigests)
        digest ^= bucket;
    return digest;
}

void Membership::setState(Index index, MemberState state, Incarnation incarnation, TimePoint now)
{
    auto& entry = m_entries[index];
    const bool wasPresent = entry.member.isPresent();
    const auto before = entry.member.state;
    if (wasPresent)
        toggleDigest(entry);
    entry.member.state = state;
    entry.member.incarnation = incarnation;
    entry.changedAt = now;
    if (state == MemberState::Alive)
        entry.isLocalSuspicion = false;
    const bool isPresent = entry.member.isPresent();
    if (isPresent)
        toggleDigest(entry);
    if (wasPresent != isPresent) {
        m_presentCount += isPresent ? 1 : std::size_t(-1);
        ++m_version;
    }
    if (index != 0 && before != state)
        m_changes.push_back(MembershipChange { entry.member.id, state });
}

void Membership::enqueue(Index index, bool withDetails)
{
    auto& entry = m_entries[index];
    if (entry.transmissionsLeft == 0)
        m_lastNewUpdate = m_lastTickOrDatagram;
    // Updates from a state synchronization are already known to other hosts: only this host's own refutation is sent on.
    if (m_isApplyingSync && index != 0)
        return;
    // New updates are sent before updates that have already been sent.
    if (entry.transmissionsLeft == 0)
        m_updateQueue.push_front(index);
    entry.isSentWithDetails = withDetails || (entry.isSentWithDetails && entry.transmissionsLeft > 0);
    entry.transmissionsLeft = transmissionCount(m_entries.size(), entry.isSentWithDetails ? m_updateQueue.size() : 0);
}

MembershipMessage Membership::createMessage(MembershipMessageKind kind) const
{
    MembershipMessage message;
    message.kind = kind;
    message.sender = self().id;
    message.senderIncarnation = self().incarnation;
    message.configuration = self().configuration;
    message.digest = digest();
    return message;
}

MemberUpdate Membership::updateOf(const Entry& entry, bool withDetails, TimePoint now) const
{
    MemberUpdate update { entry.member.id, entry.member.incarnation, entry.member.state, {}, {} };
    if (entry.member.state == MemberState::Suspect || entry.member.state == MemberState::Lost) {
        update.state = MemberState::Suspect;
        update.age = std::max(std::chrono::milliseconds(0), toMilliseconds(now - entry.suspectSince));
    }
    if (withDetails)
        update.details = entry.member.details;
    return update;
}

void Membership::ping(Index index, std::uint64_t sequence, TimePoint now)
{
    const auto& entry = m_entries[index];
    auto request = createMessage(MembershipMessageKind::Ping);
    request.sequence = sequence;
    if (entry.member.state != MemberState::Alive && !entry.isLocalSuspicion)
        request.updates.push_back(updateOf(entry, false, now));
    if (entry.member.state == MemberState::Alive)
        piggyback(request, now);
    send(request, endpointOf(index));
}

void Membership::piggyback(MembershipMessage& message, TimePoint now)
{
    std::size_t bytes = messageOverheadBytes + self().id.value().size();
    for (const auto& update : message.updates)
        bytes += encodedSizeBound(update);
    auto remaining = m_updateQueue.size();
    while (remaining > 0 && m_availableBytes > 0) {
        --remaining;
        const auto index = m_updateQueue.front();
        auto& entry = m_entries[index];
        auto update = updateOf(entry, entry.isSentWithDetails, now);
        const auto bound = encodedSizeBound(update);
        if (bytes + bound > m_settings.maximumDatagramBytes)
            return;
        bytes += bound;
        m_updateQueue.pop_front();
        message.updates.push_back(std::move(update));
        --entry.transmissionsLeft;
        if (entry.transmissionsLeft > 0)
            m_updateQueue.push_back(index);
    }
}

void Membership::send(const MembershipMessage& message, const MemberEndpoint& to)
{
    auto payload = encode(message);
    ++m_counters.datagramsSent;
    m_counters.bytesSent += payload.size();
    const bool isProbe = message.kind <= MembershipMessageKind::PingRequest && message.updates.empty();
    if (!isProbe)
        m_availableBytes -= static_cast<double>(payload.size());
    m_datagrams.push_back(OutgoingDatagram { to, std::move(payload) });
}

std::optional<Membership::Index> Membership::randomAlive()
{
    constexpr unsigned attempts = 24;
    for (unsigned i = 0; i < attempts && m_entries.size() > 1; ++i) {
        const Index index = 1 + randomIndex(m_random, m_entries.size() - 1);
        if (m_entries[index].member.state == MemberState::Alive)
            return index;
    }
    return std::nullopt;
}

std::optional<Membership::Index> Membership::recentSender()
{
    if (m_recentSenders.empty())
        return randomAlive();
    const auto index = m_recentSenders[randomIndex(m_random, m_recentSenders.size())];
    return m_entries[index].member.state == MemberState::Alive ? std::optional<Index>(index) : randomAlive();
}

void Membership::toggleDigest(const Entry& entry)
{
    m_bucketDigests[entry.idHash % digestBucketCount] ^= digestOf(entry.idHash, entry.member.incarnation);
}

MemberEndpoint Membership::endpointOf(Index index) const
{
    const auto& details = m_entries[index].member.details;
    return MemberEndpoint { details.address, details.membershipPort };
}

bool Membership::isIsolated(TimePoint now) const
{
    return now - m_lastReceived >= m_settings.isolationTime;
}

} // namespace cicadalb
