#include "TargetState.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    /// Time constant of the average of own requests in flight, about the age of a report.
    constexpr double averagingSeconds = 0.3;
    /// Factor on the service time of a target in another failure domain, on top of the latency that is measured anyway.
    constexpr double farFactor = 1.02;
    /// The lowest average of latencies over a while lies below their mean by about this factor.
    constexpr double baselineBias = 0.75;

} // namespace

TargetState::TargetState(Target configured, unsigned ceiling, bool hasAdaptiveLimit)
    : target(std::move(configured))
    , seed(placementHash(target.id.value()))
    , limit(ceiling, hasAdaptiveLimit)
    , m_hasAdaptiveLimit(hasAdaptiveLimit)
{
}

std::string_view TargetState::ineligibility() const noexcept
{
    if (isRemoved)
        return "removed";
    if (target.draining)
        return "draining";
    if (isListedAsLeaving)
        return "leaving by host list";
    if (saysItIsLeaving)
        return "leaving by its own word";
    return {};
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
    health.record(completion.kind, now, random);
    if (completion.kind == CompletionKind::Succeeded)
        speed.record(completion.latency, crowding(now), now);
    if (!m_hasAdaptiveLimit)
        return;
    if (completion.kind == CompletionKind::Succeeded)
        limit.recordCompletion(inFlightBefore, slowdown(), pressure);
    else if (completion.kind == CompletionKind::Lost)
        limit.recordLoss();
}

double TargetState::slowdown() const noexcept
{
    const auto unloaded = load.hasReports() ? speed.serviceSeconds() : speed.baselineSeconds() / baselineBias;
    return unloaded > 0 ? speed.latencySeconds() / unloaded : 1;
}

void TargetState::recordReport(const LoadReport& report, TimePoint now)
{
    averageInFlight(now);
    saysItIsLeaving = report.isLeaving;
    load.record(report, m_averageInFlight, now);
}

unsigned TargetState::allowedInFlight(TimePoint now) const noexcept
{
    const auto state = health.state(now);
    if (state == CircuitState::Closed)
        return static_cast<unsigned>(limit.value());
    if (state == CircuitState::Open)
        return 0;
    return std::max(1U, static_cast<unsigned>(limit.value() * health.allowedShare(now)));
}

/// Expected load above the places counts as queued. The load of others is known only about, by its square root, so that some queueing is
/// expected before all places are taken.
double TargetState::crowding(TimePoint now) const noexcept
{
    const auto others = load.others(now);
    const auto places = std::max(load.hasReports() ? load.parallelism() : limit.value(), 1.0);
    const auto excess = inFlight + others + 1 - places;
    const auto queued = (excess + std::sqrt(excess * excess + 4 * others)) / 2;
    return 1 + queued / places;
}

ExpectedDelay TargetState::expectedDelay(double bestServiceSeconds, TimePoint now) const noexcept
{
    const auto service = speed.isKnown() ? speed.agedServiceSeconds(bestServiceSeconds, now) : bestServiceSeconds;
    return { isNear ? service : service * farFactor, crowding(now) };
}

TargetView TargetState::view(TimePoint now) const
{
    TargetView made;
    made.target = target.id;
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
