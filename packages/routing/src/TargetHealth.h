#pragma once

#include "cicadalb/base/Random.h"
#include "cicadalb/routing/PoolBalancer.h"

/// @file
/// Circuit breaker of one target, with slow start after recovery.

namespace cicadalb {

/// @brief Closed -> Open -> HalfOpen -> SlowStart -> Closed; a failure in HalfOpen opens it again for longer.
enum class CircuitState : std::uint8_t { Closed,
    Open,
    HalfOpen,
    SlowStart };

class TargetHealth {
public:
    static constexpr unsigned consecutiveFailuresToOpen = 5;
    static constexpr double failureRateToOpen = 0.5;
    static constexpr std::chrono::milliseconds minimumOpenTime { 1000 };
    static constexpr std::chrono::milliseconds maximumOpenTime { 16000 };
    static constexpr std::chrono::milliseconds slowStartDuration { 5000 };

    /// @brief Records how a request on the target ended.
    void record(CompletionKind, TimePoint now, Random&);
    CircuitState state(TimePoint now) const noexcept;
    /// @brief True unless the last recorded request got no answer: a target that answers, if only with errors, may serve as a last resort.
    bool isReachable() const noexcept { return m_isReachable; }
    /// @brief Time from which an open circuit lets a probe through.
    TimePoint openUntil() const noexcept { return m_openUntil; }
    /// @brief Fraction of the concurrency limit that may be used now: 0 if open or half-open (half-open allows one probe at a time).
    double allowedLimitFraction(TimePoint now) const noexcept;

private:
    void open(TimePoint now, Random&);

    bool m_isOpen = false;
    bool m_isReachable = true;
    unsigned m_consecutiveFailures = 0;
    /// Moving average of failures, 0 to 1.
    double m_failureRate = 0;
    unsigned m_openCount = 0;
    TimePoint m_openUntil {};
    TimePoint m_slowStartUntil {};
};

inline CircuitState TargetHealth::state(TimePoint now) const noexcept
{
    if (m_isOpen)
        return now < m_openUntil ? CircuitState::Open : CircuitState::HalfOpen;
    return now < m_slowStartUntil ? CircuitState::SlowStart : CircuitState::Closed;
}

} // namespace cicadalb
