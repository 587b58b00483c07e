#include "cicadalb/routing/RetryBudget.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Fraction of the percentage that requests refill; the rest makes up for the initial retries.
    constexpr double refillFraction = 0.9;

} // namespace

RetryBudget::RetryBudget(unsigned percent) noexcept
    : m_percent(percent)
    , m_availableRetries(percent > 0 ? initialRetries : 0)
{
}

void RetryBudget::recordRequest() noexcept
{
    m_availableRetries = std::min(m_availableRetries + refillFraction * m_percent / 100.0, maximumAvailableRetries);
}

bool RetryBudget::tryTakeRetry() noexcept
{
    if (m_percent == 0 || m_availableRetries < 1)
        return false;
    m_availableRetries -= 1;
    return true;
}

void RetryBudget::setPercent(unsigned percent) noexcept
{
    m_percent = percent;
}

} // namespace cicadalb
