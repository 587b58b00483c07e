#include "cicadalb/services/LeaseStateMachine.h"

namespace cicadalb {

namespace {

    Duration partOf(Duration whole, double fraction)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(whole) * fraction);
    }

} // namespace

LeaseStateMachine::LeaseStateMachine(LeaseSettings settings, std::uint64_t randomSeed)
    : m_settings(std::move(settings))
    , m_backoff(m_settings.backoff, randomSeed)
    , m_random(randomSeed)
    , m_candidateNonce(m_random())
{
}

LeaseCall LeaseStateMachine::next(TimePoint now)
{
    if (now < m_nextCallAt)
        return LeaseCall::None;
    if (isRequestExpired(now))
        restartRequest();
    m_calledAt = now;
    if (m_nextCall == LeaseCall::Grant)
        m_keyValue = m_settings.holder + " " + std::to_string(m_candidateNonce) + "-" + std::to_string(++m_attemptCount);
    return m_nextCall;
}

void LeaseStateMachine::onGrant(const Result<LeaseId>& result, TimePoint now)
{
    if (!result) {
        retryLater(now);
        return;
    }
    m_lease = result.value();
    m_validUntil = m_calledAt + usableTime();
    m_nextCall = LeaseCall::WriteKey;
    m_nextCallAt = now;
}

void LeaseStateMachine::onKeyWritten(const Result<Revision>& result, TimePoint now)
{
    if (result) {
        recordAcquisition(result.value(), now);
        return;
    }
    m_replaceableRevision = 0;
    const auto code = result.error().code;
    m_nextCall = code == ErrorCode::OutcomeUnknown ? LeaseCall::ReadKey : LeaseCall::Release;
    m_nextCallAt = now;
}

void LeaseStateMachine::onKeyRead(const Result<std::optional<KeyValueEntry>>& result, TimePoint now)
{
    if (!result) {
        if (now >= m_validUntil)
            recordLoss(now);
        else
            retryLater(now);
        return;
    }
    const auto& entry = result.value();
    if (entry && entry->value == m_keyValue) {
        recordAcquisition(entry->revision, now);
        return;
    }
    m_nextCall = LeaseCall::Release;
    m_nextCallAt = now;
}

void LeaseStateMachine::onRenew(const Result<void>& result, TimePoint now)
{
    if (result) {
        m_validUntil = m_calledAt + usableTime();
        m_backoff.reset();
        m_nextCallAt = now + partOf(m_settings.timeToLive, m_settings.renewalShare * (0.75 + 0.5 * randomUnit(m_random)));
        return;
    }
    if (result.error().code == ErrorCode::LeaseLost)
        recordLoss(now);
    else
        retryLater(now);
}

void LeaseStateMachine::onRelease(TimePoint now)
{
    m_lease = 0;
    m_fencingNumber.reset();
    m_validUntil = {};
    m_nextCall = LeaseCall::Grant;
    m_nextCallAt = now + partOf(m_settings.timeToLive, 0.25 + 0.5 * randomUnit(m_random));
}

bool LeaseStateMachine::mayAct(TimePoint now, Duration longestAction) const
{
    return m_fencingNumber && now + longestAction <= m_validUntil;
}

bool LeaseStateMachine::mayActUnfenced(TimePoint now, Duration longestAction) const
{
    return mayAct(now, longestAction) && now >= m_acquiredAt + m_settings.timeToLive + longestAction;
}

CompareAndSwap LeaseStateMachine::keyWrite() const
{
    return CompareAndSwap { m_settings.key, m_keyValue, m_replaceableRevision, m_lease };
}

bool LeaseStateMachine::isRequestExpired(TimePoint now) const
{
    const bool hasBegunRequest = m_nextCall == LeaseCall::WriteKey || m_nextCall == LeaseCall::ReadKey || m_nextCall == LeaseCall::Release;
    return hasBegunRequest && now >= m_validUntil;
}

/// The key can neither be written with an expired lease nor still be held with it.
void LeaseStateMachine::restartRequest()
{
    m_lease = 0;
    m_nextCall = LeaseCall::Grant;
}

Duration LeaseStateMachine::usableTime() const
{
    return partOf(m_settings.timeToLive, 1.0 - m_settings.clockMargin);
}

void LeaseStateMachine::retryLater(TimePoint now)
{
    m_nextCallAt = now + m_backoff.nextDelay();
}

void LeaseStateMachine::recordAcquisition(Revision revision, TimePoint now)
{
    m_fencingNumber = revision;
    m_replaceableRevision = 0;
    m_acquiredAt = now;
    m_backoff.reset();
    m_nextCall = LeaseCall::Renew;
    m_nextCallAt = now + partOf(m_settings.timeToLive, m_settings.renewalShare * randomUnit(m_random));
}

void LeaseStateMachine::recordLoss(TimePoint now)
{
    m_lease = 0;
    m_fencingNumber.reset();
    m_validUntil = {};
    m_nextCall = LeaseCall::Grant;
    retryLater(now);
}

} // namespace cicadalb
