#pragma once

#include "ConcurrencyLimit.h"
#include "LoadEstimate.h"
#include "ServiceTimeEstimate.h"
#include "TargetHealth.h"

#include <algorithm>
#include <cmath>
#include <string_view>

/// @file
/// State of one target, as known to one host.

namespace cicadalb {

/// @brief Expected delay of a request on a target.
struct ExpectedDelay {
    double serviceSeconds = 0;
    /// Ratio of the delay to the service time; 1 without queueing.
    double queueingFactor = 1;

    double total() const noexcept { return serviceSeconds * queueingFactor; }
    /// @brief Marginal delay: the delay that one more request adds to all requests together. It weighs queueing more than total() does, so
    /// that slower targets get requests before the fastest ones are saturated.
    double cost() const noexcept { return serviceSeconds * queueingFactor * queueingFactor; }
};

class TargetState {
public:
    /// @param ceiling largest concurrency limit; a limit that is not adaptive stays there
    TargetState(const Target&, unsigned ceiling, bool hasAdaptiveLimit);
    /// @brief Applies a configuration of the target. Requests in flight and estimates are kept.
    void configure(const Target&, unsigned ceiling, const FailureDomain& ownFailureDomain);

    /// @brief Why the target may not receive new requests; empty if it may.
    std::string_view ineligibilityReason() const noexcept;
    bool isEligible() const noexcept { return ineligibilityReason().empty(); }

    /// @brief Records that a request was sent to the target.
    void recordStart(TimePoint now);
    /// @brief Records the end of a request.
    /// @param arrivalsPerCompletion arrivals at this host divided by completions
    void recordEnd(const Completion&, double arrivalsPerCompletion, TimePoint now, Random&);
    void recordReport(const LoadReport&, TimePoint now);
    /// @brief Number of this host's requests that may be in flight now.
    unsigned allowedInFlight(TimePoint now) const noexcept;
    bool hasFreeSlot(TimePoint now) const noexcept { return inFlight < allowedInFlight(now); }
    /// @brief Expected ratio of the delay to the service time for one more request, at least 1.
    double queueingFactor() const noexcept;
    /// @brief Expected service time without queueing, in seconds: a lower bound of the delay and its cost.
    double expectedServiceSeconds(double bestServiceSeconds, TimePoint now) const noexcept;
    /// @param bestServiceSeconds service time of the fastest target, used if that of this target is unknown
    ExpectedDelay expectedDelay(double bestServiceSeconds, TimePoint now) const noexcept;

    TargetView view(TimePoint now) const;

    // Members that are read for every pick come first.
    unsigned inFlight = 0;
    bool isRemoved = false;
    bool isDraining = false;
    bool isListedAsLeaving = false;
    bool hasReportedLeaving = false;
    /// True if the target is in this host's failure domain.
    bool isInOwnFailureDomain = true;
    ConcurrencyLimit limit;
    LoadEstimate load;
    TargetHealth health;
    ServiceTimeEstimate serviceTime;
    /// Seed of the target's rendezvous hash.
    std::uint64_t seed;
    TargetId id;

private:
    /// Factor on the service time of a target in another failure domain, in addition to the network latency that the measurements include.
    static constexpr double otherDomainFactor = 1.02;

    void updateAverageInFlight(TimePoint now);
    /// True if the request was lost to a deadline that is too short to count as a failure of the target.
    bool isDeadlineTooShort(const Completion&) const noexcept;
    /// Ratio of the latency to the service time without queueing.
    double slowdown() const noexcept;

    bool m_hasAdaptiveLimit;
    double m_averageInFlight = 0;
    TimePoint m_averageUpdatedAt {};
};

inline std::string_view TargetState::ineligibilityReason() const noexcept
{
    if (isRemoved)
        return "removed";
    if (isDraining)
        return "draining";
    if (isListedAsLeaving)
        return "leaving by host list";
    if (hasReportedLeaving)
        return "leaving by its own word";
    return {};
}

inline unsigned TargetState::allowedInFlight(TimePoint now) const noexcept
{
    const auto state = health.state(now);
    if (state == CircuitState::Closed)
        return static_cast<unsigned>(limit.value());
    if (state == CircuitState::Open)
        return 0;
    return std::max(1U, static_cast<unsigned>(limit.value() * health.allowedLimitFraction(now)));
}

/// Expected load above the number of slots counts as queued. The load of other hosts is uncertain by about its square root, so that some
/// queueing is expected before all slots are taken. Without reports, this host's own load stands in for theirs in that uncertainty.
inline double TargetState::queueingFactor() const noexcept
{
    const auto otherRequests = load.otherRequests();
    const auto otherRequestsVariance = load.hasReports() ? otherRequests : inFlight + 1;
    const auto slots = std::max(load.hasReports() ? load.parallelism() : limit.value(), 1.0);
    const auto excess = inFlight + otherRequests + 1 - slots;
    const auto queued = (excess + std::sqrt(excess * excess + 4 * otherRequestsVariance)) / 2;
    return 1 + queued / slots;
}

inline double TargetState::expectedServiceSeconds(double bestServiceSeconds, TimePoint now) const noexcept
{
    const auto service = serviceTime.isKnown() ? serviceTime.decayedServiceSeconds(now) : bestServiceSeconds;
    return isInOwnFailureDomain ? service : service * otherDomainFactor;
}

inline ExpectedDelay TargetState::expectedDelay(double bestServiceSeconds, TimePoint now) const noexcept
{
    return { expectedServiceSeconds(bestServiceSeconds, now), queueingFactor() };
}

} // namespace cicadalb
