#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Random.h"

/// @file
/// When to call a service again that failed.

namespace cicadalb {

struct BackoffSettings {
    std::chrono::milliseconds base { 250 };
    std::chrono::milliseconds maximum { 15000 };
};

/// @brief Exponential backoff: each failure doubles the delay, and a delay is drawn from its upper half so that hosts do not act in step.
class BackoffPolicy {
public:
    BackoffPolicy(BackoffSettings, std::uint64_t randomSeed);

    /// @brief Notes a failure. @return the delay before the next attempt
    std::chrono::milliseconds nextDelay();
    /// @brief Notes a success.
    void reset() noexcept { m_failures = 0; }
    unsigned failures() const noexcept { return m_failures; }

private:
    BackoffSettings m_settings;
    Random m_random;
    unsigned m_failures = 0;
};

} // namespace cicadalb
