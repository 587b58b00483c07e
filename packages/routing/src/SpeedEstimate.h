#pragma once

#include "cicadalb/base/Clock.h"

/// @file
/// Service time of one target, learned from its completions.

namespace cicadalb {

/// @brief Exponential average of service times, with outliers clipped, so that a heavy tail does not make a target look slow.
class SpeedEstimate {
public:
    /// @brief A request took @p latency while about @p crowding requests shared each place of the target (at least 1).
    void record(Duration latency, double crowding, TimePoint now);
    bool isKnown() const noexcept { return m_samples > 0; }
    /// @brief Service time without queueing, in seconds; 0 if unknown.
    double serviceSeconds() const noexcept { return m_serviceSeconds; }
    /// @brief Recent latency with queueing, in seconds.
    double latencySeconds() const noexcept { return m_latencySeconds; }
    /// @brief Lowest recent average of the latency, in seconds: the baseline of the limit in flight.
    double baselineSeconds() const noexcept;
    /// @brief The estimate to pick by: falls while no sample comes, so that the target is tried again, a slower one later.
    double agedServiceSeconds(TimePoint now) const noexcept;

private:
    void recordBaseline(TimePoint now);
    std::chrono::duration<double> trustedTime() const noexcept;

    unsigned m_samples = 0;
    double m_serviceSeconds = 0;
    double m_latencySeconds = 0;
    double m_currentMinimum = 0;
    double m_previousMinimum = 0;
    TimePoint m_windowStart {};
    /// When the estimate begins to fall.
    TimePoint m_trustedUntil {};
};

} // namespace cicadalb
