#include "cicadalb/submissions/LoadAttempt.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// Delay of the first report request after an accepted order. The users' data sheets state 0.9 s for a load; reports are some hundred
    /// milliseconds old.
    constexpr milliseconds expectedLoadTime { 950 };
    /// Interval of report requests while a load is awaited.
    constexpr milliseconds reportInterval { 120 };
    /// An unanswered order is repeated if no report shows within this time that the engine accepted it.
    constexpr milliseconds unansweredOrderTimeout { 1600 };
    /// If the version is not loaded this long after the order, the attempt starts again with a report request.
    constexpr milliseconds loadTimeout { 8000 };
    /// The load is given up after this many consecutive report requests have failed.
    constexpr unsigned maximumFailures = 3;
    /// Delay before the next report request after a failed request, a refused, lost or timed-out order, or a report of a load in progress.
    constexpr milliseconds retryDelay { 200 };

    constexpr auto outcomeNames = std::to_array<EnumName<OrderOutcome>>({
        { OrderOutcome::Accepted, "accepted" },
        { OrderOutcome::AlreadyHolds, "already-holds" },
        { OrderOutcome::Busy, "busy" },
        { OrderOutcome::Fenced, "fenced" },
        { OrderOutcome::Misdirected, "misdirected" },
        { OrderOutcome::Refused, "refused" },
    });

    bool hasVersion(const EngineReport& report, const LoadDecision& decision)
    {
        const auto loaded = report.models.find(decision.model.value());
        return loaded != report.models.end() && loaded->second >= decision.version;
    }

} // namespace

std::string_view name(OrderOutcome outcome) noexcept { return nameIn(outcomeNames, outcome); }

LoadAttempt::LoadAttempt(LoadDecision decision)
    : m_decision(std::move(decision))
{
}

LoadCall LoadAttempt::dueCall(TimePoint now) const
{
    if (m_phase == Phase::Finished || now < m_nextCallAt)
        return LoadCall::None;
    return m_phase == Phase::SendingOrder ? LoadCall::SendOrder : LoadCall::RequestReport;
}

void LoadAttempt::requestReportAt(TimePoint time)
{
    m_phase = Phase::RequestingReport;
    m_nextCallAt = time;
}

void LoadAttempt::onReport(const std::optional<EngineReport>& report, TimePoint now)
{
    if (m_phase == Phase::Confirming)
        return confirmLoad(report, now);
    if (!report) {
        if (++m_failures >= maximumFailures)
            m_phase = Phase::Finished;
        else
            requestReportAt(now + retryDelay);
        return;
    }
    m_failures = 0;
    m_acceptedOrders = report->acceptedOrders;
    if (hasVersion(*report, m_decision))
        m_phase = Phase::Finished;
    else if (report->isLoading)
        requestReportAt(now + retryDelay);
    else
        m_phase = Phase::SendingOrder;
}

void LoadAttempt::onOrderOutcome(std::optional<OrderOutcome> outcome, TimePoint now)
{
    m_isAcceptanceUnknown = !outcome;
    if (!outcome || *outcome == OrderOutcome::Accepted) {
        m_phase = Phase::Confirming;
        m_orderedAt = now;
        m_nextCallAt = outcome ? now + expectedLoadTime : now;
    } else if (*outcome == OrderOutcome::Busy || *outcome == OrderOutcome::Refused) {
        requestReportAt(now + retryDelay);
    } else {
        m_phase = Phase::Finished;
    }
}

void LoadAttempt::confirmLoad(const std::optional<EngineReport>& report, TimePoint now)
{
    if (report && hasVersion(*report, m_decision)) {
        m_phase = Phase::Finished;
        return;
    }
    if (report && report->acceptedOrders > m_acceptedOrders)
        m_isAcceptanceUnknown = false;
    const bool isOrderLost = m_isAcceptanceUnknown && now > m_orderedAt + unansweredOrderTimeout;
    if (isOrderLost || now >= m_orderedAt + loadTimeout)
        requestReportAt(now + retryDelay);
    else
        m_nextCallAt = now + reportInterval;
}

} // namespace cicadalb
