#include "TargetState.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    /// Time constant of the moving average of this host's requests in flight; about the age of a load report.
    constexpr double inFlightTimeConstantSeconds = 0.3;
    /// A request lost to its deadline counts against the target only if it waited at least this long and at least this many average latencies.
    constexpr std::chrono::duration<double> minimumCountedWait { 1 };
    constexpr double minimumCountedLatencies = 4;
    /// The lowest moving average of the latency in a baseline window is about this fraction of the mean latency.
    constexpr double baselineBias = 0.75;

} // namespace

TargetState::TargetState(const Target& target, unsigned ceiling, bool hasAdaptiveLimit)
    : limit(ceiling, hasAdaptiveLimit)
    , seed(placementHash(target.id.value()))
    , id(target.id)
    , m_hasAdaptiveLimit(hasAdaptiveLimit)
{
}

void TargetState::configure(const Target& target, unsigned ceiling, const FailureDomain& ownFailureDomain)
{
    isRemoved = false;
    isDraining = target.isDraining;
    isInOwnFailureDomain = target.failureDomain == ownFailureDomain;
    limit.setCeiling(ceiling);
}

void TargetState::updateAverageInFlight(TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - m_averageUpdatedAt).count();
    m_averageInFlight += (1 - std::exp(-elapsed / inFlightTimeConstantSeconds)) * (inFlight - m_averageInFlight);
    m_averageUpdatedAt = now;
}

void TargetState::recordStart(TimePoint now)
{
    updateAverageInFlight(now);
    ++inFlight;
}

void TargetState::recordEnd(const Completion& completion, double arrivalsPerCompletion, TimePoint now, Random& random)
{
    updateAverageInFlight(now);
    const auto inFlightBefore = inFlight;
    if (inFlight > 0)
        --inFlight;
    if (isDeadlineTooShort(completion))
        return;
    health.record(completion.kind, now, random);
    load.refresh(now);
    if (completion.kind == CompletionKind::Succeeded)
        serviceTime.record(completion.latency, queueingFactor(), now);
    if (!m_hasAdaptiveLimit)
        return;
    if (completion.kind == CompletionKind::Succeeded)
        limit.recordCompletion(inFlightBefore, slowdown(), arrivalsPerCompletion);
    else if (completion.kind == CompletionKind::Lost)
        limit.recordLoss();
}

bool TargetState::isDeadlineTooShort(const Completion& completion) const noexcept
{
    const std::chrono::duration<double> latency = completion.latency;
    return completion.hasDeadlinePassed
        && latency < std::max(minimumCountedWait, std::chrono::duration<double>(minimumCountedLatencies * serviceTime.latencySeconds()));
}

double TargetState::slowdown() const noexcept
{
    const auto unloaded = load.hasReports() ? serviceTime.serviceSeconds() : serviceTime.baselineSeconds() / baselineBias;
    return unloaded > 0 ? serviceTime.latencySeconds() / unloaded : 1;
}

void TargetState::recordReport(const LoadReport& report, TimePoint now)
{
    if (!load.isNewer(report, now))
        return;
    updateAverageInFlight(now);
    hasReportedLeaving = report.isLeaving;
    load.record(report, m_averageInFlight, now);
}

TargetView TargetState::view(TimePoint now) const
{
    TargetView result;
    result.target = id;
    result.inFlight = inFlight;
    result.limit = limit.value();
    result.serviceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(serviceTime.serviceSeconds()));
    result.reason = ineligibilityReason();
    if (result.reason.empty() && health.state(now) == CircuitState::Open)
        result.reason = "circuit open";
    result.isEligible = result.reason.empty();
    return result;
}

} // namespace cicadalb
