#include "cicadalb/services/ClaimBatcher.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Bounds the marks of given-up claims that are kept.
    constexpr std::size_t maximumAbandoned = 10000;

} // namespace

ClaimBatcher::ClaimBatcher(std::string bucketKey, std::string writer, ClaimSettings settings)
    : m_bucketKey(std::move(bucketKey))
    , m_writer(std::move(writer))
    , m_settings(settings)
{
}

Result<ClaimTicket> ClaimBatcher::claim(std::string keyHash, std::string fingerprint, TimePoint now)
{
    if (m_waiting.size() >= m_settings.maximumWaiting)
        return failure(ErrorCode::Overloaded, "too many claims wait", m_bucketKey);
    const auto ticket = ++m_lastTicket;
    std::string mark = m_writer + "-" + std::to_string(ticket);
    m_waiting.push_back(Waiting { ticket, std::move(keyHash), std::move(fingerprint), std::move(mark), now, false });
    return ticket;
}

void ClaimBatcher::finish(std::string keyHash, unsigned status, TimePoint now)
{
    m_finishes.push_back(Finish { std::move(keyHash), status, now, {} });
}

void ClaimBatcher::release(std::string keyHash, std::string mark, TimePoint now)
{
    if (m_abandoned.size() < maximumAbandoned)
        m_abandoned.insert(mark);
    m_finishes.push_back(Finish { std::move(keyHash), 0, now, std::move(mark) });
}

std::optional<ClaimAction> ClaimBatcher::next(TimePoint now, std::int64_t unixSeconds)
{
    if (m_isCallOpen)
        return std::nullopt;
    if (m_bucket)
        decideKnown(now);
    if (m_waiting.empty() && !isFinishDue(now))
        return std::nullopt;
    if (!m_bucket) {
        m_isCallOpen = true;
        return ClaimAction {};
    }
    return writeAction(unixSeconds);
}

std::optional<ClaimAction> ClaimBatcher::writeAction(std::int64_t unixSeconds)
{
    m_written = *m_bucket;
    m_written.dropBefore(unixSeconds - m_settings.retention.count());
    for (const auto& finish : m_finishes) {
        if (finish.releasedMark.empty())
            m_written.finish(finish.keyHash, finish.status);
        else
            m_written.release(finish.keyHash, finish.releasedMark);
    }
    m_finishesWritten = m_finishes.size();
    std::set<std::string> added;
    for (const auto& waiting : m_waiting) {
        if (added.insert(waiting.keyHash).second)
            m_written.insert(waiting.keyHash, ClaimEntry { waiting.fingerprint, waiting.mark, unixSeconds, {} });
    }
    auto value = m_written.toJson();
    if (value.size() > m_settings.maximumBucketBytes) {
        failAll(Error { ErrorCode::Overloaded, "the claims of this bucket fill its value", m_bucketKey });
        m_finishes.clear();
        return std::nullopt;
    }
    for (auto& waiting : m_waiting)
        waiting.isMaybeWritten = true;
    m_isCallOpen = true;
    return ClaimAction { CompareAndSwap { m_bucketKey, std::move(value), m_revision, 0 } };
}

void ClaimBatcher::onRead(const Result<std::optional<KeyValueEntry>>& result, TimePoint now)
{
    m_isCallOpen = false;
    if (!result) {
        failAll(result.error());
        return;
    }
    const auto& entry = result.value();
    auto bucket = ClaimBucket::fromJson(entry ? std::string_view(entry->value) : std::string_view());
    if (!bucket) {
        failAll(bucket.error());
        return;
    }
    m_bucket = std::move(bucket.value());
    m_revision = entry ? entry->revision : 0;
    decideKnown(now);
}

void ClaimBatcher::onWrite(const Result<Revision>& result, TimePoint now)
{
    m_isCallOpen = false;
    if (result) {
        m_bucket = std::move(m_written);
        m_revision = result.value();
        m_finishes.erase(m_finishes.begin(), m_finishes.begin() + static_cast<std::ptrdiff_t>(m_finishesWritten));
        decideKnown(now);
        return;
    }
    const auto code = result.error().code;
    // After a conflict or a lost answer the bucket is read again: the mark in it tells whether a claim is this host's own.
    m_bucket.reset();
    if (code != ErrorCode::Conflict && code != ErrorCode::OutcomeUnknown)
        failAll(result.error());
}

std::vector<ClaimResolution> ClaimBatcher::takeResolutions() { return std::exchange(m_resolutions, {}); }

std::optional<TimePoint> ClaimBatcher::oldestFinish() const
{
    return m_finishes.empty() ? std::nullopt : std::optional<TimePoint>(m_finishes.front().since);
}

void ClaimBatcher::decideKnown(TimePoint now)
{
    std::deque<Waiting> undecided;
    for (auto& waiting : m_waiting) {
        const auto decision = decisionFor(waiting, now);
        if (decision)
            resolve(waiting, *decision);
        else
            undecided.push_back(std::move(waiting));
    }
    m_waiting = std::move(undecided);
}

std::optional<ClaimDecision> ClaimBatcher::decisionFor(const Waiting& waiting, TimePoint now) const
{
    const auto* entry = m_bucket->find(waiting.keyHash);
    if (!entry || m_abandoned.contains(entry->mark))
        return std::nullopt;
    // A claim that is decided after a long pause may have lapsed and been made again by another host.
    const bool isTimely = now - waiting.since < m_settings.retention / 2;
    if (entry->mark == waiting.mark && isTimely)
        return ClaimDecision { ClaimKind::Fresh, {}, waiting.mark };
    if (entry->fingerprint != waiting.fingerprint)
        return ClaimDecision { ClaimKind::BodyDiffers, {}, {} };
    return ClaimDecision { ClaimKind::Known, entry->status, {} };
}

void ClaimBatcher::failAll(const Error& error)
{
    for (const auto& waiting : m_waiting) {
        if (waiting.isMaybeWritten && m_abandoned.size() < maximumAbandoned)
            m_abandoned.insert(waiting.mark);
        resolve(waiting, failure(error.code, error.message, error.where));
    }
    m_waiting.clear();
}

void ClaimBatcher::resolve(const Waiting& waiting, Result<ClaimDecision> result)
{
    m_resolutions.push_back(ClaimResolution { waiting.ticket, std::move(result) });
}

bool ClaimBatcher::isFinishDue(TimePoint now) const
{
    const bool hasRelease = std::any_of(m_finishes.begin(), m_finishes.end(), [](const auto& finish) { return !finish.releasedMark.empty(); });
    return hasRelease || (!m_finishes.empty() && now - m_finishes.front().since >= m_settings.finishDelay);
}

} // namespace cicadalb
