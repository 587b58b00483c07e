#include "Coordination.h"

#include "Pause.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <ctime>
#include <iterator>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view holderPrefix = "coordinator/";
    constexpr std::string_view holderKey = "coordinator/holder";
    constexpr milliseconds tickInterval { 100 };
    constexpr milliseconds leaseStepInterval { 150 };
    /// Interval between queries to the other candidates.
    constexpr milliseconds candidateQueryInterval { 300 };
    /// A coordinator without a valid lease stops its work when no other candidate has replied for this long. A reply takes at most 250 ms.
    constexpr milliseconds isolationTimeout { 1200 };
    /// Time for which other candidates leave a vacant lease to the holder that lost it.
    constexpr milliseconds incumbentGracePeriod { 350 };
    /// Time for which a holder tries to reacquire its lapsed lease before it stops its work.
    constexpr milliseconds leaseRegainTimeout { 2500 };
    /// Time for which a coordinator is cut off from all targets before it asks the other candidates whether they reach them ...
    constexpr milliseconds minimumCutOffTime { 1000 };
    /// ... the interval between these questions ...
    constexpr milliseconds yieldQueryInterval { 500 };
    /// ... and the time for which it then leaves the lease to them.
    constexpr milliseconds yieldPeriod { 5000 };
    /// Five renewals within the lease time, so that lost answers do not end the lease.
    constexpr double renewalShare = 0.2;
    /// Time for which samples continue without a valid lease. Nobody can take over while the store is unavailable, and the result log is safe with
    /// two writers in any case.
    constexpr milliseconds maximumLeaseLapse { 8000 };

    LeaseSettings leaseSettings(const CoordinationSettings& settings)
    {
        LeaseSettings lease;
        lease.key = holderKey;
        lease.holder = settings.host.value();
        lease.timeToLive = settings.leaseTimeToLive;
        lease.renewalShare = renewalShare;
        lease.backoff = { milliseconds(30), milliseconds(300) };
        return lease;
    }

} // namespace

TimePoint BootClock::now() const noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

Coordination::Coordination(asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, SiteDirectory& directory, TargetClients& clients, RequestPermits& permits, CrashGuard& crashGuard, const Clock& clock, CoordinationSettings settings)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_protocol(protocol)
    , m_directory(directory)
    , m_clients(clients)
    , m_permits(permits)
    , m_crashGuard(crashGuard)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_leaseClock(m_settings.leaseClock ? *m_settings.leaseClock : m_bootClock)
    , m_lease(store, m_leaseClock, leaseSettings(m_settings), m_settings.seed)
{
}

void Coordination::start()
{
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_leaseClock, RecordWatchSettings { std::string(holderPrefix) },
        RecordWatchHandler { [this](const auto& result, Duration) { applyHolderRecords(result, true); }, [this](const auto& result, Duration) { applyHolderRecords(result, false); }, {} });
    m_watch->start();
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->maintainLease(); }, asio::detached);
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->tickPeriodically(); }, asio::detached);
}

std::string Coordination::holderKeyPrefix() { return std::string(holderPrefix); }

void Coordination::restartWatches()
{
    m_watch->restart();
    if (m_sampleRunner) {
        m_sampleRunner->restartWatch();
        m_weightOrders->restartWatch();
    }
}

bool Coordination::isOwnRecord(const std::string& holder) const { return holder.starts_with(m_settings.host.value() + " "); }

std::optional<LeaseHolder> Coordination::holder() const
{
    if (m_sampleRunner)
        return LeaseHolder { m_settings.host, m_fence };
    if (m_holder.empty())
        return std::nullopt;
    return LeaseHolder { HostId(m_holder.substr(0, m_holder.find(' '))), m_holderRevision };
}

void Coordination::recordHolder(const std::string& holder, Revision revision)
{
    // The current holder and its predecessor.
    constexpr std::size_t rememberedHolders = 2;
    m_recentHolders[revision] = holder;
    while (m_recentHolders.size() > rememberedHolders)
        m_recentHolders.erase(m_recentHolders.begin());
}

bool Coordination::isPredecessorThisHost(FencingNumber number) const
{
    const auto own = m_recentHolders.lower_bound(number);
    return own != m_recentHolders.begin() && isOwnRecord(std::prev(own)->second);
}

void Coordination::applyHolderRecords(const WatchResult& records, bool isSnapshot)
{
    if (m_updateHandler)
        m_updateHandler({ holderKeyPrefix(), records, isSnapshot, {} });
    const bool wasVacant = m_isHolderKnown && m_holder.empty();
    // Another candidate may have told of a later holder than this process's own watch has seen.
    const bool isOlderSnapshot = isSnapshot && records.revision < m_holderRevision;
    if (isSnapshot && !isOlderSnapshot) {
        m_holder.clear();
        m_recentHolders.clear();
    }
    m_isHolderKnown = true;
    for (const auto& entry : records.entries) {
        if (entry.key != holderKey || entry.revision < m_holderRevision)
            continue;
        m_holder = entry.isDeleted ? std::string() : entry.value;
        m_holderRevision = entry.revision;
        if (!entry.isDeleted)
            recordHolder(entry.value, entry.revision);
    }
    if (m_holder.empty()) {
        // A snapshot does not show whether another host held the lease in between, so that the vacancy counts anew.
        if (wasVacant && !isSnapshot)
            return;
        m_vacantSince = m_leaseClock.now();
        if (m_sampleRunner)
            m_lease.skipDelay();
        return;
    }
    if (isSnapshot)
        m_vacantSince.reset();
    if (m_sampleRunner)
        shortenQuietPeriod();
}

bool Coordination::mayCampaign()
{
    if (m_sampleRunner || m_lease.fencingNumber())
        return true;
    if (isYielding())
        return false;
    // The record was left by an earlier process of this host, whose work ended with that process.
    if (isOwnRecord(m_holder)) {
        m_lease.allowReplacing(m_holderRevision);
        return true;
    }
    const bool isVacant = m_isHolderKnown && m_holder.empty();
    return isVacant && m_leaseClock.now() >= m_vacantSince.value_or(TimePoint()) + incumbentGracePeriod;
}

Task<void> Coordination::maintainLease()
{
    const auto self = shared_from_this();
    while (!m_isLeaving) {
        co_await yieldIfCutOff();
        if (m_isLeaving)
            break;
        if (mayCampaign())
            (void)co_await m_lease.step();
        updateLeaseState();
        co_await pause(m_executor, leaseStepInterval);
    }
}

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
    const bool canAsk = reachability && m_settings.mirrors && m_settings.reachesTargets;
    const auto now = m_leaseClock.now();
    if (!m_sampleRunner || !canAsk || reachability->cutOffTime() < minimumCutOffTime || now < m_nextYieldQueryAt)
        co_return;
    m_nextYieldQueryAt = now + yieldQueryInterval;
    const auto canBeReplaced = co_await isOtherCandidateReachingTargets();
    if (!canBeReplaced || !m_sampleRunner || m_isLeaving)
        co_return;
    m_yieldsUntil = m_leaseClock.now() + yieldPeriod;
    co_await releaseLease("this host is cut off from the targets, and another candidate is not");
}

/// Keeps running while maintainLease() waits for an answer from the store.
Task<void> Coordination::tickPeriodically()
{
    const auto self = shared_from_this();
    while (!m_isLeaving) {
        updateLeaseState();
        if (m_sampleRunner) {
            m_sampleRunner->tick();
            m_weightOrders->tick();
            if (m_usageReports)
                m_usageReports->tick();
            if (m_capacityOrders)
                m_capacityOrders->tick();
        }
        const bool mayBeReplaced = m_sampleRunner && m_settings.mirrors && !m_lease.mayAct(Duration::zero());
        if (mayBeReplaced && m_leaseClock.now() >= m_nextQueryAt)
            queryCandidates();
        co_await pause(m_executor, tickInterval);
    }
}

/// Queries all candidates at once, since some of them may be cut off as well.
void Coordination::queryCandidates()
{
    m_nextQueryAt = m_leaseClock.now() + candidateQueryInterval;
    if (!m_lastReplyAt)
        m_lastReplyAt = m_leaseClock.now();
    for (std::size_t mirror = 0; mirror < m_settings.mirrors->mirrorCount(); ++mirror)
        asio::co_spawn(m_executor, queryCandidate(mirror), asio::detached);
}

Task<void> Coordination::queryCandidate(std::size_t mirror)
{
    const auto self = shared_from_this();
    const auto reply = co_await m_settings.mirrors->readAll(mirror, holderKeyPrefix());
    const bool hasReplied = reply || reply.error().code == ErrorCode::Unavailable;
    if (hasReplied && m_lastReplyAt)
        m_lastReplyAt = m_leaseClock.now();
    if (!reply || m_isLeaving)
        co_return;
    for (const auto& entry : reply.value().records.entries) {
        if (entry.key != holderKey || entry.revision <= m_fence || isOwnRecord(entry.value))
            continue;
        m_holder = entry.value;
        m_holderRevision = entry.revision;
        recordHolder(entry.value, entry.revision);
    }
    updateLeaseState();
}

void Coordination::updateLeaseState()
{
    if (m_isLeaving)
        return;
    const auto now = m_leaseClock.now();
    if (m_lease.mayAct(Duration::zero())) {
        m_leaseLastValidAt = now;
        m_lastReplyAt.reset();
    }
    if (m_sampleRunner && isLeaseLost(now))
        endWork("the lease was lost");
    else if (m_sampleRunner && isIsolated(now))
        endWork("neither the store nor another candidate can be reached");
    const auto number = m_lease.fencingNumber();
    if (!m_sampleRunner && number && !isYielding() && m_lease.mayAct(Duration::zero()))
        beginWork(*number);
    if (m_sampleRunner && number && *number != m_fence) {
        m_fence = *number;
        m_weightOrders->setFence(m_fence);
        if (m_usageReports)
            m_usageReports->setFence(m_fence);
        if (m_capacityOrders)
            m_capacityOrders->setFence(m_fence);
        logEvent(Event::CoordinationBegun, { { "host", m_settings.host.value() }, { "fence", std::to_string(m_fence) }, { "again", "yes" } });
    }
}

/// Whether the work has to stop: another host holds the lease, or it could not be reacquired or renewed in time.
bool Coordination::isLeaseLost(TimePoint now)
{
    const bool isHeldByOther = !m_holder.empty() && !isOwnRecord(m_holder);
    if (m_lease.fencingNumber()) {
        m_lapseNoticedAt.reset();
        return isHeldByOther || now >= m_leaseLastValidAt + maximumLeaseLapse;
    }
    if (!m_lapseNoticedAt)
        m_lapseNoticedAt = now;
    return isHeldByOther || now >= *m_lapseNoticedAt + leaseRegainTimeout;
}

bool Coordination::isIsolated(TimePoint now) const
{
    const bool hasOthers = m_settings.mirrors && m_settings.mirrors->mirrorCount() > 0;
    return hasOthers && m_lastReplyAt && now >= *m_lastReplyAt + isolationTimeout;
}

void Coordination::beginWork(FencingNumber fence)
{
    m_fence = fence;
    m_workBeganAt = m_leaseClock.now();
    m_ordersAllowedFrom = m_leaseClock.now() + m_settings.orderQuietPeriod - orderMargin;
    shortenQuietPeriod();
    m_lapseNoticedAt.reset();
    m_lastReplyAt.reset();
    m_wasFenced = false;
    logEvent(Event::CoordinationBegun, { { "host", m_settings.host.value() }, { "fence", std::to_string(fence) } });
    m_permits.beginGranting();
    m_sampleRunner = std::make_shared<SampleRunner>(m_executor, m_store, m_protocol, m_directory, m_clients, m_permits, m_crashGuard, m_clock, m_settings.samples);
    WeightOrderHooks hooks;
    hooks.mayOrder = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->mayOrder();
    };
    hooks.onFenced = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->m_wasFenced = true;
    };
    hooks.onCall = [&permits = m_permits, &clock = m_clock](const TargetId& engine) { permits.limits().record(engine, clock.now()); };
    hooks.onChange = [samples = std::weak_ptr(m_sampleRunner)] {
        if (const auto runner = samples.lock())
            runner->schedulePlacement();
    };
    m_weightOrders = std::make_shared<WeightOrders>(m_executor, m_store, m_protocol, m_directory, m_clients, m_sampleRunner->scheduler(), m_clock,
        WeightOrderSettings { m_settings.host, fence, m_settings.loads }, std::move(hooks));
    if (m_settings.capacityPlatform) {
        const auto mayOrder = [weak = weak_from_this()] {
            const auto self = weak.lock();
            return self && self->mayOrder();
        };
        m_capacityOrders = std::make_shared<CapacityOrders>(m_executor, m_protocol, m_directory, m_sampleRunner->scheduler(), m_clock, CapacityOrderSettings { m_settings.host, fence, *m_settings.capacityPlatform }, mayOrder);
    }
    // The placement of samples depends on the registry.
    m_directory.setImmediateUpdates(true);
    m_sampleRunner->start();
    m_weightOrders->start();
    beginUsageReports();
    m_defaultReleases = std::make_shared<DefaultReleases>(m_executor, m_store, m_directory, m_clock, m_settings.isFirstStart);
    m_defaultReleases->start();
}

void Coordination::beginUsageReports()
{
    if (!m_settings.usage)
        return;
    UsageReportHooks hooks;
    hooks.mayOrder = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->mayOrder();
    };
    hooks.onFenced = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->m_wasFenced = true;
    };
    // The collection differs from that of every other process and of each earlier term of this one.
    const Incarnation collection = m_settings.seed ^ m_fence;
    m_usageReports = std::make_shared<UsageReports>(m_executor, m_store, makeUsageReportCall(m_protocol, m_clients, m_settings.duties), m_clock,
        UsageReportsSettings { m_settings.host, m_fence, collection, *m_settings.usage }, std::move(hooks));
}

void Coordination::shortenQuietPeriod()
{
    if (!m_recentHolders.contains(m_fence))
        return;
    // Another host sent its last order at least orderMargin before its lease ended. Orders of the same host need no quiet period between them.
    if (isPredecessorThisHost(m_fence))
        m_ordersAllowedFrom = m_leaseClock.now();
    else if (m_vacantSince)
        m_ordersAllowedFrom = std::min(m_ordersAllowedFrom, *m_vacantSince + m_settings.orderQuietPeriod - orderMargin);
}

void Coordination::endWork(std::string_view reason)
{
    logEvent(Event::CoordinationEnded, { { "host", m_settings.host.value() }, { "reason", std::string(reason) } });
    m_defaultReleases->stop();
    if (m_capacityOrders)
        m_capacityOrders->stop();
    m_weightOrders->stop();
    if (m_usageReports)
        m_usageReports->stop();
    m_sampleRunner->stop();
    m_defaultReleases.reset();
    m_capacityOrders.reset();
    m_weightOrders.reset();
    m_usageReports.reset();
    m_sampleRunner.reset();
    m_permits.endGranting();
    m_directory.setImmediateUpdates(false);
}

bool Coordination::mayOrder() const
{
    return !m_isLeaving && !isYielding() && !m_wasFenced && m_sampleRunner && m_leaseClock.now() >= m_ordersAllowedFrom && m_lease.mayAct(orderMargin);
}

void Coordination::onSiteChanged()
{
    if (!m_sampleRunner)
        return;
    m_sampleRunner->updateEngines();
    m_weightOrders->updateEngines();
}

Task<void> Coordination::handOver()
{
    const auto self = shared_from_this();
    m_isLeaving = true;
    m_watch->stop();
    co_await releaseLease("the host hands coordination over");
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
        co_await pause(m_executor, *lastOrder + orderMargin - now);
    if (m_sampleRunner)
        endWork(reason);
    if (m_lease.fencingNumber())
        co_await m_lease.release();
}

} // namespace cicadalb
