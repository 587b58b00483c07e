#include "cicadalb/routing/RetryBudget.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Part of the percentage that is earned by requests; the rest covers the initial retries.
    constexpr double earnedPart = 0.9;

} // namespace

RetryBudget::RetryBudget(unsigned percent) noexcept
    : m_percent(percent)
    , m_saved(percent > 0 ? initialRetries : 0)
{
}

void RetryBudget::recordRequest() noexcept
{
    m_saved = std::min(m_saved + earnedPart * m_percent / 100.0, maximumSavedRetries);
}

bool RetryBudget::tryRetry() noexcept
{
    if (m_percent == 0 || m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

void RetryBudget::setPercent(unsigned percent) noexcept
{
    m_percent = percent;
}

} // namespace cicadalb
