#pragma once

/// @file
/// Bounds the retries of one route, so that failing targets do not multiply the load.

namespace cicadalb {

/// @brief Token bucket filled by requests. Over any run of requests, retries <= percent / 100 * requests + initialRetries; from
/// 300 requests on at 10 percent they are under percent / 100 * requests. Not thread-safe: its shard's lock guards it.
class RetryBudget {
public:
    /// Retries that a route may make before it has earned any.
    static constexpr double initialRetries = 3;
    /// Most retries that a quiet time can save up.
    static constexpr double maximumSavedRetries = 20;

    /// @param percent retries allowed in percent of the requests; 0 allows none
    explicit RetryBudget(unsigned percent) noexcept;

    /// @brief A new request (not a retry) was received.
    void recordRequest() noexcept;
    /// @brief Takes one retry. @return false if the budget is spent
    bool tryRetry() noexcept;
    /// @brief Takes over a new configuration of the route.
    void setPercent(unsigned percent) noexcept;
    double savedRetries() const noexcept { return m_saved; }

private:
    unsigned m_percent;
    double m_saved;
};

} // namespace cicadalb
