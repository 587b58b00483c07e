#include "Coordination.h"

#include <algorithm>

/// @file
/// How a coordinator gives the lease up to another process.

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// Time for which a coordinator is cut off from all targets before it asks the other candidates whether they reach them ...
    constexpr milliseconds minimumCutOffTime { 1000 };
    /// ... the interval between these questions ...
    constexpr milliseconds yieldQueryInterval { 500 };
    /// ... and the time for which it then leaves the lease to them.
    constexpr milliseconds yieldPeriod { 5000 };
    /// Interval at which a host that retires checks whether it has seen another process take over ...
    constexpr milliseconds successorCheckInterval { 50 };
    /// ... and at which it reads the holder's record.
    constexpr milliseconds holderReadInterval { 500 };

} // namespace

Task<bool> Coordination::isOtherCandidateReachingTargets()
{
    bool isReached = false;
    for (std::size_t candidate = 0; candidate < m_settings.mirrors->mirrorCount() && !isReached; ++candidate)
        isReached = co_await m_settings.reachesTargets(candidate);
    co_return isReached;
}

Task<void> Coordination::yieldIfCutOff()
{
    const auto* reachability = m_settings.samples.reachability;
    const bool canAsk = reachability && (m_standby || (m_settings.mirrors && m_settings.reachesTargets));
    const auto now = m_leaseClock.now();
    if (!m_sampleRunner || !canAsk || reachability->cutOffTime() < minimumCutOffTime || now < m_nextYieldQueryAt)
        co_return;
    m_nextYieldQueryAt = now + yieldQueryInterval;
    // Other standbys cannot be asked; those that are cut off do not request the lease.
    const auto canBeReplaced = m_standby || co_await isOtherCandidateReachingTargets();
    if (!canBeReplaced || !m_sampleRunner || m_isLeaving)
        co_return;
    m_yieldsUntil = m_leaseClock.now() + yieldPeriod;
    co_await releaseLease("this host is cut off from the targets, and another candidate is not");
}

Task<void> Coordination::giveBackIfCandidateReturned()
{
    if (!m_standby || !m_sampleRunner || !m_standby->shouldGiveBack(m_leaseClock.now()))
        co_return;
    m_yieldsUntil = m_leaseClock.now() + yieldPeriod;
    co_await releaseLease("a candidate for coordination is back");
}

Task<void> Coordination::handOver()
{
    const auto self = shared_from_this();
    m_isLeaving = true;
    if (m_watch)
        m_watch->stop();
    co_await releaseLease("the host hands coordination over");
}

bool Coordination::hasSuccessor(Revision baseline) const
{
    return m_isHolderKnown && !m_holder.empty() && !isOwnRecord(m_holder) && m_holderRevision > baseline;
}

Task<bool> Coordination::readsOtherHolder(Revision baseline)
{
    const auto entry = co_await m_store.read(m_lease.state().key);
    co_return entry&& entry.value() && !isOwnRecord(entry.value()->value) && entry.value()->revision >= baseline;
}

Task<bool> Coordination::awaitSuccessor(Revision baseline, TimePoint until)
{
    // A record that is still there a whole lease later was renewed meanwhile, so that its holder is alive.
    auto nextReadAt = m_leaseClock.now() + m_settings.leaseTimeToLive;
    while (!m_isLeaving && m_leaseClock.now() < until) {
        // A request for the lease may have been answered meanwhile.
        if (m_lease.fencingNumber())
            co_await m_lease.release();
        if (hasSuccessor(baseline))
            co_return true;
        if (m_leaseClock.now() >= nextReadAt) {
            if (co_await readsOtherHolder(baseline))
                co_return true;
            nextReadAt = m_leaseClock.now() + holderReadInterval;
        }
        co_await wait(successorCheckInterval);
    }
    co_return false;
}

Task<bool> Coordination::retire(Duration maximumWait)
{
    const auto self = shared_from_this();
    const auto until = m_leaseClock.now() + maximumWait;
    const auto baseline = std::max(m_holderRevision, m_lease.fencingNumber().value_or(0));
    m_isRetiring = true;
    co_await releaseLease("the host is to be removed");
    m_isRetiring = co_await awaitSuccessor(baseline, until);
    co_return m_isRetiring;
}

std::optional<TimePoint> Coordination::lastOrderAt() const
{
    const auto ofWeights = m_weightOrders ? m_weightOrders->lastOrderAt() : std::nullopt;
    const auto ofUsage = m_usageReports ? m_usageReports->lastCallAt() : std::nullopt;
    const auto ofCapacity = m_capacityOrders ? m_capacityOrders->lastOrderAt() : std::nullopt;
    return std::max({ ofWeights, ofUsage, ofCapacity });
}

Task<void> Coordination::releaseLease(std::string_view reason)
{
    const auto now = m_clock.now();
    const auto lastOrder = lastOrderAt();
    if (lastOrder && now < *lastOrder + orderMargin)
        co_await wait(*lastOrder + orderMargin - now);
    if (m_sampleRunner)
        endWork(reason);
    if (m_lease.fencingNumber())
        co_await m_lease.release();
}

} // namespace cicadalb
