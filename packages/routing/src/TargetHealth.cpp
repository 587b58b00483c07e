#include "TargetHealth.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr double failureRateAverageWeight = 1.0 / 16;
    /// Fraction of the concurrency limit at the beginning of slow start.
    constexpr double initialSlowStartFraction = 0.1;
    /// Width of the random jitter of open times, as a fraction of them, so that hosts do not probe simultaneously.
    constexpr double openTimeJitter = 0.5;

    bool isFailure(CompletionKind kind)
    {
        return kind == CompletionKind::ServerError || kind == CompletionKind::Lost || kind == CompletionKind::NotRun;
    }

    double ratio(Duration part, Duration whole)
    {
        return static_cast<double>(part.count()) / static_cast<double>(whole.count());
    }

} // namespace

void TargetHealth::record(CompletionKind kind, TimePoint now, Random& random)
{
    const auto before = state(now);
    if (kind == CompletionKind::Abandoned || before == CircuitState::Open)
        return;
    const bool failed = isFailure(kind);
    m_isReachable = kind == CompletionKind::Succeeded || kind == CompletionKind::ServerError;
    m_consecutiveFailures = failed ? m_consecutiveFailures + 1 : 0;
    m_failureRate += failureRateAverageWeight * ((failed ? 1.0 : 0.0) - m_failureRate);
    if (failed) {
        if (before == CircuitState::HalfOpen || m_consecutiveFailures >= consecutiveFailuresToOpen || m_failureRate > failureRateToOpen)
            open(now, random);
        return;
    }
    if (before == CircuitState::HalfOpen) {
        m_isOpen = false;
        m_failureRate = 0;
        m_slowStartUntil = now + slowStartDuration;
    }
    if (before == CircuitState::Closed)
        m_openCount = 0;
}

void TargetHealth::open(TimePoint now, Random& random)
{
    const auto doublings = std::min(m_openCount, 4U);
    const auto base = std::min(minimumOpenTime * (1U << doublings), maximumOpenTime);
    const auto jitterFactor = 1 + openTimeJitter * (randomUnit(random) - 0.5);
    m_isOpen = true;
    m_openUntil = now + std::chrono::duration_cast<Duration>(base * jitterFactor);
    ++m_openCount;
}

double TargetHealth::allowedLimitFraction(TimePoint now) const noexcept
{
    switch (state(now)) {
    case CircuitState::Open:
    case CircuitState::HalfOpen:
        return 0;
    case CircuitState::SlowStart:
        return 1 - (1 - initialSlowStartFraction) * ratio(m_slowStartUntil - now, slowStartDuration);
    case CircuitState::Closed:
        break;
    }
    return 1;
}

} // namespace cicadalb
