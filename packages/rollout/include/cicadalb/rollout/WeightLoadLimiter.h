#pragma once

#include "cicadalb/base/Clock.h"

#include <mutex>

/// @file
/// Rate limit of weight loads, which keeps engines from overloading the weight store.

namespace cicadalb {

/// @brief A token bucket of weight loads. Thread-safe.
class WeightLoadLimiter {
public:
    /// @param loadsPerSecond sustained rate; @param burst loads that may start at once; values below 1 count as 1
    WeightLoadLimiter(double loadsPerSecond, double burst, TimePoint now);

    /// @brief Takes the token for one load. @return false if the rate does not allow a load now
    bool tryAcquire(TimePoint now);

private:
    std::mutex m_mutex;
    double m_loadsPerSecond;
    double m_burst;
    double m_available;
    TimePoint m_refilledAt;
};

} // namespace cicadalb
