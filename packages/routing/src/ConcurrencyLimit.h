#pragma once

/// @file
/// Adaptive limit of this host's requests in flight on one target.

namespace cicadalb {

/// @brief Adapts to the slowdown, the ratio of the latency to the service time: shrinks in proportion while the slowdown exceeds the
/// tolerated one, and otherwise grows by a constant step while most of the limit is in use.
class ConcurrencyLimit {
public:
    /// @param ceiling largest value of the limit; the smallest is 1
    /// @param startsLow true to start with a low limit that grows, false to start at the ceiling
    ConcurrencyLimit(unsigned ceiling, bool startsLow);

    void setCeiling(unsigned ceiling);
    /// @brief Records a completed request.
    /// @param inFlight requests in flight before it ended, itself included
    /// @param slowdown latency divided by the service time without queueing; about 1 without congestion
    /// @param arrivalsPerCompletion arrivals at this host divided by completions; above 1, the limit grows faster
    void recordCompletion(unsigned inFlight, double slowdown, double arrivalsPerCompletion);
    /// @brief Records a request that got no answer.
    void recordLoss();
    double value() const noexcept { return m_limit; }

private:
    double m_ceiling;
    double m_limit;
};

} // namespace cicadalb
