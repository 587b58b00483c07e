#pragma once

#include "cicadalb/services/BackoffPolicy.h"

/// @file
/// One host's share of a service's call rate, with a careful return after an outage.

namespace cicadalb {

struct CallGateSettings {
    /// Calls a second that this host may make.
    double callsPerSecond = 50;
    /// Calls that may follow at once on each other.
    double burst = 25;
    /// Calls that may be open at once; bounds the load of a slow service.
    std::size_t maximumOpen = 32;
    /// Time after an outage in which the rate rises from a tenth to the whole.
    std::chrono::milliseconds rampTime { 10000 };
    BackoffSettings backoff;
};

/// @brief Admits calls to a service: a rate, a bound on open calls, and after a failure one attempt for each backoff delay until
/// an attempt succeeds. Not thread-safe.
class CallGate {
public:
    CallGate(CallGateSettings, std::uint64_t randomSeed);

    /// @brief Asks for one call. If true, end it by succeeded() or failed().
    bool tryBegin(TimePoint now);
    void succeeded(TimePoint now);
    /// @brief The service was down or refused by its rate.
    void failed(TimePoint now);

    bool isAvailable() const noexcept { return m_isAvailable; }
    /// @brief Time after which another attempt makes sense.
    std::chrono::milliseconds retryAfter(TimePoint now) const;

private:
    double rate(TimePoint now) const;
    void refill(TimePoint now);

    CallGateSettings m_settings;
    BackoffPolicy m_backoff;
    bool m_isAvailable = true;
    std::size_t m_open = 0;
    double m_tokens;
    TimePoint m_refilledAt;
    TimePoint m_nextAttempt;
    TimePoint m_availableSince;
};

} // namespace cicadalb
