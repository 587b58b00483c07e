#include "SiteState.h"

#include <nlohmann/json.hpp>

namespace cicadalb {

namespace {

    using nlohmann::json;

    json milliseconds(std::optional<Duration> duration)
    {
        return duration ? json(std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count()) : json();
    }

    json names(const std::vector<HostId>& hosts)
    {
        auto list = json::array();
        for (const auto& host : hosts)
            list.push_back(host.value());
        return list;
    }

    json toJson(const OrganisationState& organisation)
    {
        return { { "name", organisation.name.value() }, { "priority", organisation.priority ? json(*organisation.priority) : json() }, { "keys", organisation.keys } };
    }

    json toJson(const CoordinatorState& coordinator)
    {
        return { { "host", coordinator.holder.host.value() }, { "fence", coordinator.holder.fence }, { "coordinating-for-ms", milliseconds(coordinator.coordinatingFor) } };
    }

    json toJson(const WorkState& work)
    {
        return { { "submissions", work.submissions }, { "running", work.running }, { "waiting", work.waiting }, { "placement-paused", work.isPlacementPaused } };
    }

    json toJson(const PermitState& permits)
    {
        return { { "granting", permits.isGranting }, { "coordinator-known", permits.hasCoordinator }, { "asking-hosts", permits.askingHosts }, { "limited-targets", permits.limitedTargets } };
    }

    json toJson(const SentUsageReport& report)
    {
        json result { { "window", report.window }, { "requests", report.requests }, { "organisations", report.organisations }, { "age-ms", report.age.count() }, { "outcome", name(report.outcome) } };
        result["hosts"] = report.sources ? json(report.sources->hosts) : json();
        result["missing"] = report.sources ? names(report.sources->missing) : json();
        result["silent"] = report.sources ? names(report.sources->silent) : json();
        return result;
    }

    json toJson(const UsageState& usage)
    {
        return { { "last", usage.last ? toJson(*usage.last) : json() }, { "waiting", usage.waitingReports } };
    }

    json toJson(const EngineOrder& order)
    {
        const auto& decision = order.given.decision;
        return { { "pool", order.pool.value() }, { "failure-domain", decision.source.failureDomain.value() }, { "reclaimable", decision.source.isReclaimable }, { "engines", decision.engines },
            { "from", decision.from }, { "cause", name(decision.cause) }, { "accepted", order.given.isAccepted } };
    }

    template <typename T>
    json toJson(const std::vector<T>& values)
    {
        auto list = json::array();
        for (const auto& value : values)
            list.push_back(toJson(value));
        return list;
    }

    /// The JSON of a value, or null if there is none.
    template <typename T>
    json optionalJson(const std::optional<T>& value)
    {
        return value ? toJson(*value) : json();
    }

    void observeCoordination(const Coordination& coordination, SiteState& state)
    {
        if (const auto holder = coordination.holder())
            state.coordinator = CoordinatorState { *holder, coordination.coordinatingFor() };
        if (coordination.isCoordinating())
            state.work = WorkState { coordination.openSubmissions(), coordination.runningSamples(), coordination.waitingSamples(), coordination.isPlacementPaused() };
        if (const auto* usage = coordination.usageReports())
            state.usage = UsageState { usage->lastReport(), usage->unsentReports() };
        if (const auto* orders = coordination.capacityOrders())
            state.orders = orders->orders();
    }

} // namespace

SiteState observeSite(const SiteDirectory& directory, const RequestPermits& permits, const Coordination* coordination, bool isUsageDelivered)
{
    SiteState state;
    state.configurationAge = directory.configurationAge();
    if (const auto view = directory.view()) {
        state.configuration = view->configuration.version;
        for (const auto& organisation : view->configuration.organisations)
            state.organisations.push_back({ organisation.name, organisation.priority, organisation.keyDigests.size() });
    }
    state.permits = { permits.isGranting(), permits.hasCoordinator(), permits.askingHosts(), permits.limits().size() };
    state.isUsageDelivered = isUsageDelivered;
    if (coordination)
        observeCoordination(*coordination, state);
    return state;
}

json toJson(const SiteState& state)
{
    return {
        { "configuration", { { "version", state.configuration }, { "age-ms", milliseconds(state.configurationAge) } } },
        { "organisations", toJson(state.organisations) },
        { "coordinator", optionalJson(state.coordinator) },
        { "work", optionalJson(state.work) },
        { "permits", toJson(state.permits) },
        { "usage", optionalJson(state.usage) },
        { "usage-delivered", state.isUsageDelivered },
        { "orders", optionalJson(state.orders) },
    };
}

} // namespace cicadalb
