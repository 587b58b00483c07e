#pragma once

#include "RecordWatch.h"

#include "cicadalb/site/SiteProtocol.h"
#include "cicadalb/transport/PoolGate.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

/// @file
/// What a host knows of its site: the configuration in force, the registered targets, and a gate for each pool.

namespace cicadalb {

/// @brief A configuration with its index; a request keeps the one that it started with.
struct SiteView {
    explicit SiteView(SiteConfiguration published)
        : configuration(std::move(published))
        , routes(configuration)
    {
    }
    SiteConfiguration configuration;
    RouteIndex routes;
    /// Revision of the record.
    Revision revision = 0;
};

struct SiteDirectorySettings {
    FailureDomain ownFailureDomain;
    /// Pause after a change of the registry that the store told. A target serves for two seconds after it said that it leaves.
    std::chrono::milliseconds registryPause { 0 };
    /// Mirrors that are asked instead of the store, if any; outlives the directory.
    MirrorClient* mirror = nullptr;
    std::uint64_t seed = 0;
};

/// @brief Bound to one event loop.
class SiteDirectory {
public:
    SiteDirectory(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, const Clock&, SiteDirectorySettings);

    void start();
    void stop();
    /// @brief From now on every change of the registry is seen at once, or several share a call again.
    void followClosely(bool isClose);
    /// @brief Called after each change of the configuration or of the targets.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }
    /// @brief Called with all that is seen in the store.
    void onNews(std::function<void(const RecordNews&)> handler) { m_onNews = std::move(handler); }
    /// @brief See RecordWatch::restart().
    void restartWatches();
    /// @brief Whether the records under a prefix are followed now.
    bool isFollowing(const std::string& prefix) const;

    /// @brief The configuration in force, or null before the first one.
    std::shared_ptr<const SiteView> view() const noexcept { return m_view; }
    const TargetRegistry& registry() const noexcept { return m_registry; }
    Revision registryRevision() const noexcept { return m_targetsWatch->revision(); }
    /// @brief Admission to a pool's targets, or null if no configuration names it.
    std::shared_ptr<PoolGate> gate(const PoolName&);
    bool isReady() const noexcept { return m_view != nullptr && m_hasTargets; }
    /// @brief Drops targets that did not come back, and lets queued requests' turns come. Called every few milliseconds.
    void tick();

private:
    using TakeRecords = std::function<void(const WatchResult&, bool afterOutage)>;
    /// A watch whose records go to @p take, or to @p takeChanges after the first ones, and to the handler of onNews().
    std::shared_ptr<RecordWatch> makeWatch(const boost::asio::any_io_executor&, TransactionalStore&, RecordWatchSettings, TakeRecords take, TakeRecords takeChanges);
    void takeConfiguration(const std::vector<KeyValueEntry>&);
    void takeTargets(const WatchResult&, bool afterOutage);
    void takeTargetChanges(const WatchResult&, bool afterOutage);
    std::optional<RegisteredTarget> decodeTarget(const KeyValueEntry&) const;
    void targetsChanged();
    Pool poolOf(const PoolName&) const;

    const SiteProtocol& m_protocol;
    const Clock& m_clock;
    SiteDirectorySettings m_settings;
    std::shared_ptr<RecordWatch> m_configurationWatch;
    std::shared_ptr<RecordWatch> m_targetsWatch;
    std::shared_ptr<const SiteView> m_view;
    TargetRegistry m_registry;
    bool m_hasTargets = false;
    std::map<PoolName, std::shared_ptr<PoolGate>> m_gates;
    std::function<void()> m_onChange;
    std::function<void(const RecordNews&)> m_onNews;
};

} // namespace cicadalb
