#include "SiteParts.h"

#include "HostCall.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Longest usual delay from a change in the store to its arrival here, when the store is slow.
    constexpr milliseconds slowStoreDelay { 800 };
    /// Longest delay for which changes of the registry share a call at a process that is a mirror: other hosts receive them only after this delay,
    /// in addition to the times in MirrorClient.h.
    constexpr milliseconds mirrorCoalescingDelay { 500 };
    /// A target's entry lapses after three report intervals without a report, the first of which may have begun before an outage.
    constexpr int minimumOutageReports = 2;
    /// Covers the probe of the targets; a lease is renewed between two questions.
    constexpr milliseconds reachabilityQueryTimeout = 2 * TargetReachability::probeTimeout + milliseconds(50);

    /// Asks the candidates whether they reach the targets. @return false if a candidate does not reply
    std::function<Task<bool>(std::size_t)> makeReachabilityQuery(const asio::any_io_executor& executor, const std::vector<Endpoint>& endpoints)
    {
        const auto ask = [](std::shared_ptr<HttpClient> client) -> Task<bool> {
            HostCall call { reachabilityPath, {}, reachabilityQueryTimeout };
            const auto answer = co_await callHost(std::move(client), std::move(call));
            co_return answer&& answer.value().body == reachableReply;
        };
        return [ask, clients = makeHostClients(executor, endpoints)](std::size_t candidate) { return ask(clients[candidate]); };
    }

} // namespace

bool hasMirror(const SiteSettings& settings) { return !settings.addresses.mirrorListen.address.empty(); }

SiteDirectorySettings directorySettings(const SiteSettings& settings, MirrorClient& mirror, std::uint64_t seed, const Clock& recordClock)
{
    // Changes may share a call for as long as a leaving target still serves, less the delay of a slow store.
    const auto usualDelay = std::max(milliseconds(0), settings.work.targetDrainTime - slowStoreDelay);
    return { settings.host.failureDomain, hasMirror(settings) ? std::min(usualDelay, mirrorCoalescingDelay) : usualDelay, hasMirror(settings) ? nullptr : &mirror, seed, &recordClock, minimumOutageReports * settings.work.targetReportInterval };
}

std::vector<Endpoint> otherCandidates(const SiteSettings& settings)
{
    std::vector<Endpoint> endpoints;
    for (const auto& address : settings.addresses.mirrorSources) {
        if (address != settings.addresses.mirrorListen)
            endpoints.push_back({ address.address, address.port });
    }
    return endpoints;
}

MirrorClient makeMirrorClient(const asio::any_io_executor& executor, const SiteSettings& settings, const Clock& clock)
{
    const auto endpoints = otherCandidates(settings);
    return { endpoints.size(), static_cast<std::size_t>(placementHash(settings.host.id.value())), makeHttpMirrorExchange(executor, endpoints), clock };
}

RequestRelay makeRelay(const asio::any_io_executor& executor, const SiteSettings& settings, const Clock& clock)
{
    const auto endpoints = otherCandidates(settings);
    return { endpoints.size(), static_cast<std::size_t>(placementHash(settings.host.id.value())), makeHttpRelayExchange(executor, endpoints), clock };
}

TargetProbe makeTargetProbe(TargetClients& clients)
{
    return [&clients](const Endpoint& endpoint, milliseconds timeout) -> Task<bool> {
        const auto client = clients.client(0, endpoint);
        co_return co_await client->acceptsConnections(timeout);
    };
}

std::optional<Endpoint> unlistedEndpoint(const SiteSettings& settings, std::string_view coordinatorAddress)
{
    const auto address = socketAddressFromText(coordinatorAddress);
    if (!address)
        return std::nullopt;
    Endpoint endpoint { address.value().address, address.value().port };
    const auto listed = otherCandidates(settings);
    return std::find(listed.begin(), listed.end(), endpoint) == listed.end() ? std::optional(std::move(endpoint)) : std::nullopt;
}

std::string addressForHosts(const SiteSettings& settings)
{
    const auto& address = hasMirror(settings) ? settings.addresses.mirrorListen : settings.addresses.standbyListen;
    return address.address.empty() ? std::string() : address.address + ":" + std::to_string(address.port);
}

UsageReportingSettings usageSettings(const SiteSettings& settings)
{
    return { { settings.work.usageWindow }, settings.work.usageReportTime };
}

UsageDeliverySettings deliverySettings(const SiteSettings& settings, std::uint64_t seed)
{
    // This process, and a coordinator that the settings do not list.
    constexpr std::size_t furtherCandidates = 2;
    return { settings.host.id, seed, otherCandidates(settings).size() + furtherCandidates, static_cast<std::size_t>(placementHash(settings.host.id.value())), usageSettings(settings).settleTime() };
}

CoordinationSettings coordinationSettings(const asio::any_io_executor& executor, const SiteSettings& settings, MirrorClient& mirrors, TargetReachability& reachability, std::uint64_t seed)
{
    CoordinationSettings coordination;
    coordination.host = settings.host.id;
    if (!settings.parts.coordinating)
        coordination.standbyDelay = StandbyCandidacy::vacancyDelay(settings.work.memoryMebibytes, seed);
    coordination.address = addressForHosts(settings);
    coordination.leaseTimeToLive = settings.work.leaseTimeToLive;
    coordination.orderQuietPeriod = settings.work.orderQuietPeriod;
    coordination.isFirstStart = settings.host.isFirstStart;
    coordination.samples.resultRetention = settings.work.resultRetention;
    coordination.samples.endTime = settings.work.endTime;
    coordination.loads.maximumConcurrentLoads = settings.work.maximumConcurrentLoads;
    if (settings.parts.hasDuty(Duty::Autoscaling))
        coordination.capacityPlatform = Endpoint { settings.addresses.duties.address, settings.addresses.duties.port };
    coordination.seed = seed;
    if (settings.parts.hasDuty(Duty::Metering)) {
        coordination.usage = usageSettings(settings);
        coordination.duties = { settings.addresses.duties.address, settings.addresses.duties.port };
    }
    coordination.mirrors = &mirrors;
    coordination.samples.reachability = &reachability;
    coordination.reachesTargets = makeReachabilityQuery(executor, otherCandidates(settings));
    return coordination;
}

} // namespace cicadalb
