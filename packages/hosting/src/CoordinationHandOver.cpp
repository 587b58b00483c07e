#include "Coordination.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>

/// @file
/// How a coordinator gives the lease up to another process.

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Names the revision of the holder's record that another process may replace. Removed together with the holder's lease.
    constexpr std::string_view offerKey = "coordinator/offer";
    /// Interval at which a holder checks whether its offer was accepted.
    constexpr milliseconds offerCheckInterval { 10 };
    /// Longest time for which a holder whose offer was accepted stores what it has received ...
    constexpr milliseconds finishTimeout { 300 };
    /// ... and for which the new holder waits until it has ended. A store that answers slowly delays both the store's calls and the removal of the offer.
    constexpr milliseconds predecessorTimeout { 700 };

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
    if (!m_sampleRunner || isOffering() || !canAsk || reachability->cutOffTime() < minimumCutOffTime || now < m_nextYieldQueryAt)
        co_return;
    m_nextYieldQueryAt = now + yieldQueryInterval;
    // Other standbys cannot be asked; those that are cut off do not request the lease.
    const auto canBeReplaced = m_standby || co_await isOtherCandidateReachingTargets();
    if (!canBeReplaced || !m_sampleRunner || m_isLeaving || isOffering())
        co_return;
    asio::co_spawn(m_executor, yieldLease("this host is cut off from the targets, and another candidate is not"), asio::detached);
}

void Coordination::giveBackIfCandidateReturned()
{
    if (m_standby && m_sampleRunner && !isOffering() && m_standby->shouldGiveBack(m_leaseClock.now()))
        asio::co_spawn(m_executor, yieldLease("a candidate for coordination is back"), asio::detached);
}

Task<void> Coordination::yieldLease(std::string_view reason)
{
    const auto self = shared_from_this();
    const bool isAccepted = co_await offerLease(reason, m_leaseClock.now() + offerTime);
    if (isAccepted || m_isLeaving || m_isRetiring)
        co_return;
    m_yieldsUntil = m_leaseClock.now() + yieldPeriod;
    co_await releaseLease(reason);
}

void Coordination::applyOffer(const KeyValueEntry& entry)
{
    if (entry.key != offerKey)
        return;
    m_offeredRevision = 0;
    if (!entry.isDeleted)
        (void)std::from_chars(entry.value.data(), entry.value.data() + entry.value.size(), m_offeredRevision);
}

bool Coordination::isLeaseOffered() const
{
    return m_offeredRevision != 0 && m_offeredRevision == m_holderRevision && !m_holder.empty() && !isOwnRecord(m_holder);
}

bool Coordination::mayAcceptOffer() const
{
    if (isCutOff() || !m_directory.isReady())
        return false;
    return !m_standby || m_standby->mayRequest(m_vacantSince, m_leaseClock.now());
}

bool Coordination::isPredecessorWorking(TimePoint now) const
{
    return m_offeredRevision != 0 && m_acquiredAt && now < *m_acquiredAt + predecessorTimeout;
}

Task<bool> Coordination::writeOffer()
{
    if (!m_sampleRunner || !m_lease.fencingNumber())
        co_return false;
    Transaction offer;
    offer.conditions.push_back({ m_lease.state().key, m_fence });
    offer.writes.push_back({ std::string(offerKey), std::to_string(m_fence), m_lease.leaseId() });
    const auto written = co_await m_store.commit(std::move(offer));
    co_return written || written.error().code == ErrorCode::OutcomeUnknown;
}

Task<bool> Coordination::offerLease(std::string_view reason, TimePoint until)
{
    const auto self = shared_from_this();
    if (!m_sampleRunner)
        co_return false;
    const auto own = m_fence;
    ++m_offersInProgress;
    co_await awaitOrderMargin();
    const bool isOffered = co_await writeOffer();
    if (isOffered)
        logEvent(Event::CoordinationOffered, { { "host", m_settings.host.value() }, { "fence", std::to_string(own) }, { "reason", std::string(reason) } });
    while (isOffered && m_sampleRunner && !isHeldByOther(own) && m_leaseClock.now() < until)
        co_await wait(offerCheckInterval);
    const bool isAccepted = isHeldByOther(own);
    if (isAccepted)
        co_await endAcceptedWork(reason);
    --m_offersInProgress;
    co_return isAccepted;
}

/// The release of the lease removes the offer, which tells the new holder that this process has ended its work.
Task<void> Coordination::endAcceptedWork(std::string_view reason)
{
    if (const auto runner = m_sampleRunner)
        co_await runner->finish(finishTimeout);
    if (m_sampleRunner)
        endWork(reason);
    if (m_lease.fencingNumber())
        co_await m_lease.release();
}

Task<void> Coordination::handOver()
{
    const auto self = shared_from_this();
    constexpr std::string_view reason = "the host hands coordination over";
    (void)co_await offerLease(reason, m_leaseClock.now() + offerTime);
    m_isLeaving = true;
    if (m_watch)
        m_watch->stop();
    co_await releaseLease(reason);
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
        if (m_isHolderKnown && isHeldByOther(baseline))
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
    constexpr std::string_view reason = "the host is to be removed";
    const auto baseline = std::max(m_holderRevision, m_lease.fencingNumber().value_or(0));
    m_isRetiring = true;
    (void)co_await offerLease(reason, m_leaseClock.now() + offerTime);
    co_await releaseLease(reason);
    m_isRetiring = co_await awaitSuccessor(baseline, m_leaseClock.now() + maximumWait);
    co_return m_isRetiring;
}

std::optional<TimePoint> Coordination::lastOrderAt() const
{
    const auto ofWeights = m_weightOrders ? m_weightOrders->lastOrderAt() : std::nullopt;
    const auto ofUsage = m_usageReports ? m_usageReports->lastCallAt() : std::nullopt;
    const auto ofCapacity = m_capacityOrders ? m_capacityOrders->lastOrderAt() : std::nullopt;
    return std::max({ ofWeights, ofUsage, ofCapacity });
}

Task<void> Coordination::awaitOrderMargin()
{
    const auto now = m_clock.now();
    const auto lastOrder = lastOrderAt();
    if (lastOrder && now < *lastOrder + orderMargin)
        co_await wait(*lastOrder + orderMargin - now);
}

Task<void> Coordination::releaseLease(std::string_view reason)
{
    co_await awaitOrderMargin();
    if (m_sampleRunner)
        endWork(reason);
    if (m_lease.fencingNumber())
        co_await m_lease.release();
}

} // namespace cicadalb
