#include "ConcurrencyLimit.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr double initialLimit = 8;
    constexpr double decreaseFactor = 0.9;
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

void ConcurrencyLimit::recordUncongested(unsigned inFlight)
{
    if (inFlight >= usedPart * m_limit)
        m_limit = std::min(m_limit + 1 / m_limit, m_ceiling);
}

void ConcurrencyLimit::recordCongested(Duration latency, TimePoint now)
{
    if (now - m_lastDecrease < latency)
        return;
    m_lastDecrease = now;
    m_limit = std::max(m_limit * decreaseFactor, 1.0);
}

} // namespace cicadalb
