#include "cicadalb/hosting/SiteHost.h"

#include "Coordination.h"
#include "CrashGuard.h"
#include "HostCall.h"
#include "MirrorClient.h"
#include "Pause.h"
#include "RecordMirror.h"
#include "RequestRelay.h"
#include "Retirement.h"
#include "SiteEndpoints.h"
#include "SiteParts.h"
#include "SiteState.h"
#include "UsageSender.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/services/DocumentMemory.h"
#include "cicadalb/transport/ProcessLimits.h"
#include "cicadalb/transport/WorkerPool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Interval at which queues and missing targets are checked.
    constexpr milliseconds tickInterval { 25 };
    constexpr milliseconds evictionInterval { 1000 };
    constexpr milliseconds drainPollInterval { 20 };
    /// Time for which idle connections to targets are kept; a trainer's next step comes within it ...
    constexpr milliseconds targetIdleTimeout { 4000 };
    /// ... and the limit for targets that state their own idle timeout.
    constexpr milliseconds longestTargetIdleTimeout { 30000 };
    /// Time for a connection to a target, after which a request that has not been sent yet is sent elsewhere: many round trips within a region, and
    /// less than the second after which TCP repeats its first packet.
    constexpr milliseconds targetConnectTimeout { 300 };
    /// Longer than the 12 s (four fifths of the site's limit of 15 s) for which callers reuse idle connections.
    constexpr milliseconds callerIdleTimeout { 30000 };
    constexpr std::uint64_t maximumBodyBytes = std::uint64_t { 32 } << 20U;
    /// Requests for readiness, metrics and state have short bodies or none.
    constexpr std::uint64_t maximumOperationsBodyBytes = std::uint64_t { 64 } << 10U;
    /// What a message between hosts adds to the body of the request that it carries.
    constexpr std::uint64_t maximumHostMessageOverhead = std::uint64_t { 1 } << 20U;
    /// Time before the end of the grace period at which requests in progress are answered without their targets.
    constexpr milliseconds answerMargin { 300 };
    /// Longest time for which a host that stops sends the usage counts that the coordinator does not have yet.
    constexpr milliseconds usageFlushTimeout { 600 };
    /// Longest time for a coordinator's hand-over at shutdown, including calls to the store.
    constexpr milliseconds handOverTimeout = Coordination::offerTime + Coordination::orderMargin + milliseconds(600);

    std::uint64_t seedOf(const HostId& host)
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::hash<HostId> {}(host) ^ static_cast<std::uint64_t>(now.count());
    }

    HttpClientOptions targetOptions()
    {
        HttpClientOptions options;
        options.idleTimeout = targetIdleTimeout;
        options.connectTimeout = targetConnectTimeout;
        options.maximumKeepAliveTimeout = longestTargetIdleTimeout;
        return options;
    }

    HttpListenerOptions listenerOptions(std::string name, const SocketAddress& address, std::uint64_t bodyBytes, std::size_t connections)
    {
        HttpListenerOptions options;
        options.name = std::move(name);
        options.address = address.address;
        options.port = address.port;
        options.idleTimeout = callerIdleTimeout;
        options.maximumBodyBytes = bodyBytes;
        options.maximumConnections = connections;
        return options;
    }

    HttpListenerOptions callerOptions(const SiteSettings& settings)
    {
        return listenerOptions("callers", settings.addresses.callers, maximumBodyBytes, connectionLimits(settings.work.descriptors).callers);
    }

    HttpListenerOptions hostOptions(const SiteSettings& settings)
    {
        const auto& address = hasMirror(settings) ? settings.addresses.mirrorListen : settings.addresses.standbyListen;
        return listenerOptions(hasMirror(settings) ? "mirror" : "standby", address, maximumBodyBytes + maximumHostMessageOverhead, connectionLimits(settings.work.descriptors).hosts);
    }

    HttpListenerOptions operationsOptions(std::string name, const SocketAddress& address, const SiteSettings& settings)
    {
        return listenerOptions(std::move(name), address, maximumOperationsBodyBytes, connectionLimits(settings.work.descriptors).operations);
    }

    /// Limits of the operator, and of @p defaults where the operator sets none.
    RequestLimits requestLimits(const CallerLimits& limits, const RequestLimits& defaults)
    {
        return { limits.maximumHeaderBytes.value_or(defaults.maximumHeaderBytes), limits.maximumBodyBytes.value_or(defaults.maximumBodyBytes),
            limits.headerTimeout.value_or(defaults.headerTimeout), limits.idleTimeout.value_or(defaults.idleTimeout) };
    }

    double secondsOf(std::optional<Duration> age) { return age ? std::chrono::duration<double>(*age).count() : -1; }

    /// Port of a listener, or "none".
    std::string portText(const std::optional<HttpListener>& listener)
    {
        return listener ? std::to_string(listener->port()) : "none";
    }

} // namespace

class SiteHost::Implementation {
public:
    Implementation(SiteSettings settings, std::unique_ptr<SiteProtocol> protocol, const StoreFactory& makeStore)
        : m_settings(std::move(settings))
        , m_seed(seedOf(m_settings.host.id))
        , m_protocol(std::move(protocol))
        , m_workers(1)
        , m_executor(m_workers.context(0).get_executor())
        , m_store(makeStore(m_executor, Endpoint { m_settings.addresses.store.address, m_settings.addresses.store.port }))
        , m_clients(m_workers, targetOptions())
        , m_mirrorClient(makeMirrorClient(m_executor, m_settings, m_clock))
        , m_directory(m_executor, *m_store, *m_protocol, m_clock, directorySettings(m_settings, m_mirrorClient, m_seed, m_bootClock))
        , m_permits(m_executor, { m_settings.host.id, otherCandidates(m_settings).size() + 1 }, makeHttpPermitExchange(m_executor, otherCandidates(m_settings), [this] { return unlistedCoordinator(); }), *m_protocol, m_clock)
        , m_crashGuard(std::make_shared<CrashGuard>(m_executor, *m_store, m_settings.host.id))
        , m_reachability(std::make_shared<TargetReachability>(m_executor, m_directory, makeTargetProbe(m_clients), m_clock, m_seed))
        , m_forwarder(m_directory, *m_protocol, m_clients, m_permits, *m_crashGuard, m_clock, m_reachability.get())
        , m_usageCounter(usageSettings(m_settings).windows, [] { return std::chrono::system_clock::now(); })
        , m_usageSender(std::make_shared<UsageSender>(m_executor, m_usageCounter, makeUsageExchange(), m_clock, deliverySettings(m_settings, m_seed)))
        , m_relay(makeRelay(m_executor, m_settings, m_clock))
        , m_relayEndpoint(m_directory, *m_protocol, m_forwarder, *m_reachability, KeyValidity(m_settings.work.keyValidity))
        , m_intake(*m_store)
        , m_reader(m_executor, *m_store, m_clock)
        , m_streamOrigins(std::make_shared<StreamOrigins>(m_executor, *m_store, m_bootClock))
        , m_endpoints({ m_settings.host.id, m_seed, KeyValidity(m_settings.work.keyValidity) }, m_directory, *m_protocol, m_forwarder, m_intake, m_reader, *m_streamOrigins, m_metrics, m_clock, &m_relay)
        , m_adminListener(m_workers, operationsOptions("admin", m_settings.addresses.admin, m_settings), [this](auto& request, auto& responder) { return serveAdmin(request, responder); })
    {
        MessageMemory::ofProcess()->setCapacity(messageCapacity(std::size_t { m_settings.work.memoryMebibytes } << 20U));
        const auto serve = [this](auto& request, auto& responder) { return m_endpoints.serve(request, responder); };
        if (m_settings.parts.serving) {
            m_callerListener.emplace(m_workers, callerOptions(m_settings), serve);
            m_readyListener.emplace(m_workers, operationsOptions("ready", m_settings.addresses.ready, m_settings), serve);
        }
        if (hasMirror(m_settings))
            m_mirror = std::make_shared<RecordMirror>(m_executor, m_bootClock);
        if (hasMirror(m_settings) || !m_settings.addresses.standbyListen.address.empty())
            m_hostListener.emplace(m_workers, hostOptions(m_settings), [this](auto& request, auto& responder) { return serveHosts(request, responder); });
        m_coordination = std::make_shared<Coordination>(m_executor, *m_store, *m_protocol, m_directory, m_clients, m_permits, *m_crashGuard, m_clock, coordinationSettings(m_executor, m_settings, m_mirrorClient, *m_reachability, m_seed));
    }

    ~Implementation() { m_workers.stop(); }

    Result<void> start()
    {
        auto started = m_adminListener.start();
        if (started && m_readyListener)
            started = m_readyListener->start();
        if (started && m_callerListener)
            started = m_callerListener->start();
        if (started && m_hostListener)
            started = m_hostListener->start();
        if (!started)
            return started;
        asio::post(m_executor, [this] { startWork(); });
        logEvent(Event::ProcessStarted, { { "host", m_settings.host.id.value() }, { "failure-domain", m_settings.host.failureDomain.value() }, { "coordinating", m_settings.parts.coordinating ? "yes" : "no" }, { "callers", portText(m_callerListener) }, { "ready", portText(m_readyListener) }, { "admin", std::to_string(m_adminListener.port()) } });
        return success();
    }

    void reload(const SiteSettings& settings)
    {
        setLogLevel(settings.log.level);
        logEvent(Event::SettingsReloaded, { { "host", m_settings.host.id.value() } });
    }

    bool shutDown()
    {
        logEvent(Event::ProcessStopping, { { "host", m_settings.host.id.value() } });
        const auto begunAt = m_clock.now();
        const auto limit = begunAt + m_settings.shutdown.gracePeriod;
        const auto endsAt = limit - std::min(answerMargin, m_settings.shutdown.gracePeriod / 2);
        asio::post(m_executor, [this, endsAt] {
            m_endpoints.beginStopping(endsAt);
            m_relayEndpoint.beginStopping();
        });
        if (m_callerListener)
            m_callerListener->beginDraining();
        const auto handedOver = asio::co_spawn(m_executor, m_coordination->handOver(), asio::use_future);
        if (m_callerListener) {
            std::this_thread::sleep_until(std::min(begunAt + m_settings.shutdown.unreadyPeriod, endsAt));
            m_callerListener->stopAccepting();
        }
        awaitRequests(endsAt);
        handedOver.wait_until(std::min(begunAt + handOverTimeout, endsAt));
        asio::post(m_executor, [this] {
            m_endpoints.endRequests();
            m_relayEndpoint.endRequests();
            m_directory.refuseQueued();
        });
        const bool isDrained = awaitRequests(limit);
        asio::co_spawn(m_executor, m_usageSender->flush(usageFlushTimeout), asio::use_future).wait_for(usageFlushTimeout + drainPollInterval);
        logEvent(Event::ProcessStopped, { { "host", m_settings.host.id.value() }, { "drained", isDrained ? "yes" : "no" } });
        return isDrained;
    }

private:
    void startWork()
    {
        m_usageCounter.setChangeHandler([this] { m_usageSender->tick(); });
        m_forwarder.setUsageCounter(m_usageCounter);
        m_directory.setChangeHandler([this] {
            applyLimits();
            m_coordination->onSiteChanged();
        });
        if (m_mirror) {
            m_mirror->setCompleteAsOfSource([this](const auto& prefix) { return completeAsOf(prefix); });
            const auto apply = [this](const auto& update) { m_mirror->apply(update); };
            m_mirror->setOutdatedCheck([this](const auto& entry) { return m_directory.isOutdated(entry); });
            m_directory.setUpdateHandler(apply);
            m_coordination->setUpdateHandler(apply);
            m_mirror->setCoordinationSource([this] { return m_coordination->state(); });
            m_directory.setRestoredHandler([this] { restartWatches(); });
            m_mirror->setSuspectsSource([this]() -> const SuspectList& { return m_crashGuard->suspects(); });
            m_crashGuard->setChangeHandler([this] { m_mirror->onSuspectsChanged(); });
        }
        if (hasMirror(m_settings) || m_mirrorClient.mirrorCount() == 0)
            watchCrashes();
        else
            followSuspects();
        m_directory.start();
        asio::co_spawn(m_executor, tickPeriodically(), asio::detached);
        m_coordination->start();
        if (m_coordination->isStandby())
            return;
        m_retirement = std::make_shared<Retirement>(m_executor, *m_store, *m_protocol, m_coordination, m_clock, m_settings.host.id);
        m_retirement->start();
    }

    void applyLimits()
    {
        const auto view = m_directory.view();
        if (!view)
            return;
        const auto& limits = view->configuration.limits;
        if (m_callerListener)
            m_callerListener->setLimits(requestLimits(limits, callerOptions(m_settings)));
        if (!m_hostListener)
            return;
        auto hostLimits = hostOptions(m_settings);
        hostLimits.maximumBodyBytes = limits.maximumBodyBytes.value_or(maximumBodyBytes) + maximumHostMessageOverhead;
        m_hostListener->setLimits(hostLimits);
    }

    void followSuspects()
    {
        m_mirrorClient.setSuspectsHandler([this](const SuspectList& list) { m_crashGuard->applySuspects(list); });
        m_crashGuard->setRefreshCondition([this] { return !m_mirrorClient.isUsable(); });
    }

    void watchCrashes()
    {
        const auto apply = [this](bool isSnapshot) {
            return [this, isSnapshot](const WatchResult& result, Duration) { m_crashGuard->applyRecords(result, isSnapshot); };
        };
        m_crashWatch = std::make_shared<RecordWatch>(m_executor, *m_store, m_clock, RecordWatchSettings { CrashGuard::keyPrefix() }, RecordWatchHandler { apply(true), apply(false), {} });
        m_crashWatch->start();
    }

    /// Repeats the calls that wait for long; they may have been made before or during the outage, and then may never be answered.
    void restartWatches()
    {
        m_coordination->restartWatches();
        if (m_retirement)
            m_retirement->restartWatch();
        if (m_crashWatch)
            m_crashWatch->restart();
    }

    std::optional<TimePoint> completeAsOf(const std::string& prefix) const
    {
        if (prefix == Coordination::holderKeyPrefix())
            return m_coordination->holderCompleteAsOf();
        return m_directory.completeAsOf(prefix);
    }

    /// Waits until no caller is connected and no request of another host is forwarded. @return whether all requests have been answered
    bool awaitRequests(TimePoint limit)
    {
        const auto relayed = [this] { return asio::co_spawn(
                                          m_executor, [this]() -> Task<std::size_t> { co_return m_relayEndpoint.requestsInFlight(); }, asio::use_future)
                                          .get(); };
        while (((m_callerListener && m_callerListener->connections() > 0) || relayed() > 0) && m_clock.now() < limit)
            std::this_thread::sleep_for(drainPollInterval);
        return (!m_callerListener || m_callerListener->requestsInFlight() == 0) && relayed() == 0;
    }

    Task<void> tickPeriodically()
    {
        auto nextEvictionAt = m_clock.now() + evictionInterval;
        while (true) {
            co_await pause(m_executor, tickInterval);
            m_directory.tick();
            m_coordination->observeCandidates();
            m_usageSender->tick();
            if (m_clock.now() < nextEvictionAt)
                continue;
            nextEvictionAt = m_clock.now() + evictionInterval;
            m_clients.closeUnused(0);
            m_reader.evictUnused();
            m_permits.retain(m_directory.registry());
            if (m_coordination->isCoordinating())
                asio::co_spawn(m_executor, m_crashGuard->deleteExpiredRecords(), asio::detached);
        }
    }

    /// Answers requests of other hosts.
    Task<void> serveHosts(ServerRequest& request, ServerResponder& responder)
    {
        const bool isRelayed = request.path == relayPath || request.path == organisationRelayPath;
        const auto memory = reserveDocument("message of a host", cborDocumentBytes(request.body) + (isRelayed ? request.body.size() : 0));
        if (!memory) {
            HttpResponse refusal;
            refusal.status = 503;
            co_await responder.send(std::move(refusal));
            co_return;
        }
        if (isRelayed) {
            co_await m_relayEndpoint.serve(request, responder);
            co_return;
        }
        if (request.path == reachabilityPath) {
            const auto isReached = co_await m_reachability->reachesTargets();
            HttpResponse answer;
            answer.status = 200;
            answer.body = isReached ? reachableReply : "cut-off";
            co_await responder.send(std::move(answer));
            co_return;
        }
        if (request.path == usagePath) {
            co_await serveUsage(request, responder);
            co_return;
        }
        if (request.path != permitPath) {
            co_await serveRecords(request, responder);
            co_return;
        }
        m_coordination->checkLease();
        const auto question = decodePermitRequest(request.body);
        HttpResponse response;
        response.status = question ? 200 : 400;
        response.body = question ? encodePermitReply(m_permits.answer(question.value())) : question.error().message;
        co_await responder.send(std::move(response));
    }

    Task<void> serveRecords(ServerRequest& request, ServerResponder& responder)
    {
        if (m_mirror) {
            co_await m_mirror->serve(request, responder);
            co_return;
        }
        HttpResponse response;
        response.status = 404;
        co_await responder.send(std::move(response));
    }

    /// Address of the coordinator, if it is another process that the settings do not list.
    std::optional<Endpoint> unlistedCoordinator() const
    {
        if (m_coordination->isCoordinating())
            return std::nullopt;
        const auto holder = m_coordination->holder();
        return unlistedEndpoint(m_settings, holder ? holder->address : m_mirrorClient.coordinatorAddress());
    }

    UsageExchange makeUsageExchange()
    {
        const auto own = [this](const auto& message) { return collectUsage(message); };
        const auto unlisted = [this] { return unlistedCoordinator(); };
        return makeHttpUsageExchange(m_executor, otherCandidates(m_settings), own, unlisted);
    }

    UsageReply collectUsage(const UsageMessage& message)
    {
        auto reply = m_coordination->collectUsage(message);
        // A standby may lack the duties that the candidates have.
        reply.isReporting = m_coordination->isStandby() || m_settings.parts.hasDuty(Duty::Metering);
        return reply;
    }

    Task<void> serveUsage(ServerRequest& request, ServerResponder& responder)
    {
        const auto message = decodeUsageMessage(request.body);
        HttpResponse response;
        response.status = message ? 200 : 400;
        response.body = message ? encodeUsageReply(collectUsage(message.value())) : message.error().message;
        co_await responder.send(std::move(response));
    }

    Task<void> serveAdmin(ServerRequest& request, ServerResponder& responder)
    {
        HttpResponse response;
        response.status = 200;
        if (request.path == "/metrics") {
            response.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
            response.body = metricsText();
        } else if (request.path == "/state") {
            response.fields.emplace_back("Content-Type", "application/json");
            response.body = state().dump();
        } else if (request.path == "/withdraw-suspicion" && request.method == "POST") {
            const auto withdrawn = co_await m_crashGuard->withdraw(RequestFingerprint(request.body));
            response.status = withdrawn ? 200 : 503;
        } else {
            response.status = 404;
        }
        co_await responder.send(std::move(response));
    }

    std::string metricsText()
    {
        const auto view = m_directory.view();
        m_metrics.setGauge("cicadalb_ready", "1 if the host accepts requests", m_endpoints.isReady() ? 1 : 0);
        m_metrics.setGauge("cicadalb_configuration_number", "Version of the configuration in force", view ? static_cast<double>(view->configuration.version) : 0);
        // -1: no answer from the store or a mirror yet.
        m_metrics.setGauge("cicadalb_configuration_age_seconds", "Time since the configuration was last known to be the newest", secondsOf(m_directory.configurationAge()));
        m_metrics.setGauge("cicadalb_registry_age_seconds", "Time since the registry of targets was last known to be complete", secondsOf(m_directory.registryAge()));
        m_metrics.setGauge("cicadalb_cut_off", "1 if this host reaches no target", m_reachability->isCutOff() ? 1 : 0);
        m_metrics.setGauge("cicadalb_targets", "Targets in the registry", static_cast<double>(m_directory.registry().targets().size()));
        m_metrics.setGauge("cicadalb_message_bytes", "Memory of connections, and of the requests, answers and texts that are being read or have not been passed on", static_cast<double>(MessageMemory::ofProcess()->used()));
        m_metrics.setGauge("cicadalb_messages_refused", "Requests and answers since the start for which there was no memory", static_cast<double>(MessageMemory::ofProcess()->refusals()));
        m_metrics.setGauge("cicadalb_limited_targets", "Targets that state a limit on requests a second", static_cast<double>(m_permits.limits().size()));
        const auto suspects = m_crashGuard->knownSuspects();
        m_metrics.setGauge("cicadalb_suspect_requests", "Requests under which two targets or more have crashed", static_cast<double>(suspects.size()));
        m_metrics.setGauge("cicadalb_blocked_requests", "Requests that are refused because targets crash under them", static_cast<double>(std::count_if(suspects.begin(), suspects.end(), [](const auto& suspect) { return suspect.isBlocked; })));
        m_metrics.setGauge("cicadalb_stream_records_waiting", "Records of streams that the store has not accepted yet", static_cast<double>(m_streamOrigins->waitingRecords()));
        m_metrics.setGauge("cicadalb_stream_records_stored", "Records of streams stored since the start", static_cast<double>(m_streamOrigins->storedRecords()));
        m_metrics.setGauge("cicadalb_coordinating", "1 if the host coordinates submissions", m_coordination->isCoordinating() ? 1 : 0);
        // -1: somebody holds the lease, or this host does not watch it.
        m_metrics.setGauge("cicadalb_coordinator_vacant_seconds", "Time for which this host has seen nobody hold the coordinator's lease", secondsOf(m_coordination->vacantFor()));
        m_metrics.setGauge("cicadalb_samples_running", "Samples running on engines", static_cast<double>(m_coordination->runningSamples()));
        m_metrics.setGauge("cicadalb_prompt_waits", "Times that a sample waited although an engine had a free slot, because of the prompts that it reads", static_cast<double>(m_coordination->prefillWaits()));
        m_metrics.setGauge("cicadalb_samples_waiting", "Samples waiting for an engine", static_cast<double>(m_coordination->waitingSamples()));
        m_metrics.setGauge("cicadalb_placement_paused", "1 if the coordinator places no samples because it is behind", m_coordination->isPlacementPaused() ? 1 : 0);
        m_metrics.setGauge("cicadalb_coordinator_loop_delay_seconds", "Time that the coordinator's event loop last took to get to an action that was ready", std::chrono::duration<double>(m_coordination->loopDelay()).count());
        const auto* usage = m_coordination->usageReports();
        m_metrics.setGauge("cicadalb_usage_windows_reported", "Usage reports accepted since this host began to coordinate", usage ? static_cast<double>(usage->totals().accepted) : 0);
        m_metrics.setGauge("cicadalb_usage_windows_late", "Usage reports accepted after they were due", usage ? static_cast<double>(usage->totals().late) : 0);
        m_metrics.setGauge("cicadalb_usage_windows_unsent", "Usage reports that are fixed and not accepted yet", usage ? static_cast<double>(usage->unsentReports()) : 0);
        const auto last = usage ? usage->lastReport() : std::nullopt;
        m_metrics.setGauge("cicadalb_usage_last_window", "Window of the usage report that was sent last", last ? static_cast<double>(last->window) : 0);
        m_metrics.setGauge("cicadalb_usage_last_requests", "Requests in the usage report that was sent last", last ? static_cast<double>(last->requests) : 0);
        m_metrics.setGauge("cicadalb_usage_last_hosts_missing", "Hosts whose last counts may be missing in it; -1 if not known", last && last->sources ? static_cast<double>(last->sources->missing.size()) : -1);
        m_metrics.setGauge("cicadalb_usage_counts_unsent", "1 if the coordinator does not have all counts of this host", m_usageSender->isDelivered() ? 0 : 1);
        const auto capacity = m_coordination->capacity();
        m_metrics.setGauge("cicadalb_engines_needed", "Engines that the work needs in pools whose engines this host orders", capacity.needed);
        m_metrics.setGauge("cicadalb_engines_ordered", "Engines that this host has ordered", capacity.ordered);
        m_metrics.setGauge("cicadalb_engines_registered", "Registered engines of these pools that do not leave", capacity.registered);
        setOrderMetrics(m_coordination->capacityOrders() ? m_coordination->capacityOrders()->totals() : CapacityTotals {});
        return m_metrics.text();
    }

    void setOrderMetrics(const CapacityTotals& totals)
    {
        m_metrics.setGauge("cicadalb_engine_orders_raised", "Accepted orders for more engines since this host began to coordinate", static_cast<double>(totals.raised));
        m_metrics.setGauge("cicadalb_engine_orders_lowered", "Accepted orders that give engines up", static_cast<double>(totals.lowered));
        m_metrics.setGauge("cicadalb_engine_orders_repeated", "Accepted orders that repeat an earlier one", static_cast<double>(totals.repeated));
        m_metrics.setGauge("cicadalb_engine_orders_refused", "Orders that the platform refused", static_cast<double>(totals.refused));
        m_metrics.setGauge("cicadalb_engine_orders_unanswered", "Orders without an answer that were executed or not", static_cast<double>(totals.unanswered));
    }

    nlohmann::json state() const
    {
        const auto view = m_directory.view();
        nlohmann::json targets = nlohmann::json::object();
        for (const auto& [id, target] : m_directory.registry().targets())
            targets[id.value()] = { { "pool", target.pool.value() }, { "leaving", target.isDraining }, { "models", target.models } };
        nlohmann::json suspects = nlohmann::json::object();
        for (const auto& suspect : m_crashGuard->knownSuspects())
            suspects[suspect.request.value()] = { { "crashes", suspect.crashes }, { "blocked", suspect.isBlocked } };
        nlohmann::json requestLimits = nlohmann::json::object();
        for (const auto& [id, requestsPerSecond] : m_permits.limits().all())
            requestLimits[id.value()] = requestsPerSecond;
        nlohmann::json organisations = nlohmann::json::object();
        if (view) {
            for (const auto& organisation : view->configuration.organisations)
                organisations[organisation.name.value()] = { { "keys", organisation.keyDigests.size() } };
        }
        return {
            { "host", m_settings.host.id.value() },
            { "ready", m_endpoints.isReady() },
            { "configuration", view ? view->configuration.version : 0 },
            { "registry-revision", m_directory.registryRevision() },
            { "organisations", organisations },
            { "targets", targets },
            { "cut-off", m_reachability->isCutOff() },
            { "request-limits", requestLimits },
            { "suspect-requests", suspects },
            { "coordinating", m_coordination->isCoordinating() },
            { "standby", m_coordination->isStandby() },
            { "open-submissions", m_coordination->openSubmissions() },
            { "site", toJson(observeSite(m_directory, m_permits, m_coordination.get(), m_usageSender->isDelivered())) },
        };
    }

    SiteSettings m_settings;
    std::uint64_t m_seed;
    std::unique_ptr<SiteProtocol> m_protocol;
    SteadyClock m_clock;
    Metrics m_metrics;
    WorkerPool m_workers;
    asio::any_io_executor m_executor;
    std::unique_ptr<TransactionalStore> m_store;
    TargetClients m_clients;
    BootClock m_bootClock;
    MirrorClient m_mirrorClient;
    SiteDirectory m_directory;
    RequestPermits m_permits;
    std::shared_ptr<CrashGuard> m_crashGuard;
    std::shared_ptr<TargetReachability> m_reachability;
    RequestForwarder m_forwarder;
    UsageCounter m_usageCounter;
    std::shared_ptr<UsageSender> m_usageSender;
    RequestRelay m_relay;
    RelayEndpoint m_relayEndpoint;
    SubmissionIntake m_intake;
    ResultReader m_reader;
    std::shared_ptr<StreamOrigins> m_streamOrigins;
    SiteEndpoints m_endpoints;
    HttpListener m_adminListener;
    std::shared_ptr<RecordMirror> m_mirror;
    /// Serves other hosts.
    std::optional<HttpListener> m_hostListener;
    std::optional<HttpListener> m_callerListener;
    std::optional<HttpListener> m_readyListener;
    std::shared_ptr<Coordination> m_coordination;
    std::shared_ptr<Retirement> m_retirement;
    std::shared_ptr<RecordWatch> m_crashWatch;
};

SiteHost::SiteHost(SiteSettings settings, std::unique_ptr<SiteProtocol> protocol, const StoreFactory& makeStore)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(protocol), makeStore))
{
}

SiteHost::~SiteHost() = default;
Result<void> SiteHost::start() { return m_implementation->start(); }
void SiteHost::reload(const SiteSettings& settings) { m_implementation->reload(settings); }
bool SiteHost::shutDown() { return m_implementation->shutDown(); }

} // namespace cicadalb
