#include "cicadalb/transport/TargetMonitor.h"

#include "EngineProtocol.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr auto loadPollTimeout = std::chrono::milliseconds(1000);
    constexpr unsigned statusOk = 200;

} // namespace

TargetMonitor::TargetMonitor(TargetMonitorOptions options, RoutingTable& routing, TargetClients& clients, std::size_t worker, HostList& hostList, WeightReportHandler onWeightReport)
    : m_options(options)
    , m_routing(routing)
    , m_clients(clients)
    , m_worker(worker)
    , m_hostList(hostList)
    , m_onWeightReport(std::move(onWeightReport))
{
}

void TargetMonitor::start()
{
    auto& context = m_clients.context(m_worker);
    const auto self = shared_from_this();
    asio::co_spawn(
        context, [self]() -> Task<void> { co_await self->tickBalancers(); }, asio::detached);
    asio::co_spawn(
        context, [self]() -> Task<void> { co_await self->pollLoads(); }, asio::detached);
    asio::co_spawn(
        context, [self]() -> Task<void> { co_await self->pollHostList(); }, asio::detached);
}

Task<void> TargetMonitor::sleepFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_clients.context(m_worker), duration);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

Task<void> TargetMonitor::tickBalancers()
{
    while (!m_isStopping) {
        m_routing.forEachBalancer([](SharedPoolBalancer& balancer) { balancer.tick(); });
        co_await sleepFor(m_options.tickInterval);
    }
}

Task<void> TargetMonitor::pollLoads()
{
    while (!m_isStopping) {
        const auto targets = startLoadPolls();
        co_await sleepFor(loadPollIntervalFor(targets));
    }
}

std::size_t TargetMonitor::startLoadPolls()
{
    std::size_t count = 0;
    const auto snapshot = m_routing.snapshot();
    const PoolBalancers balancers = snapshot ? snapshot->balancers : PoolBalancers {};
    for (const auto& [name, balancer] : balancers) {
        for (const auto& target : balancer->pool().targets) {
            ++count;
            if (!m_targetsBeingPolled.insert(target.id).second)
                continue;
            asio::co_spawn(
                m_clients.context(m_worker),
                [self = shared_from_this(), balancer = balancer, target]() -> Task<void> { co_await self->pollLoad(balancer, target); },
                asio::detached);
        }
    }
    return count;
}

std::chrono::milliseconds TargetMonitor::loadPollIntervalFor(std::size_t targets) const
{
    const std::chrono::duration<double> intervalAtMaximumRate(static_cast<double>(targets) / m_options.loadPollsPerSecond);
    return std::max(m_options.loadPollInterval, std::chrono::duration_cast<std::chrono::milliseconds>(intervalAtMaximumRate));
}

Task<void> TargetMonitor::pollLoad(std::shared_ptr<SharedPoolBalancer> balancer, Target target)
{
    const auto client = m_clients.client(m_worker, Endpoint { target.address, target.port });
    auto response = co_await client->send(makeLoadReportRequest(), std::chrono::steady_clock::now() + loadPollTimeout);
    m_targetsBeingPolled.erase(target.id);
    if (!response || response.value().status != statusOk)
        co_return;
    const auto status = engineStatusFromJson(response.value().body);
    if (!status)
        co_return;
    LoadReport report;
    report.running = status.value().running;
    report.queued = status.value().queued;
    report.age = status.value().age;
    report.isLeaving = status.value().isLeaving;
    balancer->reportLoad(target.id, report);
    if (status.value().version != 0)
        m_onWeightReport(balancer->name(), target.id, status.value().version);
}

Task<void> TargetMonitor::pollHostList()
{
    while (!m_isStopping) {
        auto hosts = co_await m_hostList.hosts();
        if (hosts)
            applyHostList(hosts.value());
        if (hosts.has_value() != m_isHostListAvailable) {
            m_isHostListAvailable = hosts.has_value();
            logEvent(m_isHostListAvailable ? Event::PlatformAvailable : Event::PlatformUnavailable, { { "service", "host-list" } });
        }
        co_await sleepFor(m_options.hostListPollInterval);
    }
}

void TargetMonitor::applyHostList(const std::vector<ListedHost>& hosts)
{
    std::set<std::string> leaving;
    for (const auto& host : hosts) {
        if (host.state == HostState::Leaving)
            leaving.insert(host.name);
    }
    m_routing.forEachBalancer([&leaving](SharedPoolBalancer& balancer) {
        for (const auto& target : balancer.pool().targets)
            balancer.setLeaving(target.id, leaving.count(target.id.value()) > 0);
    });
}

} // namespace cicadalb
