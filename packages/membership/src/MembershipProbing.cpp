#include "cicadalb/membership/Membership.h"

#include "MembershipRules.h"

#include <algorithm>

namespace cicadalb {

void Membership::resumeAfterPause(Duration gap, TimePoint now)
{
    m_reportsTrustedUntil = now + m_settings.maximumReportDelay;
    m_probes.clear();
    m_relays.clear();
    m_lastReceived += gap;
    for (const auto index : m_suspects)
        m_entries[index].suspectSince += gap;
    for (std::size_t i = 0; i < syncsAfterPause; ++i) {
        if (const auto index = randomAlive())
            sendSyncRequest(endpointOf(*index), now);
    }
}

void Membership::startProbes(TimePoint now)
{
    const auto count = probesPerInterval();
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = nextProbedMember();
        if (!index)
            return;
        const auto sequence = ++m_lastSequence;
        m_probes.push_back(Probe { *index, sequence, now, false });
        ping(*index, sequence, now);
    }
}

std::size_t Membership::probesPerInterval() const
{
    // Several silent hosts at once suggest a failed failure domain or a network partition, so the other hosts are probed sooner.
    const auto unanswered = std::count_if(m_probes.begin(), m_probes.end(), [](const Probe& probe) { return probe.isIndirect; });
    const std::size_t silentHosts = m_suspects.size() + static_cast<std::size_t>(unanswered);
    return silentHosts <= 1 ? 1 : 1 + std::min(silentHosts, m_settings.maximumAdditionalProbes);
}

std::optional<Membership::Index> Membership::nextProbedMember()
{
    while (!m_pendingVerifications.empty()) {
        const auto index = m_pendingVerifications.front();
        m_pendingVerifications.pop_front();
        if (m_entries[index].member.isPresent())
            return index;
    }
    for (unsigned round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const auto index = m_probeOrder.back();
            m_probeOrder.pop_back();
            if (m_entries[index].member.isPresent())
                return index;
        }
        for (Index i = 1; i < m_entries.size(); ++i)
            m_probeOrder.push_back(i);
        for (std::size_t i = m_probeOrder.size(); i > 1; --i)
            std::swap(m_probeOrder[i - 1], m_probeOrder[randomIndex(m_random, i)]);
    }
    return std::nullopt;
}

void Membership::checkProbes(TimePoint now)
{
    std::vector<Probe> pending;
    for (auto& probe : std::exchange(m_probes, {})) {
        const auto age = now - probe.sentAt;
        if (age >= m_settings.probeTimeout) {
            if (m_lastReceived >= probe.sentAt || isIsolated(now))
                suspect(probe.index, now);
            continue;
        }
        if (age >= m_settings.indirectProbeDelay && !probe.isIndirect) {
            probe.isIndirect = true;
            requestIndirectProbes(probe, now);
        }
        pending.push_back(probe);
    }
    m_probes = std::move(pending);
    std::erase_if(m_relays, [&](const Relay& relay) { return now - relay.sentAt > m_settings.probeTimeout; });
}

void Membership::requestIndirectProbes(const Probe& probe, TimePoint now)
{
    const auto probedEndpoint = endpointOf(probe.index);
    for (std::size_t i = 0; i < m_settings.indirectProbes; ++i) {
        const auto relay = randomAlive();
        if (!relay || *relay == probe.index)
            continue;
        auto request = createMessage(MembershipMessageKind::PingRequest);
        request.sequence = probe.sequence;
        request.pingAddress = probedEndpoint.address;
        request.pingPort = probedEndpoint.port;
        piggyback(request, now);
        send(request, endpointOf(*relay));
    }
}

void Membership::suspect(Index index, TimePoint now)
{
    auto& entry = m_entries[index];
    if (entry.member.state != MemberState::Alive)
        return;
    setState(index, MemberState::Suspect, entry.member.incarnation, now);
    const auto age = entry.isReportedLost ? m_settings.suspicionTimeout - minimumRefutationTime : std::chrono::milliseconds(0);
    entry.suspectSince = now - age;
    entry.isLocalSuspicion = isIsolated(now);
    m_suspects.push_back(index);
    if (!entry.isLocalSuspicion)
        enqueue(index, false);
    ping(index, ++m_lastSequence, now);
}

void Membership::expireSuspicions(TimePoint now)
{
    for (const auto index : m_suspects) {
        const auto& entry = m_entries[index];
        if (entry.member.state == MemberState::Suspect && now - entry.suspectSince >= m_settings.suspicionTimeout)
            setState(index, MemberState::Lost, entry.member.incarnation, now);
    }
    std::erase_if(m_suspects, [&](Index index) { return m_entries[index].member.state != MemberState::Suspect; });
}

void Membership::gossip(TimePoint now)
{
    for (std::size_t i = 0; i < m_settings.gossipFanout && !m_updateQueue.empty(); ++i) {
        // A long queue is sent in several datagrams to each host, as far as the rate limit allows.
        constexpr std::size_t maximumDatagramsPerHost = 6;
        // While several hosts are suspect, recent senders are more likely to be reachable.
        const auto index = m_suspects.size() > 1 ? recentSender() : randomAlive();
        if (!index)
            return;
        std::size_t sent = 0;
        std::size_t remaining = m_updateQueue.size();
        while (remaining > 0 && sent < maximumDatagramsPerHost && m_availableBytes > 0) {
            auto datagram = createMessage(MembershipMessageKind::Gossip);
            piggyback(datagram, now);
            if (datagram.updates.empty())
                return;
            remaining -= std::min(remaining, datagram.updates.size());
            send(datagram, endpointOf(*index));
            ++sent;
        }
    }
}

std::chrono::milliseconds Membership::perHostInterval(std::chrono::milliseconds interval, std::size_t silentHosts) const
{
    // All hosts together contact each silent host at most about this many times per interval, however many hosts there are.
    constexpr std::size_t maximumContactsPerInterval = 16;
    const auto factor = m_presentCount / (maximumContactsPerInterval * std::max<std::size_t>(silentHosts, 1));
    return interval * static_cast<std::int64_t>(std::max<std::size_t>(factor, 1));
}

void Membership::reconnect(TimePoint now)
{
    if (now < m_nextReconnect)
        return;
    std::vector<Index> lost;
    for (Index i = 1; i < m_entries.size(); ++i) {
        if (m_entries[i].member.state == MemberState::Lost)
            lost.push_back(i);
    }
    m_nextReconnect = now + jittered(perHostInterval(m_settings.reconnectInterval, lost.size()), 0.25, m_random);
    if (!lost.empty())
        ping(lost[randomIndex(m_random, lost.size())], ++m_lastSequence, now);
}

void Membership::contactSeeds(TimePoint now)
{
    if (now < m_nextSeedContact || m_seeds.empty() || self().state == MemberState::Left)
        return;
    const bool isAlone = m_presentCount <= 1;
    auto unknown = unknownSeeds();
    const auto interval = isAlone ? m_settings.reconnectInterval : perHostInterval(m_settings.seedInterval, unknown.size());
    m_nextSeedContact = now + jittered(interval, 0.5, m_random);
    const std::size_t contacts = std::min(isAlone ? seedsPerContact : 1, unknown.size());
    for (std::size_t i = 0; i < contacts; ++i) {
        std::swap(unknown[i], unknown[i + randomIndex(m_random, unknown.size() - i)]);
        sendSyncRequest(unknown[i], now);
    }
}

std::vector<MemberEndpoint> Membership::unknownSeeds() const
{
    std::vector<MemberEndpoint> known;
    for (Index i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].member.isPresent())
            known.push_back(endpointOf(i));
    }
    std::sort(known.begin(), known.end());
    std::vector<MemberEndpoint> unknown;
    std::copy_if(m_seeds.begin(), m_seeds.end(), std::back_inserter(unknown),
        [&](const MemberEndpoint& seed) { return !std::binary_search(known.begin(), known.end(), seed); });
    return unknown;
}

void Membership::removeExpiredMembers(TimePoint now)
{
    if (now < m_nextExpiryCheck)
        return;
    m_nextExpiryCheck = now + expiryCheckInterval;
    const auto isExpired = [&](const Entry& entry) { return !entry.member.isPresent() && now - entry.changedAt > m_settings.retention; };
    if (std::none_of(m_entries.begin() + 1, m_entries.end(), isExpired))
        return;
    m_entries.erase(std::remove_if(m_entries.begin() + 1, m_entries.end(), isExpired), m_entries.end());
    m_indices.clear();
    m_updateQueue.clear();
    m_probeOrder.clear();
    m_pendingVerifications.clear();
    m_recentSenders.clear();
    m_probes.clear();
    m_suspects.clear();
    for (Index i = 0; i < m_entries.size(); ++i) {
        m_indices.emplace(m_entries[i].member.id, i);
        if (m_entries[i].transmissionsLeft > 0)
            m_updateQueue.push_back(i);
        if (m_entries[i].member.state == MemberState::Suspect)
            m_suspects.push_back(i);
    }
}

} // namespace cicadalb
