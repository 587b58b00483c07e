#pragma once

#include "cicadalb/services/BackoffPolicy.h"

/// @file
/// Limits the calls of one host to its share of a service's call rate, and raises the rate gradually after an outage.

namespace cicadalb {

struct CallLimiterSettings {
    /// Calls per second that this host may make.
    double callsPerSecond = 50;
    /// Maximum number of calls that may be made back to back: the capacity of the token bucket.
    double burst = 25;
    /// Maximum number of concurrent calls; bounds the load on a slow service.
    std::size_t maximumOpenCalls = 32;
    /// Time after an outage over which the rate rises from a tenth to the full rate.
    std::chrono::milliseconds rampTime { 10000 };
    BackoffSettings backoff;
};

/// @brief Rate limiter and circuit breaker for the calls to a service: a token bucket, a bound on open calls, and after a failure one attempt
/// per backoff delay until an attempt succeeds. Not thread-safe.
class CallLimiter {
public:
    CallLimiter(CallLimiterSettings, std::uint64_t randomSeed);

    /// @brief Admits one call if the limits allow it. If true, the caller has to report its end with recordSuccess() or recordFailure().
    bool tryBegin(TimePoint now);
    void recordSuccess(TimePoint now);
    /// @brief Ends a call that failed because the service was down or rejected it because of its rate limit.
    void recordFailure(TimePoint now);

    bool isAvailable() const noexcept { return m_isAvailable; }
    /// @brief Time after which another attempt makes sense.
    std::chrono::milliseconds retryAfter(TimePoint now) const;

private:
    double currentRate(TimePoint now) const;
    void refillTokens(TimePoint now);

    CallLimiterSettings m_settings;
    BackoffPolicy m_backoff;
    bool m_isAvailable = true;
    std::size_t m_openCalls = 0;
    double m_tokens;
    TimePoint m_refilledAt;
    TimePoint m_nextAttemptAt;
    TimePoint m_availableSince;
};

} // namespace cicadalb
