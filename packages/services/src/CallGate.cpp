#include "cicadalb/services/CallGate.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Share of the rate right after an outage.
    constexpr double firstShare = 0.1;

} // namespace

CallGate::CallGate(CallGateSettings settings, std::uint64_t randomSeed)
    : m_settings(settings)
    , m_backoff(settings.backoff, randomSeed)
    , m_tokens(settings.burst)
    , m_availableSince(TimePoint::min())
{
}

bool CallGate::tryBegin(TimePoint now)
{
    if (!m_isAvailable) {
        if (now < m_nextAttempt || m_open > 0)
            return false;
        ++m_open;
        return true;
    }
    refill(now);
    if (m_tokens < 1 || m_open >= m_settings.maximumOpen)
        return false;
    m_tokens -= 1;
    ++m_open;
    return true;
}

void CallGate::succeeded(TimePoint now)
{
    --m_open;
    m_backoff.reset();
    if (m_isAvailable)
        return;
    m_isAvailable = true;
    m_availableSince = now;
    m_refilledAt = now;
    m_tokens = 0;
}

void CallGate::failed(TimePoint now)
{
    --m_open;
    // Calls that were open together fail together: they count as one failure.
    if (!m_isAvailable && now < m_nextAttempt)
        return;
    m_isAvailable = false;
    m_nextAttempt = now + m_backoff.nextDelay();
}

std::chrono::milliseconds CallGate::retryAfter(TimePoint now) const
{
    const auto wait = m_isAvailable ? Duration(m_settings.backoff.base) : std::max(Duration::zero(), m_nextAttempt - now) + m_settings.backoff.base;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

double CallGate::rate(TimePoint now) const
{
    if (m_availableSince == TimePoint::min())
        return m_settings.callsPerSecond;
    const double ramp = std::chrono::duration<double>(now - m_availableSince) / std::chrono::duration<double>(m_settings.rampTime);
    return m_settings.callsPerSecond * std::clamp(ramp, firstShare, 1.0);
}

void CallGate::refill(TimePoint now)
{
    if (m_refilledAt != TimePoint()) {
        const double passed = std::chrono::duration<double>(now - m_refilledAt).count();
        const double share = rate(now) / m_settings.callsPerSecond;
        m_tokens = std::min(m_settings.burst * share, m_tokens + passed * rate(now));
    }
    m_refilledAt = now;
}

} // namespace cicadalb
