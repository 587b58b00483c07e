#include "cicadalb/services/ClaimBatcher.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Bounds the memory for the IDs of failed and released claims.
    constexpr std::size_t maximumUnusedClaimIds = 10000;

} // namespace

ClaimBatcher::ClaimBatcher(std::string bucketKey, std::string writerId, ClaimSettings settings)
    : m_bucketKey(std::move(bucketKey))
    , m_writerId(std::move(writerId))
    , m_settings(settings)
{
}

Result<ClaimTicket> ClaimBatcher::claim(std::string keyHash, std::string fingerprint, TimePoint now)
{
    if (m_pendingClaims.size() >= m_settings.maximumPendingClaims)
        return failure(ErrorCode::Overloaded, "too many claims are waiting for a decision", m_bucketKey);
    const auto ticket = ++m_lastTicket;
    std::string claimId = m_writerId + "-" + std::to_string(ticket);
    m_pendingClaims.push_back(PendingClaim { ticket, std::move(keyHash), std::move(fingerprint), std::move(claimId), now, false });
    return ticket;
}

void ClaimBatcher::recordStatus(std::string keyHash, unsigned status, TimePoint now)
{
    m_updates.push_back(BucketUpdate { std::move(keyHash), status, now, {} });
}

void ClaimBatcher::release(std::string keyHash, std::string claimId, TimePoint now)
{
    if (m_unusedClaimIds.size() < maximumUnusedClaimIds)
        m_unusedClaimIds.insert(claimId);
    m_updates.push_back(BucketUpdate { std::move(keyHash), 0, now, std::move(claimId) });
}

std::optional<ClaimAction> ClaimBatcher::next(TimePoint now, std::int64_t unixSeconds)
{
    if (m_isCallOpen)
        return std::nullopt;
    if (m_bucket)
        resolveFromBucket(now);
    if (m_pendingClaims.empty() && !isUpdateDue(now))
        return std::nullopt;
    if (!m_bucket) {
        m_isCallOpen = true;
        return ClaimAction {};
    }
    return writeAction(unixSeconds);
}

std::optional<ClaimAction> ClaimBatcher::writeAction(std::int64_t unixSeconds)
{
    m_bucketInWrite = *m_bucket;
    m_bucketInWrite.removeClaimedBefore(unixSeconds - m_settings.retention.count());
    for (const auto& update : m_updates) {
        if (update.releasedClaimId.empty())
            m_bucketInWrite.setStatus(update.keyHash, update.status);
        else
            m_bucketInWrite.release(update.keyHash, update.releasedClaimId);
    }
    m_updatesInWrite = m_updates.size();
    std::set<std::string> insertedKeys;
    for (const auto& pending : m_pendingClaims) {
        if (insertedKeys.insert(pending.keyHash).second)
            m_bucketInWrite.insert(pending.keyHash, ClaimEntry { pending.fingerprint, pending.claimId, unixSeconds, {} });
    }
    auto value = m_bucketInWrite.toJson();
    if (value.size() > m_settings.maximumBucketBytes) {
        failPendingClaims(Error { ErrorCode::Overloaded, "the claim bucket would exceed its maximum size", m_bucketKey });
        m_updates.clear();
        return std::nullopt;
    }
    for (auto& pending : m_pendingClaims)
        pending.isPossiblyWritten = true;
    m_isCallOpen = true;
    return ClaimAction { CompareAndSwap { m_bucketKey, std::move(value), m_revision, 0 } };
}

void ClaimBatcher::onRead(const Result<std::optional<KeyValueEntry>>& result, TimePoint now)
{
    m_isCallOpen = false;
    if (!result) {
        failPendingClaims(result.error());
        return;
    }
    const auto& entry = result.value();
    auto bucket = ClaimBucket::fromJson(entry ? std::string_view(entry->value) : std::string_view());
    if (!bucket) {
        failPendingClaims(bucket.error());
        return;
    }
    m_bucket = std::move(bucket.value());
    m_revision = entry ? entry->revision : 0;
    resolveFromBucket(now);
}

void ClaimBatcher::onWrite(const Result<Revision>& result, TimePoint now)
{
    m_isCallOpen = false;
    if (result) {
        m_bucket = std::move(m_bucketInWrite);
        m_revision = result.value();
        m_updates.erase(m_updates.begin(), m_updates.begin() + static_cast<std::ptrdiff_t>(m_updatesInWrite));
        resolveFromBucket(now);
        return;
    }
    const auto code = result.error().code;
    // After a conflict or a lost answer the bucket is read again: the claim IDs in it show which claims are this host's own.
    m_bucket.reset();
    if (code != ErrorCode::Conflict && code != ErrorCode::OutcomeUnknown)
        failPendingClaims(result.error());
}

std::vector<ClaimResolution> ClaimBatcher::takeResolutions() { return std::exchange(m_resolutions, {}); }

std::optional<TimePoint> ClaimBatcher::oldestUpdateTime() const
{
    return m_updates.empty() ? std::nullopt : std::optional<TimePoint>(m_updates.front().recordedAt);
}

void ClaimBatcher::resolveFromBucket(TimePoint now)
{
    std::deque<PendingClaim> undecided;
    for (auto& pending : m_pendingClaims) {
        const auto decision = decisionFor(pending, now);
        if (decision)
            resolve(pending, *decision);
        else
            undecided.push_back(std::move(pending));
    }
    m_pendingClaims = std::move(undecided);
}

std::optional<ClaimDecision> ClaimBatcher::decisionFor(const PendingClaim& pending, TimePoint now) const
{
    const auto* entry = m_bucket->find(pending.keyHash);
    if (!entry || m_unusedClaimIds.contains(entry->claimId))
        return std::nullopt;
    // A claim that is decided only after a long pause may have passed its retention and been made again by another host.
    const bool isTimely = now - pending.queuedAt < m_settings.retention / 2;
    if (entry->claimId == pending.claimId && isTimely)
        return ClaimDecision { ClaimKind::Fresh, {}, pending.claimId };
    if (entry->fingerprint != pending.fingerprint)
        return ClaimDecision { ClaimKind::BodyDiffers, {}, {} };
    return ClaimDecision { ClaimKind::Known, entry->status, {} };
}

void ClaimBatcher::failPendingClaims(const Error& error)
{
    for (const auto& pending : m_pendingClaims) {
        if (pending.isPossiblyWritten && m_unusedClaimIds.size() < maximumUnusedClaimIds)
            m_unusedClaimIds.insert(pending.claimId);
        resolve(pending, failure(error.code, error.message, error.where));
    }
    m_pendingClaims.clear();
}

void ClaimBatcher::resolve(const PendingClaim& pending, Result<ClaimDecision> result)
{
    m_resolutions.push_back(ClaimResolution { pending.ticket, std::move(result) });
}

bool ClaimBatcher::isUpdateDue(TimePoint now) const
{
    const bool hasRelease = std::any_of(m_updates.begin(), m_updates.end(), [](const auto& update) { return !update.releasedClaimId.empty(); });
    return hasRelease || (!m_updates.empty() && now - m_updates.front().recordedAt >= m_settings.statusWriteDelay);
}

} // namespace cicadalb
