#include "cicadalb/transport/HostProcess.h"

#include "AdminEndpoints.h"
#include "BalancerEngineSelector.h"
#include "ConfigurationExchange.h"
#include "HostOptions.h"
#include "PeerClient.h"
#include "StateReport.h"
#include "StepEndpoints.h"
#include "WeightEndpoint.h"
#include "WeightsController.h"

#include "cicadalb/base/Cbor.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/config/OperatorProof.h"
#include "cicadalb/rollout/StepService.h"
#include "cicadalb/services/HttpHostList.h"
#include "cicadalb/services/HttpKeyValueService.h"
#include "cicadalb/services/RateLimitedKeyValueService.h"
#include "cicadalb/transport/EngineHttpClient.h"
#include "cicadalb/transport/PeerLink.h"
#include "cicadalb/transport/ProcessLimits.h"
#include "cicadalb/transport/RequestDispatcher.h"
#include "cicadalb/transport/TargetMonitor.h"
#include "cicadalb/transport/UdpMembership.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <chrono>
#include <thread>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr auto subsetUpdateInterval = std::chrono::milliseconds(500);
    constexpr auto drainPollInterval = std::chrono::milliseconds(20);
    constexpr auto unusedConnectionsInterval = std::chrono::milliseconds(1000);

    std::int64_t unixSeconds()
    {
        return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    }

    std::vector<SubsetHost> toSubsetHosts(const std::vector<AssignableHost>& hosts)
    {
        std::vector<SubsetHost> subset;
        subset.reserve(hosts.size());
        for (const auto& host : hosts)
            subset.push_back(SubsetHost { host.id, host.failureDomain, host.weight });
        return subset;
    }

    /// Milliseconds since the epoch, so that each start of a process has a higher incarnation than the previous one.
    Incarnation newIncarnation()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

} // namespace

class HostProcess::Implementation {
public:
    explicit Implementation(Settings settings)
        : m_settings(std::move(settings))
        , m_incarnation(newIncarnation())
        , m_workers(threadCount(m_settings.host))
        , m_controlWorkers(1)
        , m_clients(m_workers)
        , m_controlClients(m_controlWorkers)
        , m_keyValue(m_controlWorkers.context(0).get_executor(), toEndpoint(m_settings.platform.keyValue))
        , m_rateLimitedKeyValue(m_keyValue, m_clock, CallLimiterSettings {}, m_incarnation)
        , m_hostList(m_controlWorkers.context(0).get_executor(), toEndpoint(m_settings.platform.hostList))
        , m_routing(m_settings.host.id, BalancerOptions { m_settings.host.failureDomain, m_incarnation }, m_clock)
        , m_claimLog(m_controlWorkers.context(0).get_executor(), m_rateLimitedKeyValue, m_clock, unixSeconds, claimSettings(m_settings, m_incarnation))
        , m_keyedRequests(m_claimLog)
        , m_dispatcher(DispatcherOptions { m_settings.host.id, m_incarnation, m_settings.limits.inFlight }, m_routing, m_clients, m_keyedRequests, m_metrics, m_clock)
        , m_monitor(std::make_shared<TargetMonitor>(TargetMonitorOptions {}, m_routing, m_controlClients, 0, m_hostList,
              [this](const auto& pool, const auto& engine, auto version) { m_steps.reportWeights(pool, engine, version); }))
        , m_engines(m_controlClients, 0, [this](const TargetId& target) { return engineEndpoint(target); })
        , m_engineSelector(m_routing)
        , m_steps(m_controlWorkers.context(0).get_executor(), m_engines, m_engineSelector, m_clock)
        , m_links(linkSettings(m_settings, m_incarnation), [this](const auto&, auto request, auto reply) { servePeer(std::move(request), std::move(reply)); })
        , m_peerClient(m_links)
        , m_configurationWatcher(m_controlWorkers.context(0).get_executor(), m_keyValue, m_incarnation, [this](const auto& adopted) { m_routing.apply(*adopted); })
        , m_configurationExchange(m_configurationWatcher, m_peerClient)
        , m_stepEndpoints(
              m_settings.host.id, m_controlWorkers.context(0).get_executor(), m_steps, m_routing, [this] { return assignment(); }, m_peerClient)
        , m_weightsController(
              m_controlWorkers.context(0).get_executor(), weightsOptions(m_settings, m_incarnation), m_rateLimitedKeyValue, m_engines, m_routing, [this] { return assignment(); }, m_clock)
        , m_weightEndpoint(m_settings.host.id, m_controlWorkers.context(0).get_executor(), m_weightsController.registry(), m_routing)
        , m_proofChecker(m_settings.secret)
        , m_adminEndpoints(adminSources())
        , m_callerListener(m_workers, callerOptions(m_settings), [this](auto& request, auto& responder) { return serveCaller(request, responder); })
        , m_adminListener(m_controlWorkers, adminOptions(m_settings), [this](auto& request, auto& responder) { return m_adminEndpoints.serve(request, responder); })
    {
        MessageMemory::ofProcess()->setCapacity(messageCapacity(std::size_t { m_settings.limits.memoryMebibytes } << 20U));
    }

    ~Implementation()
    {
        m_monitor->stop();
        m_configurationWatcher.stop();
        m_configurationExchange.stop();
        m_weightsController.stop();
        m_steps.stop();
        m_links.stop();
        if (m_membership)
            m_membership->stop();
        m_workers.stop();
        m_controlWorkers.stop();
    }

    Result<void> start()
    {
        auto started = startListening();
        if (!started)
            return started;
        m_monitor->start();
        spawn(m_configurationWatcher.run([this] { return shouldWatchConfiguration(); }));
        spawn(m_configurationExchange.run(*m_membership));
        spawn(m_steps.run());
        spawn(m_weightsController.run());
        spawn(updateTargetSubsets());
        spawn(closeUnusedConnections());
        logEvent(Event::ProcessStarted, { { "host", m_settings.host.id.value() }, { "callers", std::to_string(m_callerListener.port()) }, { "admin", std::to_string(m_adminListener.port()) } });
        return success();
    }

    HostPorts ports() const
    {
        return HostPorts { m_callerListener.port(), m_adminListener.port(), m_links.port(), m_membership->port() };
    }

    bool shutDown()
    {
        logEvent(Event::ProcessStopping, { { "host", m_settings.host.id.value() } });
        m_isStopping = true;
        m_callerListener.beginDraining();
        std::this_thread::sleep_for(m_settings.shutdown.unreadyPeriod);
        handOverCoordination();
        m_callerListener.stopAccepting();
        const bool isDrained = waitUntilDrained();
        logEvent(Event::ProcessStopped, { { "host", m_settings.host.id.value() }, { "drained", isDrained ? "yes" : "no" } });
        return isDrained;
    }

private:
    Result<void> startListening()
    {
        auto started = m_adminListener.start();
        if (started)
            started = m_callerListener.start();
        std::string error;
        if (started && !m_links.start(error))
            started = failure(ErrorCode::Unavailable, error, toText(m_settings.peers.listen));
        if (!started)
            return started;
        m_membership = std::make_unique<UdpMembership>(m_controlWorkers.context(0).get_executor(),
            membershipSettings(m_settings, m_incarnation, m_links.port(), m_adminListener.port()));
        m_membership->setChangeHandler([this](const Member& member) { handleMemberChange(member); });
        return m_membership->start();
    }

    /// Hands over what this host coordinates to other hosts: leaves the membership, so that the assignment moves, then gives up the leases of
    /// weight rollouts and stops coordinating steps.
    void handOverCoordination()
    {
        auto leaveResult = asio::co_spawn(m_controlWorkers.context(0), m_membership->leave(), asio::use_future);
        leaveResult.wait();
        m_weightsController.stop();
        m_steps.stop();
    }

    bool waitUntilDrained()
    {
        const auto deadline = std::chrono::steady_clock::now() + m_settings.shutdown.gracePeriod;
        while (m_callerListener.connections() > 0 && std::chrono::steady_clock::now() < deadline)
            std::this_thread::sleep_for(drainPollInterval);
        return m_callerListener.requestsInFlight() == 0;
    }

    void spawn(Task<void> task)
    {
        asio::co_spawn(m_controlWorkers.context(0), std::move(task), asio::detached);
    }

    void handleMemberChange(const Member& member)
    {
        if (member.isPresent())
            m_links.setPeer(member.id.value(), member.details.address, member.details.peerPort);
        else
            m_links.removePeer(member.id.value());
    }

    /// Recomputes this host's subsets of the targets of large pools whenever the assignment changes.
    Task<void> updateTargetSubsets()
    {
        std::uint64_t appliedVersion = 0;
        asio::steady_timer timer(m_controlWorkers.context(0));
        while (!m_isStopping) {
            const auto view = m_membership->view();
            if (view->version != appliedVersion)
                m_routing.setSubsetHosts(toSubsetHosts(view->assignment->hosts()));
            appliedVersion = view->version;
            timer.expires_after(subsetUpdateInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    Task<void> closeUnusedConnections()
    {
        asio::steady_timer timer(m_controlWorkers.context(0));
        while (!m_isStopping) {
            timer.expires_after(unusedConnectionsInterval);
            co_await timer.async_wait(asio::use_awaitable);
            m_controlClients.closeUnused(0);
            for (std::size_t worker = 0; worker < m_workers.size(); ++worker)
                asio::post(m_workers.context(worker), [this, worker] { m_clients.closeUnused(worker); });
        }
    }

    std::shared_ptr<const Assignment> assignment() const { return m_membership->view()->assignment; }

    std::optional<Endpoint> engineEndpoint(const TargetId& id) const
    {
        const auto snapshot = m_routing.snapshot();
        if (!snapshot)
            return std::nullopt;
        const auto found = snapshot->endpoints.find(id);
        return found == snapshot->endpoints.end() ? std::nullopt : std::optional<Endpoint>(found->second);
    }

    Task<void> serveCaller(ServerRequest& request, ServerResponder& responder)
    {
        if (StepEndpoints::handles(request))
            return m_stepEndpoints.serve(request, responder);
        if (WeightEndpoint::handles(request))
            return m_weightEndpoint.serve(request, responder);
        return m_dispatcher.serve(request, responder);
    }

    /// Called on the links' thread; runs the request on the control thread.
    void servePeer(PeerRequest request, PeerReplyCallback reply)
    {
        spawn(answerPeer(std::move(request), std::move(reply)));
    }

    Task<void> answerPeer(PeerRequest request, PeerReplyCallback reply)
    {
        auto result = co_await executePeerRequest(std::move(request));
        reply(toPeerAnswer(result));
    }

    Task<Result<nlohmann::json>> executePeerRequest(PeerRequest request)
    {
        auto body = jsonFromCbor(request.body);
        if (!body)
            co_return failure(ErrorCode::MessageInvalid, "the request is not valid CBOR", "link");
        switch (request.kind) {
        case PeerRequestKind::SubmitStep:
        case PeerRequestKind::PullBatch:
            co_return co_await m_stepEndpoints.serveForwarded(request.kind, std::move(*body));
        case PeerRequestKind::State:
            co_return state();
        case PeerRequestKind::FetchConfiguration:
            co_return m_configurationExchange.serveFetch(*body);
        }
        co_return failure(ErrorCode::MessageInvalid, "unknown kind of request", "link");
    }

    AdminSources adminSources()
    {
        AdminSources sources;
        sources.isReady = [this] { return isReady(); };
        sources.metricsText = [this] { return metricsText(); };
        sources.state = [this] { return state(); };
        sources.hasProof = [this](const ServerRequest& request) { return hasProof(request); };
        return sources;
    }

    std::string metricsText()
    {
        const auto snapshot = m_routing.snapshot();
        m_metrics.setGauge("cicadalb_ready", "1 if the host takes work", isReady() ? 1 : 0);
        m_metrics.setGauge("cicadalb_configuration_number", "Number of the configuration in force", snapshot ? static_cast<double>(snapshot->number) : 0);
        m_metrics.setGauge("cicadalb_requests_in_flight", "Requests being served", static_cast<double>(m_dispatcher.inFlight()));
        m_metrics.setGauge("cicadalb_message_bytes", "Memory of connections, and of the requests and answers that are being read or have not been passed on", static_cast<double>(MessageMemory::ofProcess()->used()));
        m_metrics.setGauge("cicadalb_messages_refused", "Requests and answers since the start for which there was no memory", static_cast<double>(MessageMemory::ofProcess()->refusals()));
        m_metrics.setGauge("cicadalb_hosts_present", "Hosts that take assignments, this one included", static_cast<double>(m_membership->view()->presentCount));
        m_metrics.setGauge("cicadalb_steps_coordinated", "Steps that this host coordinates", static_cast<double>(m_steps.progress().size()));
        m_metrics.setGauge("cicadalb_claim_writes", "Writes of claims since the start", static_cast<double>(m_claimLog.counters().writes));
        m_metrics.setGauge("cicadalb_key_value_calls", "Calls to the key-value service since the start", static_cast<double>(m_rateLimitedKeyValue.state().callsMade));
        return m_metrics.text();
    }

    bool hasProof(const ServerRequest& request)
    {
        const auto path = request.query.empty() ? request.path : request.path + "?" + request.query;
        return m_proofChecker.check(OperatorCall { request.method, path }, request.field(operatorProofHeader), unixSeconds()).has_value();
    }

    bool isReady() const { return !m_isStopping && m_routing.snapshot() != nullptr; }

    nlohmann::json state() const
    {
        nlohmann::json pools = nlohmann::json::object();
        m_routing.forEachBalancer([&pools](const SharedPoolBalancer& balancer) { pools[balancer.name().value()] = toReport(balancer); });
        const auto snapshot = m_routing.snapshot();
        return {
            { "host", m_settings.host.id.value() },
            { "failure-domain", m_settings.host.failureDomain.value() },
            { "incarnation", m_incarnation },
            { "ready", isReady() },
            { "configuration", snapshot ? snapshot->number : 0 },
            { "refused-edits", toReport(m_configurationWatcher.refusedEdits()) },
            { "in-flight", m_dispatcher.inFlight() },
            { "connections", m_callerListener.connections() },
            { "pools", pools },
            { "steps", toReport(m_steps.progress()) },
            { "weights", m_weightsController.state() },
            { "claims", toReport(m_claimLog.counters()) },
            { "key-value", toReport(m_rateLimitedKeyValue.state()) },
            { "members", toReport(m_membership->view()->members) },
            { "links", nlohmann::json::parse(m_links.state(), nullptr, false) },
        };
    }

    bool shouldWatchConfiguration() const
    {
        return isConfigurationWatcher(m_settings.host.id, m_settings.host.failureDomain, assignment()->hosts());
    }

    Settings m_settings;
    Incarnation m_incarnation;
    SteadyClock m_clock;
    Metrics m_metrics;
    WorkerPool m_workers;
    /// One thread, for everything except callers' requests.
    WorkerPool m_controlWorkers;
    TargetClients m_clients;
    TargetClients m_controlClients;
    /// Used directly only by the configuration watcher, which has its own backoff so that a change is in force soon after an outage.
    /// Everything else uses m_rateLimitedKeyValue.
    HttpKeyValueService m_keyValue;
    RateLimitedKeyValueService m_rateLimitedKeyValue;
    HttpHostList m_hostList;
    RoutingTable m_routing;
    ClaimLog m_claimLog;
    KeyedRequests m_keyedRequests;
    RequestDispatcher m_dispatcher;
    std::shared_ptr<TargetMonitor> m_monitor;
    EngineHttpClient m_engines;
    BalancerEngineSelector m_engineSelector;
    StepService m_steps;
    PeerLinks m_links;
    PeerClient m_peerClient;
    ConfigurationWatcher m_configurationWatcher;
    ConfigurationExchange m_configurationExchange;
    StepEndpoints m_stepEndpoints;
    /// Set by start().
    std::unique_ptr<UdpMembership> m_membership;
    WeightsController m_weightsController;
    WeightEndpoint m_weightEndpoint;
    OperatorProofChecker m_proofChecker;
    AdminEndpoints m_adminEndpoints;
    HttpListener m_callerListener;
    HttpListener m_adminListener;
    std::atomic<bool> m_isStopping { false };
};

HostProcess::HostProcess(Settings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

HostProcess::~HostProcess() = default;
Result<void> HostProcess::start() { return m_implementation->start(); }
HostPorts HostProcess::ports() const { return m_implementation->ports(); }
bool HostProcess::shutDown() { return m_implementation->shutDown(); }

} // namespace cicadalb
