#pragma once

#include "Coordination.h"
#include "MirrorClient.h"
#include "RequestRelay.h"
#include "UsageSender.h"

#include "cicadalb/config/SiteSettings.h"

#include <string_view>
#include <vector>

/// @file
/// Makes the parts of a host process, and their settings, from the settings of the process.

namespace cicadalb {

/// Asks a host whether it reaches the targets, and its reply if it does.
inline constexpr std::string_view reachabilityPath = "/reachability";
inline constexpr std::string_view reachableReply = "reachable";

/// @brief Whether the process mirrors the store's records for others.
bool hasMirror(const SiteSettings&);
SiteDirectorySettings directorySettings(const SiteSettings&, MirrorClient&, std::uint64_t seed, const Clock& recordClock);
/// @brief The other processes that may coordinate.
std::vector<Endpoint> otherCandidates(const SiteSettings&);
MirrorClient makeMirrorClient(const boost::asio::any_io_executor&, const SiteSettings&, const Clock&);
RequestRelay makeRelay(const boost::asio::any_io_executor&, const SiteSettings&, const Clock&);
TargetProbe makeTargetProbe(TargetClients&);
UsageReportingSettings usageSettings(const SiteSettings&);
/// @brief Address, as "IP:PORT", at which this process serves other hosts; empty if it does not.
std::string addressForHosts(const SiteSettings&);
/// @brief The address that a coordinator states, unless it states none or is one of otherCandidates().
std::optional<Endpoint> unlistedEndpoint(const SiteSettings&, std::string_view coordinatorAddress);
/// @brief The processes that usage counts may be sent to: the other candidates for coordination, this process, and a coordinator that the settings do not list.
UsageDeliverySettings deliverySettings(const SiteSettings&, std::uint64_t seed);
CoordinationSettings coordinationSettings(const boost::asio::any_io_executor&, const SiteSettings&, MirrorClient&, TargetReachability&, std::uint64_t seed);

} // namespace cicadalb
