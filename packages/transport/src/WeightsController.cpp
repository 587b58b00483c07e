#include "WeightsController.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Hosts that compete for a pool's lease.
    constexpr std::size_t candidatesPerPool = 2;
    /// Weight loads of one pool that may start in a burst.
    constexpr double weightLoadBurst = 64;

    std::string leaseKey(const PoolName& pool)
    {
        return "cicadalb/weights/lease/" + pool.value();
    }

    std::vector<TargetId> engineIds(const Pool& pool)
    {
        std::vector<TargetId> ids;
        ids.reserve(pool.targets.size());
        for (const auto& target : pool.targets)
            ids.push_back(target.id);
        return ids;
    }

} // namespace

/// The rollout of one pool while this host is a candidate for its lease. Its coroutines keep it alive until they end.
struct WeightsController::PoolRollout {
    PoolRollout(const WeightsController& controller, const Pool& pool)
        : model(pool.model)
        , leaseCandidate(controller.m_service, controller.m_clock, leaseSettings(controller, pool), controller.m_options.seed)
        , orderPermit(leaseCandidate)
        , loadLimiter(std::make_shared<WeightLoadLimiter>(controller.m_options.weightLoadsPerSecond, weightLoadBurst, controller.m_clock.now()))
        , service(controller.m_executor, controller.m_engines, orderPermit, loadLimiter, controller.m_clock, rolloutOptions(controller, pool))
    {
    }

    static LeaseSettings leaseSettings(const WeightsController& controller, const Pool& pool)
    {
        LeaseSettings settings;
        settings.key = leaseKey(pool.name);
        settings.holder = controller.m_options.self.value();
        settings.timeToLive = controller.m_options.leaseTimeToLive;
        return settings;
    }

    static WeightRolloutOptions rolloutOptions(const WeightsController& controller, const Pool& pool)
    {
        WeightRolloutOptions options;
        options.model = pool.model;
        options.servingShare = pool.servingShare;
        options.fenceCheck = pool.fenceCheck;
        options.orderTimeout = controller.m_options.orderTimeout;
        return options;
    }

    void stop()
    {
        leaseCandidate.stop();
        service.stop();
    }

    std::string model;
    LeaseCandidate leaseCandidate;
    LeaseOrderPermit orderPermit;
    std::shared_ptr<WeightLoadLimiter> loadLimiter;
    WeightRolloutService service;
};

WeightsController::WeightsController(asio::any_io_executor executor, WeightsControllerOptions options, KeyValueService& service, EngineClient& engines, const RoutingTable& routing, AssignmentSource assignment, const Clock& clock)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_service(service)
    , m_engines(engines)
    , m_routing(routing)
    , m_currentAssignment(std::move(assignment))
    , m_clock(clock)
    , m_registry(service)
{
}

WeightsController::~WeightsController() = default;

bool WeightsController::isCandidate(const PoolName& pool) const
{
    const auto assignment = m_currentAssignment();
    for (const auto* host : assignment->preferredHosts(leaseKey(pool), candidatesPerPool)) {
        if (host->id == m_options.self)
            return true;
    }
    return false;
}

void WeightsController::beginCandidacy(const Pool& pool)
{
    const auto rollout = std::make_shared<PoolRollout>(*this, pool);
    {
        const std::lock_guard lock(m_mutex);
        m_rollouts.emplace(pool.name, rollout);
    }
    asio::co_spawn(
        m_executor, [rollout, executor = m_executor]() -> Task<void> { co_await rollout->leaseCandidate.run(executor); }, asio::detached);
    asio::co_spawn(
        m_executor, [rollout]() -> Task<void> { co_await rollout->service.run(); }, asio::detached);
}

void WeightsController::endCandidacy(const PoolName& pool)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rollouts.find(pool);
    if (found == m_rollouts.end())
        return;
    found->second->stop();
    m_rollouts.erase(found);
}

void WeightsController::updateCandidacies()
{
    const auto snapshot = m_routing.snapshot();
    if (!snapshot)
        return;
    for (const auto& pool : snapshot->matcher.tables().pools) {
        const bool isWanted = pool.kind == TargetKind::ModelEngine && isCandidate(pool.name);
        std::shared_ptr<PoolRollout> rollout;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_rollouts.find(pool.name);
            rollout = found == m_rollouts.end() ? nullptr : found->second;
        }
        if (isWanted && !rollout)
            beginCandidacy(pool);
        else if (!isWanted && rollout)
            endCandidacy(pool.name);
        else if (rollout)
            rollout->service.setEngines(engineIds(pool));
    }
}

Task<void> WeightsController::refreshWantedVersions()
{
    std::vector<std::shared_ptr<PoolRollout>> rollouts;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [name, rollout] : m_rollouts)
            rollouts.push_back(rollout);
    }
    for (const auto& rollout : rollouts) {
        if (!rollout->leaseCandidate.fencingNumber())
            continue;
        const auto record = co_await m_registry.read(rollout->model);
        if (record)
            rollout->service.setDesiredVersion(record.value().version);
    }
}

Task<void> WeightsController::run()
{
    asio::steady_timer timer(m_executor);
    while (!m_isStopping) {
        updateCandidacies();
        co_await refreshWantedVersions();
        timer.expires_after(m_options.refreshInterval);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void WeightsController::stop()
{
    m_isStopping = true;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, rollout] : m_rollouts)
        rollout->stop();
    m_rollouts.clear();
}

nlohmann::json WeightsController::state() const
{
    nlohmann::json pools = nlohmann::json::object();
    const std::lock_guard lock(m_mutex);
    for (const auto& [pool, rollout] : m_rollouts) {
        nlohmann::json engines = nlohmann::json::array();
        for (const auto& view : rollout->service.engines())
            engines.push_back({ { "engine", view.engine.value() }, { "state", name(view.state) }, { "version", view.version }, { "failures", view.failures } });
        pools[pool.value()] = { { "fence", rollout->leaseCandidate.fencingNumber().value_or(0) }, { "engines", engines } };
    }
    return pools;
}

} // namespace cicadalb
