#include "TargetState.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    /// Time constant of the average of own requests in flight, about the age of a report.
    constexpr double averagingSeconds = 0.3;
    /// A request that waited for less than this, and less than so many usual latencies, gave the target no fair chance.
    constexpr std::chrono::duration<double> shortestFairDeadline { 1 };
    constexpr double fairLatencies = 4;
    /// The lowest average of latencies over a while lies below their mean by about this factor.
    constexpr double baselineBias = 0.75;

} // namespace

TargetState::TargetState(const Target& target, unsigned ceiling, bool hasAdaptiveLimit)
    : limit(ceiling, hasAdaptiveLimit)
    , seed(placementHash(target.id.value()))
    , id(target.id)
    , m_hasAdaptiveLimit(hasAdaptiveLimit)
{
}

void TargetState::configure(const Target& target, unsigned ceiling, const FailureDomain& own)
{
    isRemoved = false;
    isDraining = target.draining;
    isNear = target.failureDomain == own;
    limit.setCeiling(ceiling);
}

void TargetState::averageInFlight(TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - m_averagedAt).count();
    m_averageInFlight += (1 - std::exp(-elapsed / averagingSeconds)) * (inFlight - m_averageInFlight);
    m_averagedAt = now;
}

void TargetState::begin(TimePoint now)
{
    averageInFlight(now);
    ++inFlight;
}

void TargetState::end(const Completion& completion, double pressure, TimePoint now, Random& random)
{
    averageInFlight(now);
    const auto inFlightBefore = inFlight;
    if (inFlight > 0)
        --inFlight;
    if (isHastyDeadline(completion))
        return;
    health.record(completion.kind, now, random);
    load.refresh(now);
    if (completion.kind == CompletionKind::Succeeded)
        speed.record(completion.latency, crowding(), now);
    if (!m_hasAdaptiveLimit)
        return;
    if (completion.kind == CompletionKind::Succeeded)
        limit.recordCompletion(inFlightBefore, slowdown(), pressure);
    else if (completion.kind == CompletionKind::Lost)
        limit.recordLoss();
}

bool TargetState::isHastyDeadline(const Completion& completion) const noexcept
{
    const std::chrono::duration<double> latency = completion.latency;
    return completion.hasDeadlinePassed && latency < std::max(shortestFairDeadline, std::chrono::duration<double>(fairLatencies * speed.latencySeconds()));
}

double TargetState::slowdown() const noexcept
{
    const auto unloaded = load.hasReports() ? speed.serviceSeconds() : speed.baselineSeconds() / baselineBias;
    return unloaded > 0 ? speed.latencySeconds() / unloaded : 1;
}

void TargetState::recordReport(const LoadReport& report, TimePoint now)
{
    if (!load.isNewer(report, now))
        return;
    averageInFlight(now);
    saysItIsLeaving = report.isLeaving;
    load.record(report, m_averageInFlight, now);
}

TargetView TargetState::view(TimePoint now) const
{
    TargetView made;
    made.target = id;
    made.inFlight = inFlight;
    made.limit = limit.value();
    made.serviceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(speed.serviceSeconds()));
    made.reason = ineligibility();
    if (made.reason.empty() && health.state(now) == CircuitState::Open)
        made.reason = "circuit open";
    made.isEligible = made.reason.empty();
    return made;
}

} // namespace cicadalb
