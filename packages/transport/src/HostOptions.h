#pragma once

#include "WeightsController.h"

#include "cicadalb/config/Settings.h"
#include "cicadalb/services/ClaimLog.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/PeerLink.h"
#include "cicadalb/transport/UdpMembership.h"

/// @file
/// Converts a host's settings to the options of its components.

namespace cicadalb {

/// @brief The number of threads in the settings, or the number of processors if that is 0.
std::size_t threadCount(const HostSettings& host);
Endpoint toEndpoint(const SocketAddress& address);
HttpListenerOptions callerOptions(const Settings& settings);
HttpListenerOptions adminOptions(const Settings& settings);
PeerLinkSettings linkSettings(const Settings& settings, Incarnation incarnation);
UdpMembershipSettings membershipSettings(const Settings& settings, Incarnation incarnation, std::uint16_t peerPort, std::uint16_t adminPort);
ClaimLogSettings claimSettings(const Settings& settings, Incarnation incarnation);
WeightsControllerOptions weightsOptions(const Settings& settings, Incarnation incarnation);

} // namespace cicadalb
