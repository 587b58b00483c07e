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
    constexpr milliseconds leaseInterval { 150 };
    /// Pause between two questions to other candidates.
    constexpr milliseconds askInterval { 300 };
    /// A coordinator without a valid lease that hears of no other candidate for so long drops its work; an answer takes 250 ms at most.
    constexpr milliseconds aloneTime { 1200 };
    /// How long candidates leave a vacant lease to the holder who lost it.
    constexpr milliseconds incumbentTime { 350 };
    /// A holder whose lease lapsed tries so long to win it again before it drops its work.
    constexpr milliseconds regainTime { 2500 };
    /// Five renewals in a lease, so that lost answers do not end it.
    constexpr double renewalShare = 0.2;
    /// Samples go on so long without a valid lease: nobody can take over while the store is away, and results are safe in any case.
    constexpr milliseconds longestLapse { 8000 };

    LeaseSettings leaseSettings(const CoordinationSettings& settings)
    {
        LeaseSettings lease;
        lease.key = holderKey;
        lease.holder = settings.host.value();
        lease.timeToLive = settings.leaseTime;
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

Coordination::Coordination(asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, SiteDirectory& directory, TargetClients& clients, const Clock& clock, CoordinationSettings settings)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_protocol(protocol)
    , m_directory(directory)
    , m_clients(clients)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_leaseClock(m_settings.leaseClock ? *m_settings.leaseClock : m_bootClock)
    , m_lease(store, m_leaseClock, leaseSettings(m_settings), m_settings.seed)
{
}

void Coordination::start()
{
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_clock, RecordWatchSettings { std::string(holderPrefix) },
        RecordWatchHandler { [this](const auto& result, bool) { takeHolder(result, true); }, [this](const auto& result, bool) { takeHolder(result, false); } });
    m_watch->start();
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->keepLease(); }, asio::detached);
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->keepTime(); }, asio::detached);
}

std::string Coordination::holderRecords() { return std::string(holderPrefix); }

void Coordination::restartWatches()
{
    m_watch->restart();
    if (m_samples) {
        m_samples->restartWatch();
        m_weights->restartWatch();
    }
}

bool Coordination::isOwnRecord(const std::string& holder) const { return holder.starts_with(m_settings.host.value() + " "); }

void Coordination::recordHolder(const std::string& holder, Revision revision)
{
    // The present holder and the one before it.
    constexpr std::size_t remembered = 2;
    m_namedHolders[revision] = holder;
    while (m_namedHolders.size() > remembered)
        m_namedHolders.erase(m_namedHolders.begin());
}

bool Coordination::isOwnPredecessor(FencingNumber number) const
{
    const auto own = m_namedHolders.lower_bound(number);
    return own != m_namedHolders.begin() && isOwnRecord(std::prev(own)->second);
}

void Coordination::takeHolder(const WatchResult& records, bool isSnapshot)
{
    if (m_onNews)
        m_onNews({ holderRecords(), records, isSnapshot, false });
    const bool wasVacant = m_knowsHolder && m_holder.empty();
    if (isSnapshot) {
        m_holder.clear();
        m_namedHolders.clear();
    }
    m_knowsHolder = true;
    for (const auto& entry : records.entries) {
        if (entry.key != holderKey)
            continue;
        m_holder = entry.isDeleted ? std::string() : entry.value;
        m_holderRevision = entry.revision;
        if (!entry.isDeleted)
            recordHolder(entry.value, entry.revision);
    }
    if (m_holder.empty()) {
        // Another holder may have come and gone before a snapshot.
        if (wasVacant && !isSnapshot)
            return;
        m_vacantSince = m_leaseClock.now();
        if (m_samples)
            m_lease.hasten();
        return;
    }
    if (isSnapshot)
        m_vacantSince.reset();
    if (m_samples)
        shortenPause();
}

bool Coordination::mayCampaign()
{
    if (m_samples || m_lease.fencingNumber())
        return true;
    // Left behind by an earlier process of this host: its work ended with it.
    if (isOwnRecord(m_holder)) {
        m_lease.replace(m_holderRevision);
        return true;
    }
    const bool isVacant = m_knowsHolder && m_holder.empty();
    return isVacant && m_leaseClock.now() >= m_vacantSince.value_or(TimePoint()) + incumbentTime;
}

Task<void> Coordination::keepLease()
{
    const auto self = shared_from_this();
    while (!m_isLeaving) {
        if (mayCampaign())
            (void)co_await m_lease.step();
        followLease();
        co_await pause(m_executor, leaseInterval);
    }
}

/// Goes on while a call for the lease waits for its answer.
Task<void> Coordination::keepTime()
{
    const auto self = shared_from_this();
    while (!m_isLeaving) {
        followLease();
        if (m_samples) {
            m_samples->tick();
            m_weights->tick();
        }
        const bool mayBeReplaced = m_samples && m_settings.mirrors && !m_lease.mayAct(Duration::zero());
        if (mayBeReplaced && m_leaseClock.now() >= m_askAt)
            askOthers();
        co_await pause(m_executor, tickInterval);
    }
}

/// All of them at once: some may be as cut off as this host.
void Coordination::askOthers()
{
    m_askAt = m_leaseClock.now() + askInterval;
    if (!m_heardAt)
        m_heardAt = m_leaseClock.now();
    for (std::size_t mirror = 0; mirror < m_settings.mirrors->mirrors(); ++mirror)
        asio::co_spawn(m_executor, askOther(mirror), asio::detached);
}

Task<void> Coordination::askOther(std::size_t mirror)
{
    const auto self = shared_from_this();
    const auto reply = co_await m_settings.mirrors->ask(mirror, holderRecords());
    const bool isReached = reply || reply.error().code == ErrorCode::Unavailable;
    if (isReached && m_heardAt)
        m_heardAt = m_leaseClock.now();
    if (!reply || m_isLeaving)
        co_return;
    for (const auto& entry : reply.value().records.entries) {
        if (entry.key != holderKey || entry.revision <= m_fence || isOwnRecord(entry.value))
            continue;
        m_holder = entry.value;
        m_holderRevision = entry.revision;
        recordHolder(entry.value, entry.revision);
    }
    followLease();
}

void Coordination::followLease()
{
    if (m_isLeaving)
        return;
    const auto now = m_leaseClock.now();
    if (m_lease.mayAct(Duration::zero())) {
        m_lastValidAt = now;
        m_heardAt.reset();
    }
    if (m_samples && isLost(now))
        end("the lease was lost");
    else if (m_samples && isAlone(now))
        end("neither the store nor another candidate can be reached");
    const auto number = m_lease.fencingNumber();
    if (!m_samples && number && m_lease.mayAct(Duration::zero()))
        begin(*number);
    if (m_samples && number && *number != m_fence) {
        m_fence = *number;
        m_weights->setFence(m_fence);
        logEvent(Event::CoordinationBegun, { { "host", m_settings.host.value() }, { "fence", std::to_string(m_fence) }, { "again", "yes" } });
    }
}

/// Whether the holder has to drop its work: another one holds the lease, or it could not be won again or renewed for long.
bool Coordination::isLost(TimePoint now)
{
    const bool isHeldByOther = !m_holder.empty() && !isOwnRecord(m_holder);
    if (m_lease.fencingNumber()) {
        m_lostAt.reset();
        return isHeldByOther || now >= m_lastValidAt + longestLapse;
    }
    if (!m_lostAt)
        m_lostAt = now;
    return isHeldByOther || now >= *m_lostAt + regainTime;
}

bool Coordination::isAlone(TimePoint now) const
{
    const bool hasOthers = m_settings.mirrors && m_settings.mirrors->mirrors() > 0;
    return hasOthers && m_heardAt && now >= *m_heardAt + aloneTime;
}

void Coordination::begin(FencingNumber fence)
{
    m_fence = fence;
    m_ordersFrom = m_leaseClock.now() + m_settings.orderQuiet - orderMargin;
    shortenPause();
    m_lostAt.reset();
    m_heardAt.reset();
    m_wasFenced = false;
    logEvent(Event::CoordinationBegun, { { "host", m_settings.host.value() }, { "fence", std::to_string(fence) } });
    m_samples = std::make_shared<SampleRunner>(m_executor, m_store, m_protocol, m_directory, m_clients, m_clock, m_settings.samples);
    WeightOrderHooks hooks;
    hooks.mayOrder = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->mayOrder();
    };
    hooks.onFenced = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->m_wasFenced = true;
    };
    hooks.onChange = [samples = std::weak_ptr(m_samples)] {
        if (const auto runner = samples.lock())
            runner->poke();
    };
    m_weights = std::make_shared<WeightOrders>(m_executor, m_store, m_protocol, m_directory, m_clients, m_samples->scheduler(), m_clock,
        WeightOrderSettings { m_settings.host, fence, m_settings.loads }, std::move(hooks));
    // Samples are placed by the registry.
    m_directory.followClosely(true);
    m_samples->start();
    m_weights->start();
}

void Coordination::shortenPause()
{
    if (!m_namedHolders.contains(m_fence))
        return;
    // Another host gave its last order before the end of its lease, less the margin. Orders of the same host need no pause between them.
    if (isOwnPredecessor(m_fence))
        m_ordersFrom = m_leaseClock.now();
    else if (m_vacantSince)
        m_ordersFrom = std::min(m_ordersFrom, *m_vacantSince + m_settings.orderQuiet - orderMargin);
}

void Coordination::end(std::string_view reason)
{
    logEvent(Event::CoordinationEnded, { { "host", m_settings.host.value() }, { "reason", std::string(reason) } });
    m_weights->stop();
    m_samples->stop();
    m_weights.reset();
    m_samples.reset();
    m_directory.followClosely(false);
}

bool Coordination::mayOrder() const
{
    return !m_isLeaving && !m_wasFenced && m_samples && m_leaseClock.now() >= m_ordersFrom && m_lease.mayAct(orderMargin);
}

void Coordination::siteChanged()
{
    if (!m_samples)
        return;
    m_samples->updateEngines();
    m_weights->updateEngines();
}

Task<void> Coordination::handOver()
{
    const auto self = shared_from_this();
    m_isLeaving = true;
    m_watch->stop();
    const auto now = m_clock.now();
    const auto lastOrderAt = m_weights ? m_weights->lastOrderAt() : std::nullopt;
    if (lastOrderAt && now < *lastOrderAt + orderMargin)
        co_await pause(m_executor, *lastOrderAt + orderMargin - now);
    if (m_samples)
        end("the host hands over");
    if (m_lease.fencingNumber())
        co_await m_lease.release();
}

} // namespace cicadalb
