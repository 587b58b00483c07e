#include "WeightOrders.h"

#include "Pause.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Timeout of a report or an order; engines answer both without using a slot.
    constexpr milliseconds callTimeout { 600 };
    /// Limit on the answer to either: parsed, it takes many times its bytes.
    constexpr std::size_t maximumAnswerBytes = std::size_t { 1 } << 20U;
    /// Time for which an engine is not loaded again after a failed load.
    constexpr milliseconds failureBackoff { 1000 };
    /// Time after which a load that has not ended counts as overdue.
    constexpr milliseconds overdueLoadTime { 3600 };
    /// Engines are assigned by speed once at most one in this many has not been measured.
    constexpr std::size_t enginesPerUnmeasured = 5;
    /// Interval at which the shares of the models are checked ...
    constexpr milliseconds starvationCheckInterval { 500 };
    /// ... and the time for which one is starved before the engines are assigned anew.
    constexpr milliseconds starvationTime { 1000 };

    /// Lets engines that are not measured count as fast as the average of the others.
    void assumeAverageSpeed(std::vector<LoadableEngine>& engines)
    {
        double sum = 0;
        std::size_t measured = 0;
        for (const auto& engine : engines) {
            sum += engine.secondsPerEvent;
            measured += engine.secondsPerEvent > 0 ? 1 : 0;
        }
        const auto average = measured > 0 ? sum / static_cast<double>(measured) : std::chrono::duration<double>(SampleScheduler::assumedTimePerEvent).count();
        for (auto& engine : engines) {
            if (engine.secondsPerEvent <= 0)
                engine.secondsPerEvent = average;
        }
    }

} // namespace

WeightOrders::WeightOrders(asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, SiteDirectory& directory, TargetClients& clients, SampleScheduler& scheduler, const Clock& clock, WeightOrderSettings settings, WeightOrderHooks hooks)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_protocol(protocol)
    , m_directory(directory)
    , m_clients(clients)
    , m_scheduler(scheduler)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

void WeightOrders::start()
{
    const auto apply = [weak = weak_from_this()](const WatchResult& result, Duration) {
        if (const auto self = weak.lock())
            self->applyNamedVersions(result.entries);
    };
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_clock, RecordWatchSettings { m_protocol.keys().announcedVersions }, RecordWatchHandler { apply, apply, {} });
    m_watch->start();
    updateEngines();
}

void WeightOrders::stop()
{
    m_isStopped = true;
    m_watch->stop();
}

/// Assigns models to engines once the speed of most engines is measured. All other assignments are made when the set of engines changes.
void WeightOrders::assignWhenMeasured()
{
    if (m_isAssignedBySpeed)
        return;
    const auto measured = std::count_if(m_engines.begin(), m_engines.end(), [this](const auto& entry) { return m_scheduler.averageTimePerEvent(entry.first).has_value(); });
    m_isAssignedBySpeed = !m_engines.empty() && static_cast<std::size_t>(measured) * enginesPerUnmeasured >= m_engines.size() * (enginesPerUnmeasured - 1);
    if (m_isAssignedBySpeed)
        assignHomeModels("most engines are measured");
}

bool WeightOrders::isAnyModelStarved() const
{
    const auto view = m_directory.view();
    return std::any_of(view->configuration.pools.begin(), view->configuration.pools.end(), [this](const auto& pool) {
        std::vector<ModelName> models;
        std::set<ModelName> waiting;
        for (const auto& name : pool.models) {
            const auto& model = models.emplace_back(name);
            if (m_scheduler.waitingCount(model) > 0)
                waiting.insert(model);
        }
        return !waiting.empty() && relieveStarvedModels(loadableEngines(pool.name), models, m_scheduler.demand(), waiting);
    });
}

void WeightOrders::reassignIfStarved()
{
    const auto now = m_clock.now();
    if (now < m_nextStarvationCheckAt)
        return;
    m_nextStarvationCheckAt = now + starvationCheckInterval;
    if (!isAnyModelStarved()) {
        m_starvedSince.reset();
        return;
    }
    if (!m_starvedSince)
        m_starvedSince = now;
    if (now < *m_starvedSince + starvationTime)
        return;
    m_starvedSince.reset();
    assignHomeModels("a model has waited with too few engines");
}

void WeightOrders::applyNamedVersions(const std::vector<KeyValueEntry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.isDeleted)
            continue;
        const auto named = m_protocol.announcedVersion(entry.value);
        if (!named) {
            logEvent(Event::RecordIgnored, { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "cause", named.error().message } });
            continue;
        }
        auto& newest = m_newestVersions[named.value().model];
        newest = std::max(newest, named.value().version);
        logEvent(Event::VersionNamed, { { "model", named.value().model.value() }, { "version", std::to_string(named.value().version) }, { "revision", std::to_string(entry.revision) } });
    }
    tick();
}

void WeightOrders::updateVersions(const TargetId& id, const std::map<std::string, WeightVersion>& models)
{
    const auto found = m_engines.find(id);
    if (m_isStopped || found == m_engines.end())
        return;
    for (const auto& [name, version] : models) {
        const ModelName model(name);
        auto& knownVersion = found->second.versions[model];
        // Versions only rise; a report or registry entry may be older than the known version.
        if (version <= knownVersion)
            continue;
        knownVersion = version;
        m_scheduler.setWeightVersion(id, model, version);
    }
}

void WeightOrders::addLoadedVersion(const LoadDecision& decision)
{
    updateVersions(decision.engine, { { decision.model.value(), decision.version } });
}

ModelName WeightOrders::assignedModel(const TargetId& id) const
{
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? ModelName() : found->second.assignedModel;
}

void WeightOrders::logOrder(const LoadOrder& order, std::optional<OrderOutcome> outcome) const
{
    logEvent(Event::WeightOrderGiven, { { "engine", order.engine.value() }, { "model", order.model.value() }, { "version", std::to_string(order.version) }, { "assigned-model", assignedModel(order.engine).value() }, { "fence", std::to_string(order.fence) }, { "accepted-orders", std::to_string(order.expectedAcceptedOrders) }, { "outcome", outcome ? std::string(name(*outcome)) : "no answer" } });
}

void WeightOrders::logAssignment(const TargetId& engine, const ModelName& model, std::size_t models, std::string_view cause) const
{
    const auto measured = m_scheduler.averageTimePerEvent(engine);
    const std::chrono::duration<double, std::milli> timePerEvent = measured.value_or(SampleScheduler::assumedTimePerEvent);
    const auto demand = m_scheduler.demand().find(model);
    logEvent(Event::EngineAssigned, { { "engine", engine.value() }, { "model", model.value() }, { "models", std::to_string(models) }, { "cause", std::string(cause) }, { "milliseconds-per-event", std::to_string(timePerEvent.count()) }, { "measured", measured ? "yes" : "no" }, { "demand", demand == m_scheduler.demand().end() ? "" : std::to_string(demand->second) } });
}

void WeightOrders::updateEngines()
{
    std::set<TargetId> present;
    for (const auto& [id, target] : m_directory.registry().targets()) {
        if (target.models.empty() || target.isDraining)
            continue;
        present.insert(id);
        auto& engine = m_engines[id];
        if (engine.startedAt != target.startedAt)
            engine.versions.clear();
        engine.startedAt = target.startedAt;
        engine.endpoint = target.endpoint;
        engine.pool = target.pool;
        updateVersions(id, target.models);
    }
    std::erase_if(m_engines, [&](const auto& entry) { return !present.contains(entry.first) && entry.second.loadingModel.isEmpty(); });
    if (auto input = assignmentInput(); input != m_assigned) {
        m_assigned = std::move(input);
        assignHomeModels("engines or models have changed");
    }
    tick();
}

WeightOrders::AssignmentInput WeightOrders::assignmentInput() const
{
    AssignmentInput input;
    for (const auto& [id, engine] : m_engines)
        input.engines.insert(id);
    if (const auto view = m_directory.view()) {
        for (const auto& pool : view->configuration.pools)
            input.models.emplace(pool.name, pool.models);
    }
    return input;
}

std::vector<LoadableEngine> WeightOrders::loadableEngines(const PoolName& pool) const
{
    std::vector<LoadableEngine> engines;
    const auto now = m_clock.now();
    for (const auto& [id, engine] : m_engines) {
        if (engine.pool != pool)
            continue;
        LoadableEngine loadableEngine;
        loadableEngine.id = id;
        loadableEngine.versions = engine.versions;
        loadableEngine.loadingModel = engine.loadingModel;
        loadableEngine.isLoadOverdue = loadableEngine.isLoading() && now - engine.loadStartedAt > overdueLoadTime;
        loadableEngine.isBackingOff = engine.backoffUntil > now;
        loadableEngine.assignedModel = engine.assignedModel;
        if (const auto measured = m_scheduler.averageTimePerEvent(id))
            loadableEngine.secondsPerEvent = std::chrono::duration<double>(*measured).count();
        loadableEngine.running = m_scheduler.runningCountOn(id, engine.assignedModel);
        engines.push_back(std::move(loadableEngine));
    }
    assumeAverageSpeed(engines);
    return engines;
}

void WeightOrders::assignHomeModels(std::string_view cause)
{
    const auto view = m_directory.view();
    if (!view)
        return;
    for (const auto& pool : view->configuration.pools) {
        std::vector<ModelName> models;
        for (const auto& model : pool.models)
            models.emplace_back(model);
        auto engines = loadableEngines(pool.name);
        for (auto& engine : engines) {
            // A new coordinator infers from the loaded versions which model an engine has served.
            const auto newest = std::max_element(engine.versions.begin(), engine.versions.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
            if (engine.assignedModel.isEmpty() && newest != engine.versions.end() && newest->second > 1)
                engine.assignedModel = newest->first;
        }
        for (const auto& [id, model] : assignModels(std::move(engines), models, m_scheduler.demand())) {
            auto& assignedModel = m_engines[id].assignedModel;
            if (assignedModel != model)
                logAssignment(id, model, models.size(), cause);
            assignedModel = model;
            m_scheduler.setAssignedModel(id, model);
        }
    }
}

void WeightOrders::tick()
{
    const auto view = m_directory.view();
    if (m_isStopped || !view)
        return;
    assignWhenMeasured();
    reassignIfStarved();
    if (!m_hooks.mayOrder())
        return;
    for (const auto& pool : view->configuration.pools) {
        std::vector<ModelRequirement> requirements;
        for (const auto& name : pool.models) {
            const ModelName model(name);
            if (const auto named = m_newestVersions.find(model); named != m_newestVersions.end())
                requirements.push_back({ model, named->second, m_scheduler.oldestAllowedVersion(model).value_or(0), m_scheduler.waitingCount(model) });
        }
        for (auto& decision : planLoads(loadableEngines(pool.name), requirements, m_settings.plan)) {
            auto& engine = m_engines[decision.engine];
            engine.loadingModel = decision.model;
            engine.loadStartedAt = m_clock.now();
            asio::co_spawn(m_executor, load(std::move(decision)), asio::detached);
        }
    }
}

Task<void> WeightOrders::load(LoadDecision decision)
{
    const auto self = shared_from_this();
    const auto& engine = m_engines[decision.engine];
    Load load { LoadAttempt(decision), engine.endpoint, engine.startedAt };
    m_scheduler.setWeightVersion(decision.engine, decision.model, std::nullopt);
    while (!load.attempt.isFinished() && mayContinue(load))
        co_await advance(load);
    if (m_isStopped)
        co_return;
    finishLoad(load);
    m_hooks.onChange();
    // Posted, since a load that ends at once would otherwise start the next load on its own stack.
    asio::post(m_executor, [self] { self->tick(); });
}

Task<void> WeightOrders::advance(Load& load)
{
    auto& attempt = load.attempt;
    switch (attempt.dueCall(m_clock.now())) {
    case LoadCall::None:
        co_await pause(m_executor, attempt.nextCallAt() - m_clock.now());
        break;
    case LoadCall::RequestReport: {
        const auto reported = co_await fetchReport(attempt.decision().engine, load.endpoint);
        if (reported)
            updateVersions(attempt.decision().engine, reported.value().models);
        attempt.onReport(reported ? std::optional(reported.value()) : std::nullopt, m_clock.now());
        break;
    }
    case LoadCall::SendOrder: {
        const auto outcome = co_await sendOrder(load);
        attempt.onOrderOutcome(outcome, m_clock.now());
        break;
    }
    }
}

/// Whether the engine is still registered and has not restarted since the load began, and an order may be given or has been given.
bool WeightOrders::mayContinue(const Load& load) const
{
    if (m_isStopped || (!load.attempt.isAwaitingConfirmation() && !m_hooks.mayOrder()))
        return false;
    const auto* registered = m_directory.registry().find(load.attempt.decision().engine);
    return registered && registered->startedAt == load.startedAt && registered->endpoint == load.endpoint;
}

void WeightOrders::finishLoad(const Load& load)
{
    const auto& decision = load.attempt.decision();
    const auto found = m_engines.find(decision.engine);
    if (found == m_engines.end())
        return;
    found->second.loadingModel = {};
    if (load.attempt.consecutiveFailures() > 0)
        found->second.backoffUntil = m_clock.now() + failureBackoff;
    if (!m_directory.registry().find(decision.engine)) {
        m_engines.erase(found);
        return;
    }
    const auto version = found->second.versions.find(decision.model);
    if (version != found->second.versions.end())
        m_scheduler.setWeightVersion(decision.engine, decision.model, version->second);
}

Task<Result<EngineReport>> WeightOrders::fetchReport(const TargetId& engine, const Endpoint& endpoint)
{
    m_hooks.onCall(engine);
    auto request = m_protocol.reportRequest();
    request.mayRepeat = true;
    request.maximumAnswerBytes = maximumAnswerBytes;
    const auto answer = co_await m_clients.client(0, endpoint)->send(std::move(request), m_clock.now() + callTimeout);
    if (!answer)
        co_return answer.as_failure();
    co_return m_protocol.engineReport(answer.value().body);
}

Task<std::optional<OrderOutcome>> WeightOrders::sendOrder(const Load& load)
{
    const auto& decision = load.attempt.decision();
    const LoadOrder order { decision.engine, decision.model, decision.version, LoadMode::Continue, m_settings.holder, m_settings.fence, load.attempt.acceptedOrders() };
    m_lastOrderAt = m_clock.now();
    m_hooks.onCall(decision.engine);
    auto request = m_protocol.loadOrder(order);
    request.maximumAnswerBytes = maximumAnswerBytes;
    const auto answer = co_await m_clients.client(0, load.endpoint)->send(std::move(request), m_clock.now() + callTimeout);
    std::optional<OrderOutcome> outcome;
    if (answer)
        outcome = m_protocol.orderOutcome(answer.value());
    logOrder(order, outcome);
    if (m_isStopped)
        co_return outcome;
    if (outcome == OrderOutcome::Fenced)
        m_hooks.onFenced();
    if (outcome == OrderOutcome::AlreadyHolds)
        addLoadedVersion(decision);
    co_return outcome;
}

} // namespace cicadalb
