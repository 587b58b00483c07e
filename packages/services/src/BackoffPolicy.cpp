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
    constexpr unsigned maximumShift = 20;
    const auto exponentialDelay = m_settings.baseDelay * (std::int64_t { 1 } << std::min(m_failures, maximumShift));
    ++m_failures;
    const auto delay = std::min<std::chrono::milliseconds>(exponentialDelay, m_settings.maximumDelay);
    const double jitterFactor = 0.5 + 0.5 * randomUnit(m_random);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(delay.count()) * jitterFactor));
}

} // namespace cicadalb
