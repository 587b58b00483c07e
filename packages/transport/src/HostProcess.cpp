#include "cicadalb/transport/HostProcess.h"

#include "AdminEndpoints.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/platform/HttpHostList.h"
#include "cicadalb/platform/HttpKeyValueService.h"
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
        , m_hostList(m_control.context(0).get_executor(), toEndpoint(m_settings.platform.hostList))
        , m_routing(BalancerOptions { m_settings.host.failureDomain, m_incarnation }, m_clock)
        , m_dispatcher(DispatcherOptions { m_settings.host.id, m_incarnation, m_settings.limits.inFlight }, m_routing, m_clients, m_metrics, m_clock)
        , m_monitor(std::make_shared<TargetMonitor>(TargetMonitorOptions {}, m_routing, m_controlClients, 0, m_hostList))
        , m_admin(adminSources())
        , m_callerListener(m_workers, callerOptions(m_settings), [this](auto& request, auto& responder) { return m_dispatcher.serve(request, responder); })
        , m_adminListener(m_control, adminOptions(m_settings), [this](auto& request, auto& responder) { return m_admin.serve(request, responder); })
    {
    }

    ~Implementation()
    {
        m_monitor->stop();
        m_workers.stop();
        m_control.stop();
    }

    Result<void> start()
    {
        auto started = m_adminListener.start();
        if (started)
            started = m_callerListener.start();
        if (!started)
            return started;
        m_monitor->start();
        asio::co_spawn(
            m_control.context(0), [this]() -> Task<void> { co_await pollConfiguration(); }, asio::detached);
        logEvent(Event::ProcessStarted, { { "host", m_settings.host.id.value() }, { "callers", std::to_string(m_callerListener.port()) }, { "admin", std::to_string(m_adminListener.port()) } });
        return success();
    }

    HostPorts ports() const
    {
        return HostPorts { m_callerListener.port(), m_adminListener.port(), 0, 0 };
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
    AdminSources adminSources()
    {
        AdminSources sources;
        sources.isReady = [this] { return isReady(); };
        sources.metricsText = [this] { return m_metrics.text(); };
        sources.state = [this] { return state(); };
        sources.hasProof = [](const ServerRequest&) { return true; };
        return sources;
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
            { "in-flight", m_dispatcher.inFlight() },
            { "connections", m_callerListener.connections() },
            { "pools", pools },
        };
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

    Task<void> pollConfiguration()
    {
        while (!m_isStopping) {
            auto entry = co_await m_keyValue.read(std::string(acceptedConfigurationKey));
            if (entry && entry.value()) {
                const auto configuration = acceptedConfigurationFromJson(entry.value()->value);
                if (configuration && m_routing.apply(configuration.value()))
                    logEvent(Event::ConfigurationAccepted, { { "number", std::to_string(configuration.value().number) } });
            }
            asio::steady_timer timer(m_control.context(0), std::chrono::milliseconds(500));
            co_await timer.async_wait(asio::use_awaitable);
        }
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
    HttpHostList m_hostList;
    RoutingTable m_routing;
    RequestDispatcher m_dispatcher;
    std::shared_ptr<TargetMonitor> m_monitor;
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
