#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Random.h"

/// @file
/// Delays between attempts to call a service that fails.

namespace cicadalb {

struct BackoffSettings {
    std::chrono::milliseconds baseDelay { 250 };
    std::chrono::milliseconds maximumDelay { 15000 };
};

/// @brief Exponential backoff with jitter: each failure doubles the delay up to the maximum, and the delay used is drawn at random from its
/// upper half, so that hosts do not retry at the same time.
class BackoffPolicy {
public:
    BackoffPolicy(BackoffSettings, std::uint64_t randomSeed);

    /// @brief Records a failure. @return the delay before the next attempt
    std::chrono::milliseconds nextDelay();
    /// @brief Records a success: the next delay starts from the base again.
    void reset() noexcept { m_failures = 0; }
    unsigned failures() const noexcept { return m_failures; }

private:
    BackoffSettings m_settings;
    Random m_random;
    unsigned m_failures = 0;
};

} // namespace cicadalb
