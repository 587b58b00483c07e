#include "HostOptions.h"

#include "cicadalb/transport/ProcessLimits.h"

#include <algorithm>
#include <thread>

namespace cicadalb {

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
    options.name = "callers";
    options.address = settings.listen.address;
    options.port = settings.listen.port;
    options.maximumHeaderBytes = settings.limits.headerBytes;
    options.maximumBodyBytes = settings.limits.bodyBytes;
    options.headerTimeout = settings.limits.headerTimeout;
    options.bodyTimeout = settings.limits.bodyTimeout;
    options.maximumConnections = std::min<std::size_t>(settings.limits.connections, connectionLimits(0).callers);
    return options;
}

HttpListenerOptions adminOptions(const Settings& settings)
{
    HttpListenerOptions options;
    options.name = "admin";
    options.address = settings.admin.address;
    options.port = settings.admin.port;
    options.maximumConnections = connectionLimits(0).operations;
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

UdpMembershipSettings membershipSettings(const Settings& settings, Incarnation incarnation, std::uint16_t peerPort, std::uint16_t adminPort)
{
    UdpMembershipSettings membership;
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

ClaimLogSettings claimSettings(const Settings& settings, Incarnation incarnation)
{
    ClaimLogSettings claims;
    claims.writerId = settings.host.id.value() + "/" + std::to_string(incarnation);
    return claims;
}

WeightsControllerOptions weightsOptions(const Settings& settings, Incarnation incarnation)
{
    WeightsControllerOptions options;
    options.self = settings.host.id;
    options.seed = incarnation;
    return options;
}

} // namespace cicadalb
