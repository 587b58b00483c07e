#include "TargetHealth.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr double failureShareGain = 1.0 / 16;
    /// Share of its limit with which slow start begins.
    constexpr double smallestShare = 0.1;
    /// Open times are spread by this part of themselves, so that hosts do not probe together.
    constexpr double openTimeSpread = 0.5;

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
    m_failuresInRow = failed ? m_failuresInRow + 1 : 0;
    m_failureShare += failureShareGain * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (failed) {
        if (before == CircuitState::HalfOpen || m_failuresInRow >= failuresToOpen || m_failureShare > failureShareToOpen)
            open(now, random);
        return;
    }
    if (before == CircuitState::HalfOpen) {
        m_isOpen = false;
        m_failureShare = 0;
        m_slowStartUntil = now + slowStartTime;
    }
    if (before == CircuitState::Closed)
        m_openCount = 0;
}

void TargetHealth::open(TimePoint now, Random& random)
{
    const auto doublings = std::min(m_openCount, 4U);
    const auto base = std::min(shortestOpenTime * (1U << doublings), longestOpenTime);
    const auto spread = 1 + openTimeSpread * (randomUnit(random) - 0.5);
    m_isOpen = true;
    m_openUntil = now + std::chrono::duration_cast<Duration>(base * spread);
    ++m_openCount;
}

double TargetHealth::allowedShare(TimePoint now) const noexcept
{
    switch (state(now)) {
    case CircuitState::Open:
    case CircuitState::HalfOpen:
        return 0;
    case CircuitState::SlowStart:
        return 1 - (1 - smallestShare) * ratio(m_slowStartUntil - now, slowStartTime);
    case CircuitState::Closed:
        break;
    }
    return 1;
}

} // namespace cicadalb
