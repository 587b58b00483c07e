#include "cicadalb/membership/Membership.h"

#include "MembershipRules.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>

namespace cicadalb {

void Membership::applyUpdate(const MemberUpdate& update, const MemberEndpoint& from, TimePoint now)
{
    if (update.id == self().id) {
        refute(update, now);
        return;
    }
    const auto found = m_indices.find(update.id);
    if (found == m_indices.end()) {
        if (update.details)
            addMember(update, now);
        else if (update.state == MemberState::Alive)
            requestSync(from, now);
        return;
    }
    const auto index = found->second;
    auto& entry = m_entries[index];
    if (update.incarnation < entry.member.incarnation)
        return;
    const bool isNewer = update.incarnation > entry.member.incarnation;
    if (update.details && *update.details != entry.member.details) {
        entry.member.details = *update.details;
        ++m_version;
    }
    if (update.state == MemberState::Suspect) {
        if (isNewer)
            setState(index, MemberState::Alive, update.incarnation, now);
        applySuspicion(index, update, now);
        return;
    }
    const bool isDeparture = update.state == MemberState::Left && entry.member.state != MemberState::Left;
    const bool isEndOfLocalSuspicion = entry.isLocalSuspicion && !entry.member.isPresent();
    if (!isNewer && !isDeparture && !isEndOfLocalSuspicion)
        return;
    setState(index, update.state, update.incarnation, now);
    enqueue(index, update.details.has_value());
}

void Membership::refute(const MemberUpdate& update, TimePoint now)
{
    const bool isSuspected = update.incarnation == self().incarnation && update.state != MemberState::Alive;
    const bool isFromEarlierRun = update.incarnation > self().incarnation;
    if (self().state == MemberState::Left || (!isSuspected && !isFromEarlierRun))
        return;
    ++m_counters.refutations;
    setState(0, MemberState::Alive, update.incarnation + 1, now);
    enqueue(0, isFromEarlierRun);
}

void Membership::addMember(const MemberUpdate& update, TimePoint now)
{
    if (update.state == MemberState::Left || update.age >= m_settings.suspicionTimeout)
        return;
    Entry entry;
    entry.idHash = placementHash(update.id.value());
    entry.member.id = update.id;
    entry.member.incarnation = update.incarnation;
    entry.member.state = MemberState::Alive;
    entry.member.details = *update.details;
    entry.changedAt = now;
    const Index index = m_entries.size();
    m_indices.emplace(update.id, index);
    m_entries.push_back(std::move(entry));
    toggleDigest(m_entries.back());
    ++m_presentCount;
    ++m_version;
    m_changes.push_back(MembershipChange { update.id, MemberState::Alive });
    const auto position = static_cast<std::ptrdiff_t>(randomIndex(m_random, m_probeOrder.size() + 1));
    m_probeOrder.insert(m_probeOrder.begin() + position, index);
    enqueue(index, true);
    if (update.state == MemberState::Suspect)
        applySuspicion(index, update, now);
}

void Membership::applySuspicion(Index index, const MemberUpdate& update, TimePoint now)
{
    auto& entry = m_entries[index];
    if (entry.member.state != MemberState::Alive)
        return;
    const bool isOldReport = update.age > m_settings.suspicionTimeout + m_settings.maximumReportDelay;
    if (isOldReport && now >= m_reportsTrustedUntil) {
        entry.isReportedLost = true;
        if (m_pendingVerifications.size() < maximumPendingVerifications)
            m_pendingVerifications.push_back(index);
        return;
    }
    const auto age = std::min(update.age, m_settings.suspicionTimeout - minimumRefutationTime);
    setState(index, MemberState::Suspect, entry.member.incarnation, now);
    entry.suspectSince = now - age;
    m_suspects.push_back(index);
    enqueue(index, false);
}

void Membership::recordSender(const MembershipMessage& message, const MemberEndpoint& from, TimePoint now)
{
    if (message.configuration > m_highestConfiguration.number)
        m_highestConfiguration = ConfigurationSource { message.configuration, message.sender };
    const auto found = m_indices.find(message.sender);
    if (found == m_indices.end()) {
        requestSync(from, now);
        return;
    }
    m_recentSenders.push_back(found->second);
    if (m_recentSenders.size() > maximumRecentSenders)
        m_recentSenders.pop_front();
    auto& entry = m_entries[found->second];
    entry.member.configuration = std::max(entry.member.configuration, message.configuration);
    if (message.senderIncarnation > entry.member.incarnation)
        requestSync(from, now);
    if (message.senderIncarnation != entry.member.incarnation || entry.member.state == MemberState::Alive)
        return;
    if (entry.isLocalSuspicion) {
        setState(found->second, MemberState::Alive, entry.member.incarnation, now);
        return;
    }
    const bool isInformed = message.kind == MembershipMessageKind::Ping || now - entry.lastSuspicionPing < m_settings.probeInterval;
    if (entry.member.state == MemberState::Left || isInformed)
        return;
    entry.lastSuspicionPing = now;
    ping(found->second, ++m_lastSequence, now);
}

void Membership::handle(const MembershipMessage& received, const MemberEndpoint& from, TimePoint now)
{
    switch (received.kind) {
    case MembershipMessageKind::Ping: {
        auto answer = createMessage(MembershipMessageKind::Ack);
        answer.sequence = received.sequence;
        const auto found = m_indices.find(received.sender);
        if (found != m_indices.end() && m_entries[found->second].member.state != MemberState::Alive)
            answer.updates.push_back(updateOf(m_entries[found->second], false, now));
        piggyback(answer, now);
        send(answer, from);
        return;
    }
    case MembershipMessageKind::Ack:
        handleAck(received.sequence);
        return;
    case MembershipMessageKind::PingRequest:
        relayPing(received, from, now);
        return;
    case MembershipMessageKind::SyncRequest:
        answerSync(received, from, now);
        return;
    case MembershipMessageKind::Gossip:
    case MembershipMessageKind::SyncAnswer:
        return;
    }
}

void Membership::handleAck(std::uint64_t sequence)
{
    const auto answered = std::find_if(m_probes.begin(), m_probes.end(), [&](const Probe& probe) { return probe.sequence == sequence; });
    if (answered != m_probes.end()) {
        m_entries[answered->index].isReportedLost = false;
        m_probes.erase(answered);
    }
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay& candidate) { return candidate.sequence == sequence; });
    if (relay == m_relays.end())
        return;
    auto answer = createMessage(MembershipMessageKind::Ack);
    answer.sequence = relay->originSequence;
    send(answer, relay->origin);
    m_relays.erase(relay);
}

void Membership::relayPing(const MembershipMessage& received, const MemberEndpoint& from, TimePoint now)
{
    const auto sequence = ++m_lastSequence;
    m_relays.push_back(Relay { sequence, from, received.sequence, now });
    auto request = createMessage(MembershipMessageKind::Ping);
    request.sequence = sequence;
    send(request, MemberEndpoint { received.pingAddress, received.pingPort });
}

void Membership::answerSync(const MembershipMessage& received, const MemberEndpoint& from, TimePoint now)
{
    // Small differences are repaired even if the rate limit is exhausted.
    constexpr std::size_t maximumSmallDifference = 6;
    std::size_t differingBuckets = 0;
    for (std::size_t i = 0; i < digestBucketCount; ++i)
        differingBuckets += received.bucketDigests[i] == m_bucketDigests[i] ? 0 : 1;
    auto answer = createMessage(MembershipMessageKind::SyncAnswer);
    const auto headerBytes = messageOverheadBytes + self().id.value().size();
    std::size_t bytes = headerBytes;
    for (const auto& entry : m_entries) {
        const auto bucket = entry.idHash % digestBucketCount;
        if (received.bucketDigests[bucket] == m_bucketDigests[bucket] || entry.member.id == received.sender)
            continue;
        auto update = updateOf(entry, true, now);
        const auto bound = encodedSizeBound(update);
        if (bytes + bound > m_settings.maximumDatagramBytes) {
            send(answer, from);
            answer.updates.clear();
            bytes = headerBytes;
        }
        if (m_availableBytes <= 0 && differingBuckets > maximumSmallDifference)
            return;
        bytes += bound;
        answer.updates.push_back(std::move(update));
    }
    if (!answer.updates.empty())
        send(answer, from);
}

void Membership::compareDigests(const MembershipMessage& message, const MemberEndpoint& from, TimePoint now)
{
    if (message.digest == digest()) {
        m_digestMismatches = 0;
        return;
    }
    ++m_digestMismatches;
    // Views differ temporarily while new updates spread.
    constexpr std::chrono::milliseconds quietPeriod { 400 };
    if (m_digestMismatches >= mismatchesBeforeSync && (now - m_lastNewUpdate > quietPeriod || m_availableBytes <= 0))
        requestSync(from, now);
}

void Membership::requestSync(const MemberEndpoint& to, TimePoint now)
{
    if (now < m_nextSync || self().state == MemberState::Left)
        return;
    const auto interval = m_presentCount <= 1 ? m_settings.syncIntervalAlone : m_settings.syncInterval;
    m_nextSync = now + jittered(interval, 0.5, m_random);
    sendSyncRequest(to, now);
}

void Membership::sendSyncRequest(const MemberEndpoint& to, TimePoint now)
{
    ++m_counters.syncsRequested;
    m_digestMismatches = 0;
    auto request = createMessage(MembershipMessageKind::SyncRequest);
    request.bucketDigests = m_bucketDigests;
    request.updates.push_back(updateOf(m_entries.front(), true, now));
    send(request, to);
}

} // namespace cicadalb
