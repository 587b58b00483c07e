#pragma once

/// @file
/// Limits the retries of one route, so that failing targets do not multiply the load.

namespace cicadalb {

/// @brief Token bucket of retries, refilled by requests. Counted from the start, retries <= percent / 100 * requests + initialRetries;
/// at 10 percent, from 300 requests on, retries < percent / 100 * requests. Not thread-safe: the lock of its shard guards it.
class RetryBudget {
public:
    /// Retries that are available before the first request.
    static constexpr double initialRetries = 3;
    /// Capacity of the token bucket.
    static constexpr double maximumAvailableRetries = 20;

    /// @param percent retries allowed as a percentage of the requests; 0 allows none
    explicit RetryBudget(unsigned percent) noexcept;

    /// @brief Records a new request (not a retry).
    void recordRequest() noexcept;
    /// @brief Takes one retry from the budget. @return false if none is available
    bool tryTakeRetry() noexcept;
    /// @brief Applies a new configuration of the route.
    void setPercent(unsigned percent) noexcept;
    double availableRetries() const noexcept { return m_availableRetries; }

private:
    unsigned m_percent;
    double m_availableRetries;
};

} // namespace cicadalb
