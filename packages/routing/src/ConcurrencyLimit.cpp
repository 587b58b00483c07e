#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    constexpr double initialLimit = 8;
    /// Slowdown up to which the limit does not shrink.
    constexpr double toleratedSlowdown = 1.5;
    constexpr double smallestGradient = 0.5;
    /// Requests by which the limit grows for each round of it.
    constexpr double allowance = 0.5;
    constexpr double largestPressure = 16;
    constexpr double lossFactor = 0.9;
    /// Part of the limit that has to be in use for it to grow.
    constexpr double usedPart = 0.75;

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

void ConcurrencyLimit::recordCompletion(unsigned inFlight, double slowdown, double pressure)
{
    const auto gradient = std::clamp(toleratedSlowdown / slowdown, smallestGradient, 1.0);
    const auto wanted = m_limit * gradient + allowance * std::clamp(pressure * pressure, 1.0, largestPressure);
    if (wanted > m_limit && inFlight < usedPart * std::floor(m_limit))
        return;
    // Each of the limit's completions contributes its part, so that one round makes one step.
    m_limit = std::clamp(m_limit + (wanted - m_limit) / m_limit, 1.0, m_ceiling);
}

void ConcurrencyLimit::recordLoss()
{
    m_limit = std::max(m_limit * lossFactor, 1.0);
}

} // namespace cicadalb
