#pragma once

/// @file
/// Limit of own requests in flight on one target.

namespace cicadalb {

/// @brief Follows the ratio of the measured latency to the service time: shrinks in proportion while the ratio is above the tolerated one,
/// and grows by a constant while the limit is used.
class ConcurrencyLimit {
public:
    /// @param ceiling largest limit; the limit never goes below 1
    /// @param startsLow whether it starts with few requests, to grow, or at the ceiling
    ConcurrencyLimit(unsigned ceiling, bool startsLow);

    void setCeiling(unsigned ceiling);
    /// @brief A request ended while @p inFlight (it included) ran.
    /// @param slowdown latency over service time without queueing, about 1 without congestion
    /// @param pressure requests that arrive at this host for each that is served; hosts under more pressure get more of the target
    void recordCompletion(unsigned inFlight, double slowdown, double pressure);
    /// @brief A request got no answer.
    void recordLoss();
    double value() const noexcept { return m_limit; }

private:
    double m_ceiling;
    double m_limit;
};

} // namespace cicadalb
