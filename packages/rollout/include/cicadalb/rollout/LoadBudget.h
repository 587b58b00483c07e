#pragma once

#include "cicadalb/base/Clock.h"

#include <mutex>

/// @file
/// The weight store's rate as a budget that the pools of a host share.

namespace cicadalb {

/// @brief A token bucket of weight loads. Thread-safe.
class LoadBudget {
public:
    /// @param loadsPerSecond this host's part of the store's rate; @param burst loads that may start at once, at least 1
    LoadBudget(double loadsPerSecond, double burst, TimePoint now);

    /// @brief Takes one load if the rate allows it.
    bool tryTake(TimePoint now);

private:
    std::mutex m_mutex;
    double m_loadsPerSecond;
    double m_burst;
    double m_available;
    TimePoint m_filledAt;
};

} // namespace cicadalb
