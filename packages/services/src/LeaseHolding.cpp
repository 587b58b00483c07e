#include "cicadalb/services/LeaseHolding.h"

namespace cicadalb {

namespace {

    Duration share(Duration whole, double part)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(whole) * part);
    }

} // namespace

LeaseHolding::LeaseHolding(LeaseSettings settings, std::uint64_t randomSeed)
    : m_settings(std::move(settings))
    , m_backoff(m_settings.backoff, randomSeed)
    , m_random(randomSeed)
    , m_markSeed(m_random())
{
}

LeaseCall LeaseHolding::next(TimePoint now)
{
    if (now < m_due)
        return LeaseCall::None;
    m_calledAt = now;
    if (m_call == LeaseCall::Grant)
        m_mark = m_settings.holder + " " + std::to_string(m_markSeed) + "-" + std::to_string(++m_attempts);
    return m_call;
}

void LeaseHolding::onGrant(const Result<LeaseId>& result, TimePoint now)
{
    if (!result) {
        retryLater(now);
        return;
    }
    m_lease = result.value();
    m_validUntil = m_calledAt + usableTime();
    m_call = LeaseCall::Take;
    m_due = now;
}

void LeaseHolding::onTake(const Result<Revision>& result, TimePoint now)
{
    if (result) {
        win(result.value(), now);
        return;
    }
    m_replaced = 0;
    const auto code = result.error().code;
    m_call = code == ErrorCode::OutcomeUnknown ? LeaseCall::ReadBack : LeaseCall::Release;
    m_due = now;
}

void LeaseHolding::onReadBack(const Result<std::optional<KeyValueEntry>>& result, TimePoint now)
{
    if (!result) {
        if (now >= m_validUntil)
            lose(now);
        else
            retryLater(now);
        return;
    }
    const auto& entry = result.value();
    if (entry && entry->value == m_mark) {
        win(entry->revision, now);
        return;
    }
    m_call = LeaseCall::Release;
    m_due = now;
}

void LeaseHolding::onRenew(const Result<void>& result, TimePoint now)
{
    if (result) {
        m_validUntil = m_calledAt + usableTime();
        m_backoff.reset();
        m_due = now + share(m_settings.timeToLive, m_settings.renewalShare * (0.75 + 0.5 * randomUnit(m_random)));
        return;
    }
    if (result.error().code == ErrorCode::LeaseLost)
        lose(now);
    else
        retryLater(now);
}

void LeaseHolding::onRelease(TimePoint now)
{
    m_lease = 0;
    m_fencingNumber.reset();
    m_validUntil = {};
    m_call = LeaseCall::Grant;
    m_due = now + share(m_settings.timeToLive, 0.25 + 0.5 * randomUnit(m_random));
}

bool LeaseHolding::mayAct(TimePoint now, Duration longestAction) const
{
    return m_fencingNumber && now + longestAction <= m_validUntil;
}

bool LeaseHolding::mayActUnfenced(TimePoint now, Duration longestAction) const
{
    return mayAct(now, longestAction) && now >= m_wonAt + m_settings.timeToLive + longestAction;
}

CompareAndSwap LeaseHolding::takeWrite() const
{
    return CompareAndSwap { m_settings.key, m_mark, m_replaced, m_lease };
}

Duration LeaseHolding::usableTime() const
{
    return share(m_settings.timeToLive, 1.0 - m_settings.clockMargin);
}

void LeaseHolding::retryLater(TimePoint now)
{
    m_due = now + m_backoff.nextDelay();
}

void LeaseHolding::win(Revision revision, TimePoint now)
{
    m_fencingNumber = revision;
    m_replaced = 0;
    m_wonAt = now;
    m_backoff.reset();
    m_call = LeaseCall::Renew;
    m_due = now + share(m_settings.timeToLive, m_settings.renewalShare * randomUnit(m_random));
}

void LeaseHolding::lose(TimePoint now)
{
    m_lease = 0;
    m_fencingNumber.reset();
    m_validUntil = {};
    m_call = LeaseCall::Grant;
    retryLater(now);
}

} // namespace cicadalb
