#include "SiteDirectory.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/post.hpp>

namespace cicadalb {

namespace {

    /// Limit on the retry delay: a change has to be in force 2 s after its acknowledgement at each host that has been able to reach the store for 3 s.
    constexpr std::chrono::milliseconds maximumRetryDelay { 1000 };
    /// Interval at which an answer proves that the records are complete: a mirror's replies are accepted for MirrorClient::maximumAge.
    constexpr std::chrono::milliseconds freshnessInterval { 1000 };
    /// During a release hundreds of targets change within seconds, and each host hears of each change.
    constexpr std::chrono::milliseconds targetsLogInterval { 1000 };

    RecordWatchSettings watchSettings(std::string prefix, std::chrono::milliseconds coalescingDelay, MirrorClient* mirror, bool readsAfterFailure)
    {
        RecordWatchSettings settings;
        settings.prefix = std::move(prefix);
        settings.coalescingDelay = coalescingDelay;
        settings.maximumRetryDelay = maximumRetryDelay;
        settings.maximumWait = freshnessInterval;
        settings.keepsCurrent = true;
        settings.readsAfterFailure = readsAfterFailure;
        settings.mirror = mirror;
        return settings;
    }

} // namespace

SiteDirectory::SiteDirectory(boost::asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, const Clock& clock, SiteDirectorySettings settings)
    : m_executor(executor)
    , m_store(store)
    , m_protocol(protocol)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_recordClock(m_settings.recordClock ? *m_settings.recordClock : clock)
{
    const auto applyConfiguration = [this](const WatchResult& result, Duration) { this->applyConfiguration(result.entries); };
    const auto replaceTargets = [this](const WatchResult& result, Duration mayReturnWithin) { this->replaceTargets(result, mayReturnWithin); };
    const auto applyTargetChanges = [this](const WatchResult& result, Duration mayReturnWithin) { this->applyTargetChanges(result, mayReturnWithin); };
    // A registry is read again as a whole only by the few processes that query the store in any case.
    const bool hasMirrors = m_settings.mirror && m_settings.mirror->mirrorCount() > 0;
    m_configurationWatch = makeWatch(executor, store, watchSettings(protocol.keys().configuration, std::chrono::milliseconds(0), m_settings.mirror, true), applyConfiguration, applyConfiguration);
    auto targetsSettings = watchSettings(protocol.keys().targets, m_settings.registryCoalescingDelay, m_settings.mirror, !hasMirrors);
    targetsSettings.minimumOutage = m_settings.minimumOutage;
    m_targetsWatch = makeWatch(executor, store, std::move(targetsSettings), replaceTargets, applyTargetChanges);
}

std::shared_ptr<RecordWatch> SiteDirectory::makeWatch(const boost::asio::any_io_executor& executor, TransactionalStore& store, RecordWatchSettings settings, RecordCallback onSnapshot, RecordCallback onChanges)
{
    const auto handler = [this, prefix = settings.prefix](RecordCallback next, bool isSnapshot) {
        return [this, prefix, next = std::move(next), isSnapshot](const WatchResult& records, Duration mayReturnWithin) {
            if (m_updateHandler)
                m_updateHandler({ prefix, records, isSnapshot, mayReturnWithin });
            next(records, mayReturnWithin);
        };
    };
    const auto onRestored = [this, isConfiguration = settings.prefix == m_protocol.keys().configuration] {
        if (isConfiguration && m_restoredHandler)
            m_restoredHandler();
    };
    return std::make_shared<RecordWatch>(executor, store, m_recordClock, std::move(settings), RecordWatchHandler { handler(std::move(onSnapshot), true), handler(std::move(onChanges), false), onRestored });
}

const RecordWatch& SiteDirectory::watchOf(const std::string& prefix) const
{
    return prefix == m_protocol.keys().configuration ? *m_configurationWatch : *m_targetsWatch;
}

std::optional<Duration> SiteDirectory::ageOf(const RecordWatch& watch) const
{
    const auto completeAsOf = watch.completeAsOf();
    return completeAsOf ? std::optional(m_recordClock.now() - *completeAsOf) : std::nullopt;
}

bool SiteDirectory::mayLackConfiguration() const
{
    const auto age = configurationAge();
    return !age || *age > maximumRecordAge;
}

void SiteDirectory::reportAge(const RecordWatch& watch, bool& isOutdated) const
{
    const auto age = ageOf(watch);
    if (!age || isOutdated == (*age > maximumRecordAge))
        return;
    isOutdated = !isOutdated;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
    logEvent(isOutdated ? Event::RecordsOutdated : Event::RecordsCurrent,
        { { "prefix", watch.prefix() }, { "revision", std::to_string(watch.revision()) }, { "age-ms", std::to_string(milliseconds) }, { "connected", watch.isConnected() ? "yes" : "no" } });
}

void SiteDirectory::start()
{
    m_configurationWatch->start();
    m_targetsWatch->start();
}

void SiteDirectory::stop()
{
    m_configurationWatch->stop();
    m_targetsWatch->stop();
}

void SiteDirectory::setImmediateUpdates(bool isImmediate)
{
    m_targetsWatch->setCoalescingDelay(isImmediate ? std::chrono::milliseconds(0) : m_settings.registryCoalescingDelay);
}

void SiteDirectory::applyConfiguration(const std::vector<KeyValueEntry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.isDeleted || entry.key != m_protocol.keys().configuration)
            continue;
        auto configuration = m_protocol.configuration(entry.value);
        const auto checked = configuration ? checkOrganisations(configuration.value()) : Result<void>(configuration.as_failure());
        if (!checked) {
            logEvent(Event::RecordIgnored, { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "cause", checked.error().message } });
            continue;
        }
        // A snapshot may be older than a change that the watch has already reported.
        if (m_view && m_view->configuration.version >= configuration.value().version)
            continue;
        auto view = std::make_shared<SiteView>(std::move(configuration.value()));
        view->revision = entry.revision;
        m_view = std::move(view);
        logEvent(Event::SiteConfigurationInForce, { { "version", std::to_string(m_view->configuration.version) }, { "revision", std::to_string(entry.revision) }, { "routes", std::to_string(m_view->configuration.routes.size()) } });
        if (m_changeHandler)
            m_changeHandler();
    }
}

std::optional<RegisteredTarget> SiteDirectory::decodeTarget(const KeyValueEntry& entry) const
{
    auto target = m_protocol.target(entry.key, entry.value);
    if (target) {
        target.value().revision = entry.revision;
        return std::move(target.value());
    }
    logEvent(Event::RecordIgnored, { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "cause", target.error().message } });
    return std::nullopt;
}

Task<Result<bool>> SiteDirectory::isUnchanged(RegisteredTarget target)
{
    const auto entry = co_await m_store.read(m_protocol.keys().targets + target.id.value());
    if (!entry)
        co_return entry.as_failure();
    if (!entry.value())
        co_return false;
    const auto current = decodeTarget(*entry.value());
    co_return current && current->startedAt == target.startedAt && current->endpoint == target.endpoint && current->pool == target.pool
        && current->softwareVersion == target.softwareVersion;
}

bool SiteDirectory::isOutdated(const KeyValueEntry& entry) const
{
    if (entry.isDeleted)
        return false;
    if (entry.key == m_protocol.keys().configuration) {
        const auto configuration = m_view ? m_protocol.configuration(entry.value) : Result<SiteConfiguration>(SiteConfiguration {});
        return m_view && configuration && configuration.value().version < m_view->configuration.version;
    }
    if (!entry.key.starts_with(m_protocol.keys().targets))
        return false;
    auto target = m_protocol.target(entry.key, entry.value);
    if (!target)
        return false;
    target.value().revision = entry.revision;
    return m_registry.isOutdated(target.value(), m_clock.now());
}

void SiteDirectory::replaceTargets(const WatchResult& result, Duration mayReturnWithin)
{
    std::vector<RegisteredTarget> targets;
    for (const auto& entry : result.entries) {
        if (auto target = decodeTarget(entry))
            targets.push_back(std::move(*target));
    }
    m_registry.replace(std::move(targets), { result.revision, m_clock.now(), mayReturnWithin });
    m_hasTargets = true;
    onTargetsChanged();
}

void SiteDirectory::applyTargetChanges(const WatchResult& result, Duration mayReturnWithin)
{
    for (const auto& entry : result.entries) {
        const TargetId id(entry.key.substr(m_protocol.keys().targets.size()));
        auto target = entry.isDeleted ? std::nullopt : decodeTarget(entry);
        if (target && m_registry.isOutdated(*target, m_clock.now()))
            logEvent(Event::RecordIgnored, { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "cause", "the target has sent a newer report or was removed since" } });
        else if (target)
            m_registry.put(std::move(*target), m_clock.now());
        else
            m_registry.remove(id, { entry.revision, m_clock.now(), entry.isDeleted ? mayReturnWithin : Duration::zero() });
    }
    onTargetsChanged();
}

Pool SiteDirectory::poolOf(const PoolName& name) const
{
    Pool pool;
    pool.name = name;
    pool.maximumInFlight = 1;
    for (const auto* registered : m_registry.usableTargets(name)) {
        Target target;
        target.id = registered->id;
        target.address = registered->endpoint.address;
        target.port = registered->endpoint.port;
        target.failureDomain = registered->failureDomain;
        pool.targets.push_back(std::move(target));
        pool.maximumInFlight = std::max(pool.maximumInFlight, registered->slots);
    }
    return pool;
}

void SiteDirectory::markLeaving(const RegisteredTarget& target)
{
    if (!m_registry.markLeaving(target, m_clock.now()))
        return;
    logEvent(Event::TargetLeaving, { { "target", target.id.value() }, { "pool", target.pool.value() }, { "started-at", std::to_string(target.startedAt) }, { "revision", std::to_string(m_targetsWatch->revision()) } });
    updateBalancers();
    // The caller is an exchange with the target, which the handler may cancel.
    boost::asio::post(m_executor, [this] {
        if (m_changeHandler)
            m_changeHandler();
    });
}

void SiteDirectory::updateBalancers()
{
    for (auto& [name, balancer] : m_balancers)
        balancer->update(poolOf(name));
}

void SiteDirectory::onTargetsChanged()
{
    updateBalancers();
    ++m_unloggedChanges;
    logTargetsChanged();
    if (m_changeHandler)
        m_changeHandler();
}

void SiteDirectory::logTargetsChanged()
{
    if (m_unloggedChanges == 0 || m_clock.now() < m_nextTargetsLogAt)
        return;
    logEvent(Event::TargetsChanged, { { "revision", std::to_string(m_targetsWatch->revision()) }, { "targets", std::to_string(m_registry.targets().size()) }, { "changes", std::to_string(m_unloggedChanges) } });
    m_unloggedChanges = 0;
    m_nextTargetsLogAt = m_clock.now() + targetsLogInterval;
}

std::shared_ptr<SharedPoolBalancer> SiteDirectory::balancer(const PoolName& name)
{
    auto& balancer = m_balancers[name];
    if (!balancer) {
        BalancerOptions options;
        options.ownFailureDomain = m_settings.ownFailureDomain;
        options.seed = m_settings.seed;
        balancer = std::make_shared<SharedPoolBalancer>(poolOf(name), options, m_clock);
    }
    return balancer;
}

void SiteDirectory::refuseQueued()
{
    for (const auto& [name, balancer] : m_balancers)
        balancer->refuseQueued();
}

void SiteDirectory::tick()
{
    reportAge(*m_configurationWatch, m_isConfigurationOutdated);
    reportAge(*m_targetsWatch, m_isRegistryOutdated);
    logTargetsChanged();
    if (m_registry.expire(m_clock.now()))
        onTargetsChanged();
    for (auto& [name, balancer] : m_balancers) {
        if (balancer->queueLength() > 0)
            balancer->tick();
    }
}

} // namespace cicadalb
