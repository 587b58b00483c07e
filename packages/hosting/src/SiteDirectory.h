#pragma once

#include "RecordWatch.h"

#include "cicadalb/site/OrganisationKeys.h"
#include "cicadalb/site/SiteProtocol.h"
#include "cicadalb/transport/SharedPoolBalancer.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

/// @file
/// A host's copy of its site's state: the configuration in force, the registered targets, and a balancer for each pool.

namespace cicadalb {

/// @brief A configuration with its route index; a request uses the one in force at its start until it ends.
struct SiteView {
    explicit SiteView(SiteConfiguration published)
        : configuration(std::move(published))
        , routes(configuration)
        , keys(configuration)
    {
    }
    SiteConfiguration configuration;
    RouteIndex routes;
    OrganisationKeys keys;
    /// Revision of the configuration's record.
    Revision revision = 0;
};

struct SiteDirectorySettings {
    FailureDomain ownFailureDomain;
    /// Delay between a change of the registry and the next call to the store. A target serves for 2 s after it has announced that it leaves.
    std::chrono::milliseconds registryCoalescingDelay { 0 };
    /// Client of mirrors to query instead of the store, or null. Must outlive the directory.
    MirrorClient* mirror = nullptr;
    std::uint64_t seed = 0;
    /// Clock of the ages of records, which must also count the time in which the machine is suspended; null selects the directory's clock.
    const Clock* recordClock = nullptr;
    /// Shortest outage of the store in which entries of targets can lapse.
    std::chrono::milliseconds minimumOutage { 0 };
};

/// @brief Bound to one event loop.
class SiteDirectory {
public:
    /// A change has to be in force this long after the store has acknowledged it, so that an older copy may lack one.
    static constexpr std::chrono::milliseconds maximumRecordAge { 2000 };

    SiteDirectory(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, const Clock&, SiteDirectorySettings);

    void start();
    void stop();
    /// @brief Selects whether each change of the registry is read at once, or several may share a call to the store.
    void setImmediateUpdates(bool isImmediate);
    /// @brief Sets the handler that is called after each change of the configuration or of the targets.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }
    /// @brief Sets the handler of all records received from the store or a mirror.
    void setUpdateHandler(std::function<void(const RecordUpdate&)> handler) { m_updateHandler = std::move(handler); }
    /// @brief Sets the handler that is called when the configuration can be read again after a failed call.
    void setRestoredHandler(std::function<void()> handler) { m_restoredHandler = std::move(handler); }

    /// @brief The configuration in force, or null before the first one.
    std::shared_ptr<const SiteView> view() const noexcept { return m_view; }
    const TargetRegistry& registry() const noexcept { return m_registry; }
    /// @brief Whether the store's entry of a target, read now, is of the same start and software. Errors: those of the store.
    Task<Result<bool>> isUnchanged(RegisteredTarget);
    /// @brief Whether a record of the configuration or of a target shows an older state than the one known here, although the store has it from now on:
    /// the store may carry out a write late, after newer ones.
    bool isOutdated(const KeyValueEntry&) const;
    Revision registryRevision() const noexcept { return m_targetsWatch->revision(); }
    /// @brief Time since the configuration was last known to be the newest one; empty before the first answer from the store or a mirror.
    std::optional<Duration> configurationAge() const { return ageOf(*m_configurationWatch); }
    /// @brief Time since the registry was last known to be complete; empty before the first answer.
    std::optional<Duration> registryAge() const { return ageOf(*m_targetsWatch); }
    /// @brief Whether a configuration that should be in force may be unknown here.
    bool mayLackConfiguration() const;
    /// @brief Time as of which the records under a prefix are known to be complete, on the clock of the records.
    std::optional<TimePoint> completeAsOf(const std::string& prefix) const { return watchOf(prefix).completeAsOf(); }
    /// @brief Admission to a pool's targets; created on first use, for unknown pools too.
    std::shared_ptr<SharedPoolBalancer> balancer(const PoolName&);
    bool isReady() const noexcept { return m_view != nullptr && m_hasTargets; }
    /// @brief Sends no further requests to a target that has stated in an answer that it is leaving, even if the registry does not say so.
    void markLeaving(const RegisteredTarget&);
    /// @brief Refuses all requests that wait for a target, since this host stops.
    void refuseQueued();
    /// @brief Removes targets that have not reappeared after an outage, and admits or refuses queued requests. Called every few milliseconds.
    void tick();

private:
    using RecordCallback = std::function<void(const WatchResult&, Duration mayReturnWithin)>;
    /// Creates a watch that passes snapshots to @p onSnapshot, changes to @p onChanges, and both to the handler of setUpdateHandler() first.
    std::shared_ptr<RecordWatch> makeWatch(const boost::asio::any_io_executor&, TransactionalStore&, RecordWatchSettings, RecordCallback onSnapshot, RecordCallback onChanges);
    const RecordWatch& watchOf(const std::string& prefix) const;
    std::optional<Duration> ageOf(const RecordWatch&) const;
    /// Logs when a copy becomes older than maximumRecordAge, and when it is current again.
    void reportAge(const RecordWatch&, bool& isOutdated) const;
    void applyConfiguration(const std::vector<KeyValueEntry>&);
    void replaceTargets(const WatchResult&, Duration mayReturnWithin);
    void applyTargetChanges(const WatchResult&, Duration mayReturnWithin);
    std::optional<RegisteredTarget> decodeTarget(const KeyValueEntry&) const;
    void onTargetsChanged();
    /// Logs changes of the targets; those that come within targetsLogInterval share a line.
    void logTargetsChanged();
    void updateBalancers();
    Pool poolOf(const PoolName&) const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    const Clock& m_clock;
    SiteDirectorySettings m_settings;
    const Clock& m_recordClock;
    std::shared_ptr<RecordWatch> m_configurationWatch;
    std::shared_ptr<RecordWatch> m_targetsWatch;
    std::shared_ptr<const SiteView> m_view;
    TargetRegistry m_registry;
    bool m_hasTargets = false;
    unsigned m_unloggedChanges = 0;
    TimePoint m_nextTargetsLogAt;
    bool m_isConfigurationOutdated = false;
    bool m_isRegistryOutdated = false;
    std::map<PoolName, std::shared_ptr<SharedPoolBalancer>> m_balancers;
    std::function<void()> m_changeHandler;
    std::function<void(const RecordUpdate&)> m_updateHandler;
    std::function<void()> m_restoredHandler;
};

} // namespace cicadalb
