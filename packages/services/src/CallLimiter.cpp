#include "cicadalb/services/CallLimiter.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Share of the full rate that is allowed directly after an outage.
    constexpr double initialRateShare = 0.1;

} // namespace

CallLimiter::CallLimiter(CallLimiterSettings settings, std::uint64_t randomSeed)
    : m_settings(settings)
    , m_backoff(settings.backoff, randomSeed)
    , m_tokens(settings.burst)
    , m_availableSince(TimePoint::min())
{
}

bool CallLimiter::tryBegin(TimePoint now)
{
    if (!m_isAvailable) {
        if (now < m_nextAttemptAt || m_openCalls > 0)
            return false;
        ++m_openCalls;
        return true;
    }
    refillTokens(now);
    if (m_tokens < 1 || m_openCalls >= m_settings.maximumOpenCalls)
        return false;
    m_tokens -= 1;
    ++m_openCalls;
    return true;
}

void CallLimiter::recordSuccess(TimePoint now)
{
    --m_openCalls;
    m_backoff.reset();
    if (m_isAvailable)
        return;
    m_isAvailable = true;
    m_availableSince = now;
    m_refilledAt = now;
    m_tokens = 0;
}

void CallLimiter::recordFailure(TimePoint now)
{
    --m_openCalls;
    // Calls that were open at the same time fail together and count as one failure.
    if (!m_isAvailable && now < m_nextAttemptAt)
        return;
    m_isAvailable = false;
    m_nextAttemptAt = now + m_backoff.nextDelay();
}

std::chrono::milliseconds CallLimiter::retryAfter(TimePoint now) const
{
    const auto wait = m_isAvailable ? Duration(m_settings.backoff.baseDelay) : std::max(Duration::zero(), m_nextAttemptAt - now) + m_settings.backoff.baseDelay;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

double CallLimiter::currentRate(TimePoint now) const
{
    if (m_availableSince == TimePoint::min())
        return m_settings.callsPerSecond;
    const double rampProgress = std::chrono::duration<double>(now - m_availableSince) / std::chrono::duration<double>(m_settings.rampTime);
    return m_settings.callsPerSecond * std::clamp(rampProgress, initialRateShare, 1.0);
}

void CallLimiter::refillTokens(TimePoint now)
{
    if (m_refilledAt != TimePoint()) {
        const double elapsedSeconds = std::chrono::duration<double>(now - m_refilledAt).count();
        const double share = currentRate(now) / m_settings.callsPerSecond;
        m_tokens = std::min(m_settings.burst * share, m_tokens + elapsedSeconds * currentRate(now));
    }
    m_refilledAt = now;
}

} // namespace cicadalb
