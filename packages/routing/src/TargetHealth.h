#pragma once

#include "cicadalb/base/Random.h"
#include "cicadalb/routing/PoolBalancer.h"

/// @file
/// Circuit breaker of one target, with slow start when it returns.

namespace cicadalb {

/// @brief Closed -> Open -> HalfOpen -> SlowStart -> Closed; a failure in HalfOpen opens it again for longer.
enum class CircuitState : std::uint8_t { Closed,
    Open,
    HalfOpen,
    SlowStart };

class TargetHealth {
public:
    static constexpr unsigned failuresToOpen = 5;
    static constexpr double failureShareToOpen = 0.5;
    static constexpr std::chrono::milliseconds shortestOpenTime { 1000 };
    static constexpr std::chrono::milliseconds longestOpenTime { 16000 };
    static constexpr std::chrono::milliseconds slowStartTime { 5000 };

    /// @brief Learns from the end of a request on the target.
    void record(CompletionKind, TimePoint now, Random&);
    CircuitState state(TimePoint now) const noexcept;
    /// @brief True if the target answers, though with errors: it may serve as a last resort.
    bool isReachable() const noexcept { return m_isReachable; }
    /// @brief When an open circuit lets a probe through.
    TimePoint openUntil() const noexcept { return m_openUntil; }
    /// @brief Part of its limit that the target may use now: 0 when open or half-open (then one probe at a time).
    double allowedShare(TimePoint now) const noexcept;

private:
    void open(TimePoint now, Random&);

    bool m_isOpen = false;
    bool m_isReachable = true;
    unsigned m_failuresInRow = 0;
    /// Exponential average of failures, 0 to 1.
    double m_failureShare = 0;
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
