#pragma once

#include "cicadalb/base/Clock.h"

/// @file
/// Estimate of a target's service time from its completed requests.

namespace cicadalb {

/// @brief Exponential moving averages of service time and latency. Outliers are clipped, so that a heavy tail does not make a target look slow.
class ServiceTimeEstimate {
public:
    /// @brief Records a completed request.
    /// @param queueingFactor estimated ratio of the latency to the service time; values below 1 count as 1
    void record(Duration latency, double queueingFactor, TimePoint now);
    bool isKnown() const noexcept { return m_samples > 0; }
    /// @brief Service time without queueing, in seconds; 0 if unknown.
    double serviceSeconds() const noexcept { return m_serviceSeconds; }
    /// @brief Moving average of the latency, queueing included, in seconds.
    double latencySeconds() const noexcept { return m_latencySeconds; }
    /// @brief Lowest latencySeconds() of the current and the previous baseline window: the reference for the concurrency limit.
    double baselineSeconds() const noexcept;
    /// @brief Service time for target selection: decays while no samples arrive, so that an unused target is tried again, slower ones later.
    double decayedServiceSeconds(TimePoint now) const noexcept;

private:
    void recordBaseline(TimePoint now);
    std::chrono::duration<double> decayDelay() const noexcept;

    unsigned m_samples = 0;
    double m_serviceSeconds = 0;
    double m_latencySeconds = 0;
    /// Lowest latencySeconds() of the current and of the previous baseline window.
    double m_currentMinimum = 0;
    double m_previousMinimum = 0;
    TimePoint m_windowStart {};
    /// Time at which the estimate begins to decay.
    TimePoint m_decayStart {};
};

} // namespace cicadalb
