#include "cicadalb/membership/Membership.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <bit>

namespace cicadalb {

namespace {

    /// Bounds the queue of members that others reported as lost.
    constexpr std::size_t maximumVerifications = 64;
    /// Digests in a row that differ before an exchange of state is asked for.
    constexpr unsigned mismatchesBeforeSync = 6;
    /// Hosts to which a departure is told at once.
    constexpr std::size_t departureFanout = 8;
    constexpr std::size_t seedsAtOnce = 3;
    /// Last datagrams whose senders are remembered.
    constexpr std::size_t recentSenders = 16;
    /// Time to refute that a host has at least.
    constexpr std::chrono::milliseconds smallestGrace { 500 };
    /// Hosts that a host asks for their view when it was paused.
    constexpr std::size_t syncsAfterPause = 3;
    constexpr std::chrono::minutes forgetInterval { 1 };

    std::chrono::milliseconds toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

    /// @p interval times a random factor in [1 - spread, 1 + spread), so that hosts do not act in step.
    std::chrono::milliseconds jittered(std::chrono::milliseconds interval, double spread, Random& random)
    {
        const double factor = 1.0 - spread + 2.0 * spread * randomUnit(random);
        return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(interval.count()) * factor));
    }

    std::uint32_t digestOf(std::uint64_t idHash, Incarnation incarnation) noexcept
    {
        const std::uint64_t mixed = (idHash ^ (incarnation * 0x9E3779B97F4A7C15ULL)) * 0xD6E8FEB86659FD93ULL;
        return static_cast<std::uint32_t>(mixed >> 32U);
    }

    /// Transmissions of one update by each host that learns it. In a flood of updates with details fewer do: the exchange of differing buckets
    /// repairs the few that are missed for less.
    unsigned transmissionsFor(std::size_t members, std::size_t queuedDetails)
    {
        constexpr std::size_t flood = 200;
        constexpr unsigned transmissionsInFlood = 5;
        return queuedDetails > flood ? transmissionsInFlood : 4 + static_cast<unsigned>(std::bit_width(members));
    }

} // namespace

Membership::Membership(Member self, MembershipSettings settings, std::uint64_t randomSeed)
    : m_settings(settings)
    , m_random(randomSeed)
    , m_bucketDigests(digestBuckets, 0)
    , m_tokens(settings.burstBytes)
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
    passTime(now);
    checkProbes(now);
    expireSuspicions(now);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probeInterval;
        startProbes(now);
        gossip(now);
    }
    reconnect(now);
    contactSeeds(now);
    forgetOldMembers(now);
}

void Membership::passTime(TimePoint now)
{
    if (m_lastTick == TimePoint()) {
        m_lastTick = now;
        m_lastHeard = now;
        m_nextSync = now;
    }
    const auto gap = now - m_lastTick;
    m_lastTick = now;
    m_tokens = std::min(m_settings.burstBytes, m_tokens + m_settings.bytesPerSecond * std::chrono::duration<double>(gap).count());
    if (gap > m_settings.pauseThreshold)
        resumeAfterPause(gap, now);
}

void Membership::receive(const MemberEndpoint& from, std::span<const std::uint8_t> payload, TimePoint now)
{
    passTime(now);
    ++m_counters.datagramsReceived;
    const auto decoded = decodeMembershipMessage(payload);
    if (!decoded) {
        ++m_counters.datagramsInvalid;
        return;
    }
    const auto& message = decoded.value();
    if (message.sender == self().id && message.senderIncarnation == self().incarnation)
        return;
    m_lastHeard = now;
    m_isApplyingSync = message.kind == MembershipMessageKind::SyncAnswer;
    for (const auto& update : message.updates)
        applyUpdate(update, from, now);
    m_isApplyingSync = false;
    noteSender(message, from, now);
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
        auto departure = message(MembershipMessageKind::Gossip);
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

void Membership::resumeAfterPause(Duration gap, TimePoint now)
{
    m_trustsReportsUntil = now + m_settings.reportFreshness;
    m_probes.clear();
    m_relays.clear();
    m_lastHeard += gap;
    for (const auto index : m_suspects)
        m_entries[index].suspectSince += gap;
    for (std::size_t i = 0; i < syncsAfterPause; ++i) {
        if (const auto index = randomAlive())
            sendSyncRequest(endpointOf(*index), now);
    }
}

void Membership::startProbes(TimePoint now)
{
    const auto count = probesAtOnce();
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = nextProbed();
        if (!index)
            return;
        const auto sequence = ++m_lastSequence;
        m_probes.push_back(Probe { *index, sequence, now, false });
        ping(*index, sequence, now);
    }
}

std::size_t Membership::probesAtOnce() const
{
    // Several silent hosts at once point to a lost failure domain or a cut: the other hosts are looked at sooner.
    const auto unanswered = std::count_if(m_probes.begin(), m_probes.end(), [](const Probe& probe) { return probe.isIndirect; });
    const std::size_t silent = m_suspects.size() + static_cast<std::size_t>(unanswered);
    return silent <= 1 ? 1 : 1 + std::min(silent, m_settings.additionalProbes);
}

std::optional<Membership::Index> Membership::nextProbed()
{
    while (!m_verifications.empty()) {
        const auto index = m_verifications.front();
        m_verifications.pop_front();
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
    std::vector<Probe> open;
    for (auto& probe : std::exchange(m_probes, {})) {
        const auto age = now - probe.sentAt;
        if (age >= m_settings.probeTimeout) {
            if (m_lastHeard >= probe.sentAt || isIsolated(now))
                suspect(probe.index, now);
            continue;
        }
        if (age >= m_settings.directTimeout && !probe.isIndirect) {
            probe.isIndirect = true;
            askForIndirectProbes(probe, now);
        }
        open.push_back(probe);
    }
    m_probes = std::move(open);
    std::erase_if(m_relays, [&](const Relay& relay) { return now - relay.sentAt > m_settings.probeTimeout; });
}

void Membership::askForIndirectProbes(const Probe& probe, TimePoint now)
{
    const auto target = endpointOf(probe.index);
    for (std::size_t i = 0; i < m_settings.indirectProbes; ++i) {
        const auto helper = randomAlive();
        if (!helper || *helper == probe.index)
            continue;
        auto request = message(MembershipMessageKind::PingRequest);
        request.sequence = probe.sequence;
        request.pingAddress = target.address;
        request.pingPort = target.port;
        piggyback(request, now);
        send(request, endpointOf(*helper));
    }
}

void Membership::suspect(Index index, TimePoint now)
{
    auto& entry = m_entries[index];
    if (entry.member.state != MemberState::Alive)
        return;
    setState(index, MemberState::Suspect, entry.member.incarnation, now);
    const auto age = entry.isReportedLost ? m_settings.suspicionTimeout - smallestGrace : std::chrono::milliseconds(0);
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
    for (std::size_t i = 0; i < m_settings.gossipFanout && !m_updates.empty(); ++i) {
        // A long queue goes out in several datagrams to each host, as far as the budget allows.
        constexpr std::size_t datagramsAtOnce = 6;
        // While many hosts fall silent, those that were heard a moment ago can be reached.
        const auto index = m_suspects.size() > 1 ? recentSender() : randomAlive();
        if (!index)
            return;
        std::size_t sent = 0;
        std::size_t remaining = m_updates.size();
        while (remaining > 0 && sent < datagramsAtOnce && m_tokens > 0) {
            auto datagram = message(MembershipMessageKind::Gossip);
            piggyback(datagram, now);
            if (datagram.updates.empty())
                return;
            remaining -= std::min(remaining, datagram.updates.size());
            send(datagram, endpointOf(*index));
            ++sent;
        }
    }
}

std::chrono::milliseconds Membership::sharedInterval(std::chrono::milliseconds interval, std::size_t silent) const
{
    // All hosts together try each silent host several times an interval, however many they are.
    constexpr std::size_t triesOfAll = 16;
    const auto factor = m_presentCount / (triesOfAll * std::max<std::size_t>(silent, 1));
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
    m_nextReconnect = now + jittered(sharedInterval(m_settings.reconnectInterval, lost.size()), 0.25, m_random);
    if (!lost.empty())
        ping(lost[randomIndex(m_random, lost.size())], ++m_lastSequence, now);
}

void Membership::contactSeeds(TimePoint now)
{
    if (now < m_nextSeedContact || m_seeds.empty() || self().state == MemberState::Left)
        return;
    const bool isAlone = m_presentCount <= 1;
    auto unknown = unknownSeeds();
    const auto interval = isAlone ? m_settings.reconnectInterval : sharedInterval(m_settings.seedInterval, unknown.size());
    m_nextSeedContact = now + jittered(interval, 0.5, m_random);
    const std::size_t contacts = std::min(isAlone ? seedsAtOnce : 1, unknown.size());
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

void Membership::forgetOldMembers(TimePoint now)
{
    if (now < m_nextForget)
        return;
    m_nextForget = now + forgetInterval;
    const auto isOld = [&](const Entry& entry) { return !entry.member.isPresent() && now - entry.changedAt > m_settings.retention; };
    if (std::none_of(m_entries.begin() + 1, m_entries.end(), isOld))
        return;
    m_entries.erase(std::remove_if(m_entries.begin() + 1, m_entries.end(), isOld), m_entries.end());
    m_indices.clear();
    m_updates.clear();
    m_probeOrder.clear();
    m_verifications.clear();
    m_recentSenders.clear();
    m_probes.clear();
    m_suspects.clear();
    for (Index i = 0; i < m_entries.size(); ++i) {
        m_indices.emplace(m_entries[i].member.id, i);
        if (m_entries[i].transmissionsLeft > 0)
            m_updates.push_back(i);
        if (m_entries[i].member.state == MemberState::Suspect)
            m_suspects.push_back(i);
    }
}

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
    const bool isDoubted = update.incarnation == self().incarnation && update.state != MemberState::Alive;
    const bool isEarlierLife = update.incarnation > self().incarnation;
    if (self().state == MemberState::Left || (!isDoubted && !isEarlierLife))
        return;
    ++m_counters.refutations;
    setState(0, MemberState::Alive, update.incarnation + 1, now);
    enqueue(0, isEarlierLife);
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
    const bool isOldReport = update.age > m_settings.suspicionTimeout + m_settings.reportFreshness;
    if (isOldReport && now >= m_trustsReportsUntil) {
        entry.isReportedLost = true;
        if (m_verifications.size() < maximumVerifications)
            m_verifications.push_back(index);
        return;
    }
    const auto age = std::min(update.age, m_settings.suspicionTimeout - smallestGrace);
    setState(index, MemberState::Suspect, entry.member.incarnation, now);
    entry.suspectSince = now - age;
    m_suspects.push_back(index);
    enqueue(index, false);
}

void Membership::noteSender(const MembershipMessage& message, const MemberEndpoint& from, TimePoint now)
{
    if (message.configuration > m_highestConfiguration.number)
        m_highestConfiguration = ConfigurationSource { message.configuration, message.sender };
    const auto found = m_indices.find(message.sender);
    if (found == m_indices.end()) {
        requestSync(from, now);
        return;
    }
    m_recentSenders.push_back(found->second);
    if (m_recentSenders.size() > recentSenders)
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
    const bool isTold = message.kind == MembershipMessageKind::Ping || now - entry.lastNoted < m_settings.probeInterval;
    if (entry.member.state == MemberState::Left || isTold)
        return;
    entry.lastNoted = now;
    ping(found->second, ++m_lastSequence, now);
}

void Membership::handle(const MembershipMessage& received, const MemberEndpoint& from, TimePoint now)
{
    switch (received.kind) {
    case MembershipMessageKind::Ping: {
        auto answer = message(MembershipMessageKind::Ack);
        answer.sequence = received.sequence;
        const auto found = m_indices.find(received.sender);
        if (found != m_indices.end() && m_entries[found->second].member.state != MemberState::Alive)
            answer.updates.push_back(updateOf(m_entries[found->second], false, now));
        piggyback(answer, now);
        send(answer, from);
        return;
    }
    case MembershipMessageKind::Ack:
        acknowledge(received.sequence);
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

void Membership::acknowledge(std::uint64_t sequence)
{
    const auto answered = std::find_if(m_probes.begin(), m_probes.end(), [&](const Probe& probe) { return probe.sequence == sequence; });
    if (answered != m_probes.end()) {
        m_entries[answered->index].isReportedLost = false;
        m_probes.erase(answered);
    }
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay& row) { return row.sequence == sequence; });
    if (relay == m_relays.end())
        return;
    auto answer = message(MembershipMessageKind::Ack);
    answer.sequence = relay->originSequence;
    send(answer, relay->origin);
    m_relays.erase(relay);
}

void Membership::relayPing(const MembershipMessage& received, const MemberEndpoint& from, TimePoint now)
{
    const auto sequence = ++m_lastSequence;
    m_relays.push_back(Relay { sequence, from, received.sequence, now });
    auto request = message(MembershipMessageKind::Ping);
    request.sequence = sequence;
    send(request, MemberEndpoint { received.pingAddress, received.pingPort });
}

void Membership::answerSync(const MembershipMessage& received, const MemberEndpoint& from, TimePoint now)
{
    // Small differences are repaired even when the budget is spent.
    constexpr std::size_t fewBuckets = 6;
    std::size_t differing = 0;
    for (std::size_t i = 0; i < digestBuckets; ++i)
        differing += received.bucketDigests[i] == m_bucketDigests[i] ? 0 : 1;
    auto answer = message(MembershipMessageKind::SyncAnswer);
    const auto emptyBytes = messageOverheadBytes + self().id.value().size();
    std::size_t bytes = emptyBytes;
    for (const auto& entry : m_entries) {
        const auto bucket = entry.idHash % digestBuckets;
        if (received.bucketDigests[bucket] == m_bucketDigests[bucket] || entry.member.id == received.sender)
            continue;
        auto update = updateOf(entry, true, now);
        const auto bound = encodedBound(update);
        if (bytes + bound > m_settings.maximumDatagramBytes) {
            send(answer, from);
            answer.updates.clear();
            bytes = emptyBytes;
        }
        if (m_tokens <= 0 && differing > fewBuckets)
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
    // While news comes in, views differ without a fault.
    constexpr std::chrono::milliseconds quietTime { 400 };
    if (m_digestMismatches >= mismatchesBeforeSync && (now - m_lastNews > quietTime || m_tokens <= 0))
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
    ++m_counters.syncsAsked;
    m_digestMismatches = 0;
    auto request = message(MembershipMessageKind::SyncRequest);
    request.bucketDigests = m_bucketDigests;
    request.updates.push_back(updateOf(m_entries.front(), true, now));
    send(request, to);
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
        m_lastNews = m_lastTick;
    // What an exchange of state repairs is known to others already: only this host's own refutation goes on from there.
    if (m_isApplyingSync && index != 0)
        return;
    // News goes out before updates that were sent already.
    if (entry.transmissionsLeft == 0)
        m_updates.push_front(index);
    entry.isWithDetails = withDetails || (entry.isWithDetails && entry.transmissionsLeft > 0);
    entry.transmissionsLeft = transmissionsFor(m_entries.size(), entry.isWithDetails ? m_updates.size() : 0);
}

MembershipMessage Membership::message(MembershipMessageKind kind) const
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
    auto request = message(MembershipMessageKind::Ping);
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
        bytes += encodedBound(update);
    auto remaining = m_updates.size();
    while (remaining > 0 && m_tokens > 0) {
        --remaining;
        const auto index = m_updates.front();
        auto& entry = m_entries[index];
        auto update = updateOf(entry, entry.isWithDetails, now);
        const auto bound = encodedBound(update);
        if (bytes + bound > m_settings.maximumDatagramBytes)
            return;
        bytes += bound;
        m_updates.pop_front();
        message.updates.push_back(std::move(update));
        --entry.transmissionsLeft;
        if (entry.transmissionsLeft > 0)
            m_updates.push_back(index);
    }
}

void Membership::send(const MembershipMessage& message, const MemberEndpoint& to)
{
    auto payload = encode(message);
    ++m_counters.datagramsSent;
    m_counters.bytesSent += payload.size();
    const bool isProbe = message.kind <= MembershipMessageKind::PingRequest && message.updates.empty();
    if (!isProbe)
        m_tokens -= static_cast<double>(payload.size());
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
    m_bucketDigests[entry.idHash % digestBuckets] ^= digestOf(entry.idHash, entry.member.incarnation);
}

MemberEndpoint Membership::endpointOf(Index index) const
{
    const auto& details = m_entries[index].member.details;
    return MemberEndpoint { details.address, details.membershipPort };
}

bool Membership::isIsolated(TimePoint now) const
{
    return now - m_lastHeard >= m_settings.isolationTime;
}

} // namespace cicadalb
