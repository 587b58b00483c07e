#include "Coordination.h"

#include "cicadalb/base/ClockTimer.h"
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
    /// Five renewals within the lease time, so that lost answers do not end the lease.
    constexpr double renewalShare = 0.2;
    /// Time for which samples continue without a valid lease. Nobody can take over while the store is unavailable, and the result log is safe with
    /// two writers in any case.
    constexpr milliseconds maximumLeaseLapse { 8000 };
    /// A candidate that has seen the lease vacant for this long cannot acquire it.
    constexpr milliseconds longestCandidateVacancy { 3000 };

    LeaseSettings leaseSettings(const CoordinationSettings& settings)
    {
        LeaseSettings lease;
        lease.key = holderKey;
        lease.holder = settings.host.value() + (settings.address.empty() ? "" : " " + settings.address);
        lease.timeToLive = settings.leaseTimeToLive;
        lease.renewalShare = renewalShare;
        lease.backoff = { milliseconds(30), milliseconds(300) };
        return lease;
    }

    /// @param record "HOST ATTEMPT", or "HOST ADDRESS ATTEMPT" of a process that states its address
    LeaseHolder holderFrom(const std::string& record, FencingNumber fence)
    {
        const auto hostEnd = record.find(' ');
        const auto addressEnd = record.rfind(' ');
        LeaseHolder holder { HostId(record.substr(0, hostEnd)), fence };
        if (hostEnd < addressEnd)
            holder.address = record.substr(hostEnd + 1, addressEnd - hostEnd - 1);
        return holder;
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
    if (m_settings.standbyDelay)
        m_standby.emplace(*m_settings.standbyDelay, m_leaseClock.now());
}

void Coordination::start()
{
    if (!m_standby)
        activate();
}

void Coordination::activate()
{
    if (m_isActive || m_isLeaving)
        return;
    m_isActive = true;
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_leaseClock, RecordWatchSettings { std::string(holderPrefix) },
        RecordWatchHandler { [this](const auto& result, Duration) { applyHolderRecords(result, true); }, [this](const auto& result, Duration) { applyHolderRecords(result, false); }, {} });
    m_watch->start();
    if (!std::exchange(m_isMaintainingLease, true)) {
        asio::co_spawn(
            m_executor, [self = shared_from_this()]() { return self->maintainLease(); }, asio::detached);
    }
    if (!std::exchange(m_isTicking, true)) {
        asio::co_spawn(
            m_executor, [self = shared_from_this()]() { return self->tickPeriodically(); }, asio::detached);
    }
}

void Coordination::deactivate()
{
    if (!m_isActive)
        return;
    m_isActive = false;
    m_watch->stop();
    m_watch.reset();
    m_isHolderKnown = false;
    m_holder.clear();
    m_recentHolders.clear();
    m_vacantSince.reset();
    m_offeredRevision = 0;
}

void Coordination::observeCandidates()
{
    if (!m_standby)
        return;
    const auto now = m_leaseClock.now();
    m_standby->observe(m_settings.mirrors && m_settings.mirrors->isCandidateReachable(), now);
    if (m_standby->shouldWatch(now))
        activate();
    else if (!m_sampleRunner && !m_lease.fencingNumber())
        deactivate();
}

bool Coordination::isCandidate() const
{
    if (m_standby || m_isLeaving || m_isRetiring || isOffering() || isCutOff())
        return false;
    return vacantFor().value_or(Duration::zero()) < longestCandidateVacancy;
}

CoordinationState Coordination::state() const
{
    const auto current = holder();
    return { isCandidate(), current ? current->address : std::string() };
}

std::optional<Duration> Coordination::vacantFor() const
{
    const bool isVacant = !m_sampleRunner && m_isHolderKnown && m_holder.empty() && m_vacantSince;
    return isVacant ? std::optional(m_leaseClock.now() - *m_vacantSince) : std::nullopt;
}

Task<void> Coordination::wait(Duration duration) const
{
    ClockTimer timer(m_executor, m_clock);
    (void)co_await timer.waitFor(duration);
}

std::string Coordination::holderKeyPrefix() { return std::string(holderPrefix); }

void Coordination::restartWatches()
{
    if (m_watch)
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
        return LeaseHolder { m_settings.host, m_fence, m_settings.address };
    if (m_holder.empty())
        return std::nullopt;
    return holderFrom(m_holder, m_holderRevision);
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
        m_offeredRevision = 0;
    }
    m_isHolderKnown = true;
    for (const auto& entry : records.entries) {
        applyOffer(entry);
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
        logEvent(Event::LeaseVacant, { { "host", m_settings.host.value() }, { "revision", std::to_string(m_holderRevision) } });
        m_lease.skipDelay();
        return;
    }
    if (isSnapshot)
        m_vacantSince.reset();
    // The holder sent its last order at least orderMargin before its offer, as before a release.
    if (isLeaseOffered())
        m_vacantSince = m_leaseClock.now();
    if (m_sampleRunner)
        shortenQuietPeriod();
    else if (m_lease.fencingNumber())
        updateLeaseState();
}

bool Coordination::mayCampaign()
{
    // The lease is renewed until the work has ended.
    if ((m_isRetiring || isOffering()) && !m_sampleRunner)
        return false;
    if (m_sampleRunner || m_lease.fencingNumber())
        return true;
    if (isYielding())
        return false;
    const auto replaceable = replaceableRevision();
    if (replaceable)
        m_lease.allowReplacing(*replaceable);
    return replaceable.has_value();
}

std::optional<Revision> Coordination::replaceableRevision() const
{
    if (isLeaseOffered())
        return mayAcceptOffer() ? std::optional(m_holderRevision) : std::nullopt;
    if (m_standby)
        return mayCampaignAsStandby() ? std::optional<Revision>(0) : std::nullopt;
    // The record was left by an earlier process of this host, whose work ended with that process.
    if (isOwnRecord(m_holder))
        return m_holderRevision;
    const bool isVacant = m_isHolderKnown && m_holder.empty();
    const bool mayRequest = isVacant && m_leaseClock.now() >= m_vacantSince.value_or(TimePoint()) + incumbentGracePeriod;
    return mayRequest ? std::optional<Revision>(0) : std::nullopt;
}

bool Coordination::mayCampaignAsStandby() const
{
    const auto now = m_leaseClock.now();
    const auto vacancy = vacantFor();
    return !isCutOff() && m_standby->mayRequest(vacancy ? std::optional(now - *vacancy) : std::nullopt, now);
}

Task<void> Coordination::maintainLease()
{
    const auto self = shared_from_this();
    while (isActive()) {
        co_await yieldIfCutOff();
        giveBackIfCandidateReturned();
        if (!isActive())
            break;
        co_await makeLeaseCalls();
        updateLeaseState();
        co_await wait(leaseStepInterval);
    }
    m_isMaintainingLease = false;
}

/// The calls of one request follow each other without a pause.
Task<void> Coordination::makeLeaseCalls()
{
    auto nextCallAt = m_leaseClock.now();
    while (isActive() && mayCampaign() && nextCallAt <= m_leaseClock.now()) {
        nextCallAt = co_await m_lease.step();
        if (m_lease.fencingNumber())
            break;
    }
}

/// Keeps running while maintainLease() waits for an answer from the store.
Task<void> Coordination::tickPeriodically()
{
    const auto self = shared_from_this();
    while (isActive()) {
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
        co_await wait(tickInterval);
    }
    m_isTicking = false;
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
    if (!number)
        m_acquiredAt.reset();
    else if (!m_acquiredAt)
        m_acquiredAt = now;
    const bool mayWork = number && !isOffering() && !isYielding() && !m_isRetiring && !isHeldByOther(*number) && !isPredecessorWorking(now);
    if (!m_sampleRunner && mayWork && m_lease.mayAct(Duration::zero()))
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
    // An offer that was accepted ends the work by itself.
    const bool isReplaced = isHeldByOther(m_fence) && !isOffering();
    if (m_lease.fencingNumber()) {
        m_lapseNoticedAt.reset();
        return isReplaced || now >= m_leaseLastValidAt + maximumLeaseLapse;
    }
    if (!m_lapseNoticedAt)
        m_lapseNoticedAt = now;
    return isReplaced || now >= *m_lapseNoticedAt + leaseRegainTimeout;
}

bool Coordination::isHeldByOther(Revision own) const
{
    return !m_holder.empty() && !isOwnRecord(m_holder) && m_holderRevision > own;
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
    logEvent(Event::CoordinationBegun, { { "host", m_settings.host.value() }, { "fence", std::to_string(fence) }, { "standby", m_standby ? "yes" : "no" } });
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
    return !m_isLeaving && !isOffering() && !isYielding() && !m_isRetiring && !m_wasFenced && m_sampleRunner && m_leaseClock.now() >= m_ordersAllowedFrom && m_lease.mayAct(orderMargin);
}

void Coordination::onSiteChanged()
{
    if (!m_sampleRunner)
        return;
    m_sampleRunner->updateEngines();
    m_weightOrders->updateEngines();
}

} // namespace cicadalb
