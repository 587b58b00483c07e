#pragma once

#include "RecordWatch.h"
#include "SiteDirectory.h"

#include "cicadalb/site/SiteProtocol.h"
#include "cicadalb/submissions/LoadAttempt.h"
#include "cicadalb/submissions/LoadPlan.h"
#include "cicadalb/submissions/SampleScheduler.h"
#include "cicadalb/transport/TargetClients.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

/// @file
/// Moves engines to the versions that trainers name.

namespace cicadalb {

struct WeightOrderSettings {
    HostId holder;
    FencingNumber fence = 0;
    LoadPlanSettings plan;
};

/// @brief What the orders need from the rest of the coordinator.
struct WeightOrderHooks {
    /// Whether an order may be given now; asked right before each.
    std::function<bool()> mayOrder;
    /// Another holder has given orders.
    std::function<void()> onFenced;
    /// Engines may serve again, or no more.
    std::function<void()> onChange;
};

/// @brief The only one that gives orders to engines, for as long as it is allowed to. Bound to one event loop.
class WeightOrders : public std::enable_shared_from_this<WeightOrders> {
public:
    WeightOrders(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, SampleScheduler&, const Clock&, WeightOrderSettings, WeightOrderHooks);

    void start();
    void stop();
    /// @brief See RecordWatch::restart().
    void restartWatch() { m_watch->restart(); }
    void updateEngines();
    /// @brief The lease was lost and won again without another holder in between.
    void setFence(FencingNumber fence) noexcept { m_settings.fence = fence; }
    /// @brief When the last order was sent, or nothing.
    std::optional<TimePoint> lastOrderAt() const noexcept { return m_lastOrderAt; }
    /// @brief Begins the loads that are due.
    void tick();

private:
    struct Engine {
        Endpoint endpoint;
        PoolName pool;
        Incarnation startedAt = 0;
        std::map<ModelName, WeightVersion> versions;
        ModelName home;
        bool isLoading = false;
        /// After a load that failed it waits so long, so that others take its turn.
        TimePoint pausedUntil;
    };

    /// A load, for one life of its engine.
    struct Load {
        LoadAttempt attempt;
        Endpoint endpoint;
        Incarnation startedAt = 0;
    };

    void takeVersions(const std::vector<KeyValueEntry>&);
    void assign();
    void assignWhenKnown();
    std::vector<LoadableEngine> loadable(const PoolName&) const;
    Task<void> load(LoadDecision);
    void endLoad(const Load&);
    bool mayGoOn(const Load&) const;
    /// Makes the call that is due, or waits for it.
    Task<void> step(Load&);
    Task<std::optional<OrderOutcome>> order(const Load&);
    Task<Result<EngineReport>> report(const Endpoint&);
    void learn(const TargetId&, const std::map<std::string, WeightVersion>&);
    void learnOne(const LoadDecision&);
    void recordOrder(const LoadOrder&, std::optional<OrderOutcome>) const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    TargetClients& m_clients;
    SampleScheduler& m_scheduler;
    const Clock& m_clock;
    WeightOrderSettings m_settings;
    WeightOrderHooks m_hooks;
    std::shared_ptr<RecordWatch> m_watch;
    std::map<ModelName, WeightVersion> m_newest;
    std::map<TargetId, Engine> m_engines;
    /// Whether the engines are shared by their measured speed.
    bool m_isShared = false;
    std::set<TargetId> m_sharedEngines;
    std::optional<TimePoint> m_lastOrderAt;
    bool m_isStopped = false;
};

} // namespace cicadalb
