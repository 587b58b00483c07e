#include "cicadalb/transport/HostProcess.h"

#include "AdminEndpoints.h"
#include "ConfigurationExchange.h"
#include "GateEngineSelector.h"
#include "PeerClient.h"
#include "StepEndpoints.h"
#include "WeightEndpoint.h"
#include "WeightsController.h"

#include "cicadalb/base/Cbor.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/config/OperatorProof.h"
#include "cicadalb/platform/GatedKeyValueService.h"
#include "cicadalb/platform/HttpHostList.h"
#include "cicadalb/platform/HttpKeyValueService.h"
#include "cicadalb/rollout/StepService.h"
#include "cicadalb/transport/EngineHttpClient.h"
#include "cicadalb/transport/MembershipPort.h"
#include "cicadalb/transport/PeerLink.h"
#include "cicadalb/transport/RequestDispatcher.h"
#include "cicadalb/transport/TargetMonitor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr auto drainPollInterval = std::chrono::milliseconds(20);

    std::size_t threadCount(const HostSettings& host)
    {
        return host.threads != 0 ? host.threads : std::max(1U, std::thread::hardware_concurrency());
    }

    Endpoint toEndpoint(const SocketAddress& address)
    {
        return Endpoint { address.address, address.port };
    }

    HttpListenerOptions callerOptions(const Settings& settings)
    {
        HttpListenerOptions options;
        options.address = settings.listen.address;
        options.port = settings.listen.port;
        options.maximumHeaderBytes = settings.limits.headerBytes;
        options.maximumBodyBytes = settings.limits.bodyBytes;
        options.headerTimeout = settings.limits.headerTimeout;
        options.bodyTimeout = settings.limits.bodyTimeout;
        options.maximumConnections = settings.limits.connections;
        return options;
    }

    HttpListenerOptions adminOptions(const Settings& settings)
    {
        HttpListenerOptions options;
        options.address = settings.admin.address;
        options.port = settings.admin.port;
        return options;
    }

    PeerLinkSettings linkSettings(const Settings& settings, Incarnation incarnation)
    {
        PeerLinkSettings links;
        links.hostId = settings.host.id.value();
        links.incarnation = incarnation;
        links.listenAddress = settings.peers.listen.address;
        links.listenPort = settings.peers.listen.port;
        links.secret = settings.secret.reveal();
        return links;
    }

    MembershipPortSettings membershipSettings(const Settings& settings, Incarnation incarnation, std::uint16_t peerPort, std::uint16_t adminPort)
    {
        MembershipPortSettings membership;
        membership.self.id = settings.host.id;
        membership.self.incarnation = incarnation;
        membership.self.details.failureDomain = settings.host.failureDomain;
        membership.self.details.weight = settings.host.weight;
        membership.self.details.address = settings.membership.address;
        membership.self.details.membershipPort = settings.membership.port;
        membership.self.details.peerPort = peerPort;
        membership.self.details.adminPort = adminPort;
        membership.secret = settings.secret.reveal();
        membership.randomSeed = incarnation;
        for (const auto& seed : settings.peers.seeds)
            membership.seeds.push_back(MemberEndpoint { seed.address.address, seed.address.port });
        return membership;
    }

    std::int64_t unixSeconds()
    {
        return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    }

    ClaimLogSettings claimSettings(const Settings& settings, Incarnation incarnation)
    {
        ClaimLogSettings claims;
        claims.writer = settings.host.id.value() + "/" + std::to_string(incarnation);
        return claims;
    }

    WeightsControllerOptions weightsOptions(const Settings& settings, Incarnation incarnation)
    {
        WeightsControllerOptions options;
        options.self = settings.host.id;
        options.seed = incarnation;
        return options;
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
        , m_routing(BalancerOptions { m_settings.host.failureDomain, m_incarnation }, m_clock)
        , m_claims(m_control.context(0).get_executor(), m_gatedKeyValue, m_clock, unixSeconds, claimSettings(m_settings, m_incarnation))
        , m_keyed(m_claims)
        , m_dispatcher(DispatcherOptions { m_settings.host.id, m_incarnation, m_settings.limits.inFlight }, m_routing, m_clients, m_keyed, m_metrics, m_clock)
        , m_monitor(std::make_shared<TargetMonitor>(TargetMonitorOptions {}, m_routing, m_controlClients, 0, m_hostList))
        , m_engines(m_controlClients, 0, [this](const TargetId& target) { return engineEndpoint(target); })
        , m_selector(m_routing)
        , m_steps(m_control.context(0).get_executor(), m_engines, m_selector, m_clock)
        , m_links(linkSettings(m_settings, m_incarnation), [this](const auto&, auto request, auto reply) { servePeer(std::move(request), std::move(reply)); })
        , m_peers(m_links)
        , m_configuration(m_control.context(0).get_executor(), m_gatedKeyValue, m_incarnation, [this](const auto& adopted) { m_routing.apply(*adopted); })
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
        m_callerListener.stopAccepting();
        const auto limit = std::chrono::steady_clock::now() + m_settings.shutdown.grace;
        while (m_callerListener.connections() > 0 && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(drainPollInterval);
        const bool isDrained = m_callerListener.requestsInFlight() == 0;
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

    std::shared_ptr<const Assignment> assignment() const { return m_membership->view()->assignment; }

    std::optional<Endpoint> engineEndpoint(const TargetId& id) const
    {
        std::optional<Endpoint> endpoint;
        m_routing.forEachGate([&id, &endpoint](PoolGate& gate) {
            if (const auto target = gate.target(id))
                endpoint = Endpoint { target->address, target->port };
        });
        return endpoint;
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
        case PeerRequestKind::ClaimKey:
        case PeerRequestKind::OfferConfiguration:
            break;
        }
        co_return failure(ErrorCode::MessageInvalid, "this kind of request is not served", "link");
    }

    AdminSources adminSources()
    {
        AdminSources sources;
        sources.isReady = [this] { return isReady(); };
        sources.metricsText = [this] { return m_metrics.text(); };
        sources.state = [this] { return state(); };
        sources.hasProof = [this](const ServerRequest& request) { return hasProof(request); };
        return sources;
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
        m_routing.forEachGate([&pools](PoolGate& gate) { pools[gate.pool().name.value()] = poolState(gate); });
        const auto snapshot = m_routing.snapshot();
        return {
            { "host", m_settings.host.id.value() },
            { "failure-domain", m_settings.host.failureDomain.value() },
            { "incarnation", m_incarnation },
            { "ready", isReady() },
            { "configuration", snapshot ? snapshot->number : 0 },
            { "refused-edits", refusedEditStates() },
            { "in-flight", m_dispatcher.inFlight() },
            { "connections", m_callerListener.connections() },
            { "pools", pools },
            { "weights", m_weights.state() },
            { "members", memberStates() },
            { "links", nlohmann::json::parse(m_links.state(), nullptr, false) },
        };
    }

    nlohmann::json refusedEditStates() const
    {
        nlohmann::json edits = nlohmann::json::array();
        for (const auto& edit : m_configuration.refusedEdits())
            edits.push_back({ { "author", edit.author }, { "at", edit.at }, { "reasons", edit.reasons } });
        return edits;
    }

    nlohmann::json memberStates() const
    {
        nlohmann::json members = nlohmann::json::array();
        for (const auto& member : m_membership->view()->members) {
            members.push_back({
                { "host", member.id.value() },
                { "state", name(member.state) },
                { "incarnation", member.incarnation },
                { "failure-domain", member.details.failureDomain.value() },
                { "configuration", member.configuration },
            });
        }
        return members;
    }

    static nlohmann::json poolState(const PoolGate& gate)
    {
        nlohmann::json targets = nlohmann::json::array();
        for (const auto& view : gate.targets()) {
            targets.push_back({
                { "target", view.target.value() },
                { "in-flight", view.inFlight },
                { "limit", view.limit },
                { "service-us", std::chrono::duration_cast<std::chrono::microseconds>(view.serviceTime).count() },
                { "eligible", view.isEligible },
                { "reason", view.reason },
            });
        }
        return { { "queue", gate.queueLength() }, { "targets", targets } };
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
