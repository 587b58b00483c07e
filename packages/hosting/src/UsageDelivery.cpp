#include "UsageDelivery.h"

#include <algorithm>
#include <utility>

namespace cicadalb {

UsageDelivery::UsageDelivery(UsageCounter& counter, UsageDeliverySettings settings)
    : m_counter(counter)
    , m_settings(std::move(settings))
    , m_ownConfirmationDelay(confirmationDelay / 2 + std::chrono::milliseconds(m_settings.firstCandidate % static_cast<std::size_t>(confirmationDelay.count() / 2)))
    , m_nextCandidate(m_settings.candidateCount > 0 ? m_settings.firstCandidate % m_settings.candidateCount : 0)
{
}

bool UsageDelivery::hasQuestion() const
{
    const auto oldest = m_counter.oldestWindow();
    if (!oldest)
        return false;
    const auto end = m_counter.windows().endOf(*oldest);
    const auto time = m_counter.now();
    const bool isUnconfirmed = time >= end + m_ownConfirmationDelay && m_repliedAt < end + m_ownConfirmationDelay;
    const bool isOverdue = time >= end + m_settings.settleTime + m_ownConfirmationDelay / 2;
    return isUnconfirmed || isOverdue;
}

UsageCall UsageDelivery::makeCall(std::size_t candidate, bool hasCounts, TimePoint now)
{
    m_isCalling = true;
    m_sentAt = now;
    UsageCall call { candidate, { m_settings.host, m_settings.incarnation, hasCounts ? m_counter.sequence() : 0, {} } };
    if (hasCounts) {
        call.message.windows = m_counter.changedAfter(m_acknowledged);
        m_nextCountsAt = now + m_interval;
    }
    return call;
}

std::optional<UsageCall> UsageDelivery::nextCall(TimePoint now, bool isLast)
{
    if (m_isCalling || m_settings.candidateCount == 0)
        return std::nullopt;
    const bool hasChanges = !isDelivered();
    if (m_coordinator) {
        const bool mayAsk = now >= m_sentAt + questionInterval && hasQuestion();
        const bool maySendCounts = hasChanges && (isLast || now >= m_nextCountsAt);
        return maySendCounts || mayAsk ? std::optional(makeCall(*m_coordinator, hasChanges, now)) : std::nullopt;
    }
    if (!(hasChanges || hasQuestion()) || now < m_nextSearchAt)
        return std::nullopt;
    return makeCall(m_nextCandidate, false, now);
}

void UsageDelivery::searchNext(TimePoint now)
{
    m_nextCandidate = (m_nextCandidate + 1) % m_settings.candidateCount;
    if (++m_askedInSearch < m_settings.candidateCount)
        return;
    m_askedInSearch = 0;
    // A candidate that has not replied may be the coordinator.
    m_nextSearchAt = now + (std::exchange(m_hasLostReply, false) ? questionInterval / 2 : questionInterval);
}

void UsageDelivery::onReply(const UsageCall& call, const UsageReply& reply, TimePoint now)
{
    m_isCalling = false;
    if (!reply.isCollecting) {
        if (m_coordinator == call.candidate)
            m_askedInSearch = 0;
        m_coordinator.reset();
        searchNext(now);
        if (!reply.isReporting)
            m_nextSearchAt = now + disabledInterval;
        return;
    }
    m_coordinator = call.candidate;
    m_nextCandidate = call.candidate;
    m_askedInSearch = 0;
    m_interval = reply.interval;
    m_repliedAt = m_counter.now();
    if (m_collection != reply.collection) {
        // The counts in this message, if any, are sent again with those of the other windows.
        m_collection = reply.collection;
        m_acknowledged = 0;
        m_nextCountsAt = now;
    } else {
        m_acknowledged = std::max(m_acknowledged, call.message.sequence);
    }
    if (reply.closedUpTo > 0)
        m_counter.dropUpTo(reply.closedUpTo);
    if (!m_counter.oldestWindow())
        m_acknowledged = m_counter.sequence();
}

void UsageDelivery::onFailure(const UsageCall& call, TimePoint now)
{
    m_isCalling = false;
    m_nextSearchAt = now + failureDelay;
    if (mayHaveLostCounts(call))
        m_nextCountsAt = now;
    if (m_coordinator != call.candidate) {
        m_hasLostReply = true;
        searchNext(now);
        return;
    }
    // Asked first in the search, since one lost message says little.
    m_coordinator.reset();
    m_nextCandidate = call.candidate;
    m_askedInSearch = 0;
}

} // namespace cicadalb
