#pragma once

#include "cicadalb/base/Clock.h"

/// @file
/// Limit of own requests in flight on one target.

namespace cicadalb {

/// @brief Additive increase while the limit is used, multiplicative decrease on congestion, at most once in a latency.
class ConcurrencyLimit {
public:
    /// @param ceiling largest limit; the limit never goes below 1
    /// @param startsLow whether it starts with few requests, to grow, or at the ceiling
    ConcurrencyLimit(unsigned ceiling, bool startsLow);

    void setCeiling(unsigned ceiling);
    /// @brief A request ended while @p inFlight (it included) ran.
    void recordUncongested(unsigned inFlight);
    /// @param latency decreases closer together than this count as one
    void recordCongested(Duration latency, TimePoint now);
    double value() const noexcept { return m_limit; }

private:
    double m_ceiling;
    double m_limit;
    TimePoint m_lastDecrease {};
};

} // namespace cicadalb
