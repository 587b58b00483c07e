#include "cicadalb/services/BackoffPolicy.h"

#include <algorithm>

namespace cicadalb {

BackoffPolicy::BackoffPolicy(BackoffSettings settings, std::uint64_t randomSeed)
    : m_settings(settings)
    , m_random(randomSeed)
{
}

std::chrono::milliseconds BackoffPolicy::nextDelay()
{
    constexpr unsigned largestShift = 20;
    const auto doubled = m_settings.base * (std::int64_t { 1 } << std::min(m_failures, largestShift));
    ++m_failures;
    const auto delay = std::min<std::chrono::milliseconds>(doubled, m_settings.maximum);
    const double factor = 0.5 + 0.5 * randomUnit(m_random);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor));
}

} // namespace cicadalb
