#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/submissions/EngineOrders.h"
#include "cicadalb/submissions/LoadPlan.h"

#include <optional>

/// @file
/// One load of weights, from the first status report until the engine reports the version as loaded.

namespace cicadalb {

enum class LoadCall : std::uint8_t {
    /// No call is due before nextCallAt().
    None,
    /// Request the engine's status report.
    RequestReport,
    /// Send the load order; permitted only while this host may give orders.
    SendOrder,
};

/// @brief Decides which call to an engine comes next. An unanswered order may have been accepted or may still be executed later: it counts as
/// accepted once the engine's count of accepted orders has risen, and is repeated only if the count has not risen within a timeout. Each order
/// names the count from the last report, so that the engine refuses it once it has accepted another order. Not thread-safe.
class LoadAttempt {
public:
    explicit LoadAttempt(LoadDecision);

    const LoadDecision& decision() const noexcept { return m_decision; }
    LoadCall dueCall(TimePoint now) const;
    TimePoint nextCallAt() const noexcept { return m_nextCallAt; }
    /// @brief Whether the version is loaded or the load was given up.
    bool isFinished() const noexcept { return m_phase == Phase::Finished; }
    /// @brief Whether an order was sent and its result is not known yet.
    bool isAwaitingConfirmation() const noexcept { return m_phase == Phase::Confirming; }
    /// @brief Number of accepted orders in the last report, which the next order has to name.
    std::uint64_t acceptedOrders() const noexcept { return m_acceptedOrders; }
    /// @brief Consecutive report requests that failed while no order was pending.
    unsigned consecutiveFailures() const noexcept { return m_failures; }

    void onReport(const std::optional<EngineReport>&, TimePoint now);
    /// @param outcome empty if the engine did not answer
    void onOrderOutcome(std::optional<OrderOutcome> outcome, TimePoint now);

private:
    enum class Phase : std::uint8_t { RequestingReport,
        SendingOrder,
        Confirming,
        Finished };

    void requestReportAt(TimePoint time);
    void confirmLoad(const std::optional<EngineReport>&, TimePoint now);

    LoadDecision m_decision;
    Phase m_phase = Phase::RequestingReport;
    TimePoint m_nextCallAt {};
    std::uint64_t m_acceptedOrders = 0;
    bool m_isAcceptanceUnknown = false;
    TimePoint m_orderedAt {};
    unsigned m_failures = 0;
};

} // namespace cicadalb
