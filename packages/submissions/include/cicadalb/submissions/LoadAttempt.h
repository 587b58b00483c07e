#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/submissions/EngineOrders.h"
#include "cicadalb/submissions/LoadPlan.h"

#include <optional>

/// @file
/// One load of weights, from the first report to the proof that the version is in force.

namespace cicadalb {

enum class LoadCall : std::uint8_t {
    /// Nothing before nextDue().
    None,
    /// Ask the engine for its report.
    Report,
    /// Give the order; only while the right to give orders lasts.
    Order,
};

/// @brief Decides the next call to an engine. An order without an answer may have been accepted, or be carried out later: it counts as accepted
/// once the engine's count has risen, and is given again only after a time in which it has not. Each order names the count that the last report
/// stated, so that it cannot be carried out after another one. Not thread-safe.
class LoadAttempt {
public:
    explicit LoadAttempt(LoadDecision);

    const LoadDecision& decision() const noexcept { return m_decision; }
    LoadCall due(TimePoint now) const;
    TimePoint nextDue() const noexcept { return m_due; }
    /// @brief The version is in force, or the load is given up.
    bool isOver() const noexcept { return m_phase == Phase::Over; }
    /// @brief Whether an order was given of which the end is not known yet.
    bool isOrdered() const noexcept { return m_phase == Phase::Confirming; }
    /// @brief Orders that the engine has accepted as of the last report; for the order that is due.
    std::uint64_t acceptedOrders() const noexcept { return m_acceptedOrders; }
    /// @brief Reports in a row that did not come before an order.
    unsigned failures() const noexcept { return m_failures; }

    void onReport(const std::optional<EngineReport>&, TimePoint now);
    /// @param outcome nothing: no answer came
    void onOrder(std::optional<OrderOutcome> outcome, TimePoint now);

private:
    enum class Phase : std::uint8_t { Asking,
        Ordering,
        Confirming,
        Over };

    void askAgain(TimePoint at);
    void confirm(const std::optional<EngineReport>&, TimePoint now);

    LoadDecision m_decision;
    Phase m_phase = Phase::Asking;
    TimePoint m_due {};
    std::uint64_t m_acceptedOrders = 0;
    /// Whether it is not known if the order was accepted.
    bool m_isUncertain = false;
    TimePoint m_orderedAt {};
    unsigned m_failures = 0;
};

} // namespace cicadalb
