#include "cicadalb/transport/HostProcess.h"

#include "AdminEndpoints.h"
#include "ConfigurationExchange.h"
#include "GateEngineSelector.h"
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
#include "cicadalb/services/GatedKeyValueService.h"
#include "cicadalb/services/HttpHostList.h"
#include "cicadalb/services/HttpKeyValueService.h"
#include "cicadalb/transport/EngineHttpClient.h"
#include "cicadalb/transport/MembershipPort.h"
#include "cicadalb/transport/PeerLink.h"
#include "cicadalb/transport/RequestDispatcher.h"
#include "cicadalb/transport/TargetMonitor.h"

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

    constexpr auto shareInterval = std::chrono::milliseconds(500);
    constexpr auto drainPollInterval = std::chrono::milliseconds(20);

    std::int64_t unixSeconds()
    {
        return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    }

    std::vector<SubsetHost> subsetHosts(const std::vector<AssignableHost>& hosts)
    {
        std::vector<SubsetHost> subset;
        subset.reserve(hosts.size());
        for (const auto& host : hosts)
            subset.push_back(SubsetHost { host.id, host.failureDomain, host.weight });
        return subset;
    }

    /// Milliseconds since the epoch: rises from one start of a process to the next.
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
        , m_control(1)
        , m_clients(m_workers)
        , m_controlClients(m_control)
        , m_keyValue(m_control.context(0).get_executor(), toEndpoint(m_settings.platform.keyValue))
        , m_gatedKeyValue(m_keyValue, m_clock, CallGateSettings {}, m_incarnation)
        , m_hostList(m_control.context(0).get_executor(), toEndpoint(m_settings.platform.hostList))
        , m_routing(m_settings.host.id, BalancerOptions { m_settings.host.failureDomain, m_incarnation }, m_clock)
        , m_claims(m_control.context(0).get_executor(), m_gatedKeyValue, m_clock, unixSeconds, claimSettings(m_settings, m_incarnation))
        , m_keyed(m_claims)
        , m_dispatcher(DispatcherOptions { m_settings.host.id, m_incarnation, m_settings.limits.inFlight }, m_routing, m_clients, m_keyed, m_metrics, m_clock)
        , m_monitor(std::make_shared<TargetMonitor>(TargetMonitorOptions {}, m_routing, m_controlClients, 0, m_hostList,
              [this](const auto& pool, const auto& engine, auto version) { m_steps.reportWeights(pool, engine, version); }))
        , m_engines(m_controlClients, 0, [this](const TargetId& target) { return engineEndpoint(target); })
        , m_selector(m_routing)
        , m_steps(m_control.context(0).get_executor(), m_engines, m_selector, m_clock)
        , m_links(linkSettings(m_settings, m_incarnation), [this](const auto&, auto request, auto reply) { servePeer(std::move(request), std::move(reply)); })
        , m_peers(m_links)
        , m_configuration(m_control.context(0).get_executor(), m_keyValue, m_incarnation, [this](const auto& adopted) { m_routing.apply(*adopted); })
        , m_configurationExchange(m_configuration, m_peers)
        , m_stepEndpoints(
              m_settings.host.id, m_control.context(0).get_executor(), m_steps, m_routing, [this] { return assignment(); }, m_peers)
        , m_weights(
              m_control.context(0).get_executor(), weightsOptions(m_settings, m_incarnation), m_gatedKeyValue, m_engines, m_routing, [this] { return assignment(); }, m_clock)
        , m_weightEndpoint(m_settings.host.id, m_control.context(0).get_executor(), m_weights.registry(), m_routing)
        , m_proofs(m_settings.secret)
        , m_admin(adminSources())
        , m_callerListener(m_workers, callerOptions(m_settings), [this](auto& request, auto& responder) { return serveCaller(request, responder); })
        , m_adminListener(m_control, adminOptions(m_settings), [this](auto& request, auto& responder) { return m_admin.serve(request, responder); })
    {
    }

    ~Implementation()
    {
        m_monitor->stop();
        m_configuration.stop();
        m_configurationExchange.stop();
        m_weights.stop();
        m_steps.stop();
        m_links.stop();
        if (m_membership)
            m_membership->stop();
        m_workers.stop();
        m_control.stop();
    }

    Result<void> start()
    {
        auto started = startListening();
        if (!started)
            return started;
        m_monitor->start();
        spawn(m_configuration.run([this] { return shouldWatchConfiguration(); }));
        spawn(m_configurationExchange.run(*m_membership));
        spawn(m_steps.run());
        spawn(m_weights.run());
        spawn(shareTargets());
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
        std::this_thread::sleep_for(m_settings.shutdown.unready);
        handOver();
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
        m_membership = std::make_unique<MembershipPort>(m_control.context(0).get_executor(),
            membershipSettings(m_settings, m_incarnation, m_links.port(), m_adminListener.port()));
        m_membership->onChange([this](const Member& member) { memberChanged(member); });
        return m_membership->start();
    }

    /// Moves what this host coordinates to others: the assignment first, then steps and leases.
    void handOver()
    {
        auto left = asio::co_spawn(m_control.context(0), m_membership->leave(), asio::use_future);
        left.wait();
        m_weights.stop();
        m_steps.stop();
    }

    bool waitUntilDrained()
    {
        const auto limit = std::chrono::steady_clock::now() + m_settings.shutdown.grace;
        while (m_callerListener.connections() > 0 && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(drainPollInterval);
        return m_callerListener.requestsInFlight() == 0;
    }

    void spawn(Task<void> task)
    {
        asio::co_spawn(m_control.context(0), std::move(task), asio::detached);
    }

    void memberChanged(const Member& member)
    {
        if (member.isPresent())
            m_links.setPeer(member.id.value(), member.details.address, member.details.peerPort);
        else
            m_links.removePeer(member.id.value());
    }

    /// Recomputes this host's subsets of large pools when hosts come or go.
    Task<void> shareTargets()
    {
        std::uint64_t sharedVersion = 0;
        asio::steady_timer timer(m_control.context(0));
        while (!m_isStopping) {
            const auto view = m_membership->view();
            if (view->version != sharedVersion)
                m_routing.shareWith(subsetHosts(view->assignment->hosts()));
            sharedVersion = view->version;
            timer.expires_after(shareInterval);
            co_await timer.async_wait(asio::use_awaitable);
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

    /// Called on the links' thread; the work moves to the control thread.
    void servePeer(PeerRequest request, PeerReply reply)
    {
        spawn(answerPeer(std::move(request), std::move(reply)));
    }

    Task<void> answerPeer(PeerRequest request, PeerReply reply)
    {
        auto result = co_await performForPeer(std::move(request));
        reply(toPeerAnswer(result));
    }

    Task<Result<nlohmann::json>> performForPeer(PeerRequest request)
    {
        auto body = jsonFromCbor(request.body);
        if (!body)
            co_return failure(ErrorCode::MessageInvalid, "the request is not CBOR", "link");
        switch (request.kind) {
        case PeerRequestKind::SubmitStep:
        case PeerRequestKind::PullBatch:
            co_return co_await m_stepEndpoints.serveForwarded(request.kind, std::move(*body));
        case PeerRequestKind::State:
            co_return state();
        case PeerRequestKind::FetchConfiguration:
            co_return m_configurationExchange.serveFetch(*body);
        }
        co_return failure(ErrorCode::MessageInvalid, "this kind of request is not served", "link");
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
        m_metrics.setGauge("cicadalb_hosts_present", "Hosts that take assignments, this one included", static_cast<double>(m_membership->view()->presentCount));
        m_metrics.setGauge("cicadalb_steps_coordinated", "Steps that this host coordinates", static_cast<double>(m_steps.progress().size()));
        m_metrics.setGauge("cicadalb_claim_writes", "Writes of claims since the start", static_cast<double>(m_claims.counters().writes));
        m_metrics.setGauge("cicadalb_key_value_calls", "Calls to the key-value service since the start", static_cast<double>(m_gatedKeyValue.state().callsMade));
        return m_metrics.text();
    }

    bool hasProof(const ServerRequest& request)
    {
        const auto path = request.query.empty() ? request.path : request.path + "?" + request.query;
        return m_proofs.check(OperatorCall { request.method, path }, request.field(operatorProofHeader), unixSeconds()).has_value();
    }

    bool isReady() const { return !m_isStopping && m_routing.snapshot() != nullptr; }

    nlohmann::json state() const
    {
        nlohmann::json pools = nlohmann::json::object();
        m_routing.forEachGate([&pools](const PoolGate& gate) { pools[gate.name().value()] = toReport(gate); });
        const auto snapshot = m_routing.snapshot();
        return {
            { "host", m_settings.host.id.value() },
            { "failure-domain", m_settings.host.failureDomain.value() },
            { "incarnation", m_incarnation },
            { "ready", isReady() },
            { "configuration", snapshot ? snapshot->number : 0 },
            { "refused-edits", toReport(m_configuration.refusedEdits()) },
            { "in-flight", m_dispatcher.inFlight() },
            { "connections", m_callerListener.connections() },
            { "pools", pools },
            { "steps", toReport(m_steps.progress()) },
            { "weights", m_weights.state() },
            { "claims", toReport(m_claims.counters()) },
            { "key-value", toReport(m_gatedKeyValue.state()) },
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
    /// One thread for everything but callers' requests.
    WorkerPool m_control;
    TargetClients m_clients;
    TargetClients m_controlClients;
    /// Used directly by the configuration watcher alone, which has a backoff of its own: a change has to be in force soon after an outage.
    HttpKeyValueService m_keyValue;
    GatedKeyValueService m_gatedKeyValue;
    HttpHostList m_hostList;
    RoutingTable m_routing;
    ClaimLog m_claims;
    KeyedRequests m_keyed;
    RequestDispatcher m_dispatcher;
    std::shared_ptr<TargetMonitor> m_monitor;
    EngineHttpClient m_engines;
    GateEngineSelector m_selector;
    StepService m_steps;
    PeerLinks m_links;
    PeerClient m_peers;
    ConfigurationWatcher m_configuration;
    ConfigurationExchange m_configurationExchange;
    StepEndpoints m_stepEndpoints;
    /// Set by start().
    std::unique_ptr<MembershipPort> m_membership;
    WeightsController m_weights;
    WeightEndpoint m_weightEndpoint;
    OperatorProofChecker m_proofs;
    AdminEndpoints m_admin;
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
