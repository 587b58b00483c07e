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
/// Orders engines to load the weight versions that trainers name.

namespace cicadalb {

struct WeightOrderSettings {
    HostId holder;
    FencingNumber fence = 0;
    LoadPlanSettings plan;
};

/// @brief Callbacks into the rest of the coordinator.
struct WeightOrderHooks {
    /// Whether an order may be given now; called directly before each order.
    std::function<bool()> mayOrder;
    /// An engine has refused an order because a holder with a higher fencing number has given orders.
    std::function<void()> onFenced;
    /// A call is about to be sent to an engine.
    std::function<void(const TargetId&)> onCall;
    /// A load has ended, so that its engine may serve again.
    std::function<void()> onChange;
};

/// @brief Gives weight orders to engines while mayOrder allows it; only the coordinator has an instance. Bound to one event loop.
class WeightOrders : public std::enable_shared_from_this<WeightOrders> {
public:
    WeightOrders(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, SampleScheduler&, const Clock&, WeightOrderSettings, WeightOrderHooks);

    void start();
    void stop();
    /// @brief See RecordWatch::restart().
    void restartWatch() { m_watch->restart(); }
    void updateEngines();
    /// @brief Sets the new fencing number after the lease has lapsed and was reacquired with no other holder in between.
    void setFence(FencingNumber fence) noexcept { m_settings.fence = fence; }
    /// @brief When the last order was sent; empty if none was.
    std::optional<TimePoint> lastOrderAt() const noexcept { return m_lastOrderAt; }
    /// @brief Model that an engine is assigned to; empty if there is none.
    ModelName assignedModel(const TargetId&) const;
    /// @brief Begins the loads that are due.
    void tick();

private:
    struct Engine {
        Endpoint endpoint;
        PoolName pool;
        Incarnation startedAt = 0;
        std::map<ModelName, WeightVersion> versions;
        /// Model that the engine serves first.
        ModelName assignedModel;
        /// Model of the load in progress, or empty, and when it began.
        ModelName loadingModel;
        TimePoint loadStartedAt;
        /// End of the backoff after a failed load, during which other engines are loaded first.
        TimePoint backoffUntil;
    };

    /// A load of one engine; it ends if the engine restarts.
    struct Load {
        LoadAttempt attempt;
        Endpoint endpoint;
        Incarnation startedAt = 0;
    };

    void applyNamedVersions(const std::vector<KeyValueEntry>&);
    /// What the assignment of models depends on, apart from speed and demand.
    struct AssignmentInput {
        std::set<TargetId> engines;
        std::map<PoolName, std::vector<std::string>> models;
        bool operator==(const AssignmentInput&) const = default;
    };

    AssignmentInput assignmentInput() const;
    void assignHomeModels(std::string_view cause);
    void assignWhenMeasured();
    /// Assigns the engines anew once samples of a model have waited for a while with far fewer engines than its share.
    void reassignIfStarved();
    bool isAnyModelStarved() const;
    std::vector<LoadableEngine> loadableEngines(const PoolName&) const;
    Task<void> load(LoadDecision);
    void finishLoad(const Load&);
    bool mayContinue(const Load&) const;
    /// Makes the call that is due, or waits until one is due.
    Task<void> advance(Load&);
    Task<std::optional<OrderOutcome>> sendOrder(const Load&);
    Task<Result<EngineReport>> fetchReport(const TargetId&, const Endpoint&);
    void updateVersions(const TargetId&, const std::map<std::string, WeightVersion>&);
    void addLoadedVersion(const LoadDecision&);
    void logAssignment(const TargetId&, const ModelName&, std::size_t models, std::string_view cause) const;
    void logOrder(const LoadOrder&, std::optional<OrderOutcome>) const;

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
    std::map<ModelName, WeightVersion> m_newestVersions;
    std::map<TargetId, Engine> m_engines;
    /// Whether the engines have been assigned to models by their measured speed.
    bool m_isAssignedBySpeed = false;
    /// Input of the last assignment.
    AssignmentInput m_assigned;
    TimePoint m_nextStarvationCheckAt;
    /// Since when a model is starved, as far as the checks have seen it.
    std::optional<TimePoint> m_starvedSince;
    std::optional<TimePoint> m_lastOrderAt;
    bool m_isStopped = false;
};

} // namespace cicadalb
