#include "cicadalb/submissions/LoadAttempt.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// A load takes 0.9 s by the users' sheets; reports are some hundred milliseconds old.
    constexpr milliseconds usualLoadTime { 950 };
    constexpr milliseconds reportInterval { 120 };
    /// An order without an answer that has not shown in a report after this time is given again.
    constexpr milliseconds longestSilence { 1600 };
    /// An accepted load that takes longer is looked at anew.
    constexpr milliseconds longestLoad { 8000 };
    /// A load is given up after so many reports in a row that did not come.
    constexpr unsigned mostFailures = 3;
    /// Pause before an order that was refused is given again.
    constexpr milliseconds retryPause { 200 };

    constexpr auto orderNames = std::to_array<EnumName<OrderOutcome>>({
        { OrderOutcome::Accepted, "accepted" },
        { OrderOutcome::AlreadyHolds, "already-holds" },
        { OrderOutcome::Busy, "busy" },
        { OrderOutcome::Fenced, "fenced" },
        { OrderOutcome::Misdirected, "misdirected" },
        { OrderOutcome::Refused, "refused" },
    });

    bool holds(const EngineReport& report, const LoadDecision& decision)
    {
        const auto held = report.models.find(decision.model.value());
        return held != report.models.end() && held->second >= decision.version;
    }

} // namespace

std::string_view name(OrderOutcome outcome) noexcept { return nameIn(orderNames, outcome); }

LoadAttempt::LoadAttempt(LoadDecision decision)
    : m_decision(std::move(decision))
{
}

LoadCall LoadAttempt::due(TimePoint now) const
{
    if (m_phase == Phase::Over || now < m_due)
        return LoadCall::None;
    return m_phase == Phase::Ordering ? LoadCall::Order : LoadCall::Report;
}

void LoadAttempt::askAgain(TimePoint at)
{
    m_phase = Phase::Asking;
    m_due = at;
}

void LoadAttempt::onReport(const std::optional<EngineReport>& report, TimePoint now)
{
    if (m_phase == Phase::Confirming)
        return confirm(report, now);
    if (!report) {
        if (++m_failures >= mostFailures)
            m_phase = Phase::Over;
        else
            askAgain(now + retryPause);
        return;
    }
    m_failures = 0;
    m_acceptedOrders = report->acceptedOrders;
    if (holds(*report, m_decision))
        m_phase = Phase::Over;
    else if (report->isLoading)
        askAgain(now + retryPause);
    else
        m_phase = Phase::Ordering;
}

void LoadAttempt::onOrder(std::optional<OrderOutcome> outcome, TimePoint now)
{
    m_isUncertain = !outcome;
    if (!outcome || *outcome == OrderOutcome::Accepted) {
        m_phase = Phase::Confirming;
        m_orderedAt = now;
        m_due = outcome ? now + usualLoadTime : now;
    } else if (*outcome == OrderOutcome::Busy || *outcome == OrderOutcome::Refused) {
        askAgain(now + retryPause);
    } else {
        m_phase = Phase::Over;
    }
}

void LoadAttempt::confirm(const std::optional<EngineReport>& report, TimePoint now)
{
    if (report && holds(*report, m_decision)) {
        m_phase = Phase::Over;
        return;
    }
    if (report && report->acceptedOrders > m_acceptedOrders)
        m_isUncertain = false;
    const bool wasLost = m_isUncertain && now > m_orderedAt + longestSilence;
    if (wasLost || now >= m_orderedAt + longestLoad)
        askAgain(now + retryPause);
    else
        m_due = now + reportInterval;
}

} // namespace cicadalb
