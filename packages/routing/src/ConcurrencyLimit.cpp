#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    constexpr double initialLimit = 8;
    /// Slowdown up to which the limit does not shrink.
    constexpr double toleratedSlowdown = 1.5;
    constexpr double minimumGradient = 0.5;
    /// Requests by which the limit grows per round, i.e. per as many completions as the limit.
    constexpr double growthPerRound = 0.5;
    constexpr double maximumGrowthFactor = 16;
    constexpr double lossFactor = 0.9;
    /// Fraction of the limit that must be in use for it to grow.
    constexpr double minimumUtilization = 0.75;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(unsigned ceiling, bool startsLow)
    : m_ceiling(std::max(ceiling, 1U))
    , m_limit(startsLow ? std::min(m_ceiling, initialLimit) : m_ceiling)
{
}

void ConcurrencyLimit::setCeiling(unsigned ceiling)
{
    m_ceiling = std::max(ceiling, 1U);
    m_limit = std::min(m_limit, m_ceiling);
}

void ConcurrencyLimit::recordCompletion(unsigned inFlight, double slowdown, double arrivalsPerCompletion)
{
    const auto gradient = std::clamp(toleratedSlowdown / slowdown, minimumGradient, 1.0);
    const auto desired = m_limit * gradient + growthPerRound * std::clamp(arrivalsPerCompletion * arrivalsPerCompletion, 1.0, maximumGrowthFactor);
    if (desired > m_limit && inFlight < minimumUtilization * std::floor(m_limit))
        return;
    // Each completion applies 1 / m_limit of the change, so that one round of completions applies the whole change.
    m_limit = std::clamp(m_limit + (desired - m_limit) / m_limit, 1.0, m_ceiling);
}

void ConcurrencyLimit::recordLoss()
{
    m_limit = std::max(m_limit * lossFactor, 1.0);
}

} // namespace cicadalb
