#pragma once

#include "RequestForwarder.h"

#include <string>
#include <string_view>

/// @file
/// Messages with which a host that is cut off from the targets asks another one to forward a request.

namespace cicadalb {

inline constexpr std::string_view relayPath = "/relay";
/// For requests that belong to an organisation. Hosts of earlier builds, which would not tell the target, refuse it.
inline constexpr std::string_view organisationRelayPath = "/relay/organisation";

/// @brief A caller's request, and what the sender knows about it.
struct RelayRequest {
    HttpRequest message;
    /// Pool that the sender has chosen for the request.
    PoolName pool;
    /// Version of the sender's configuration; a host with an older one may not forward the request.
    std::uint64_t configurationVersion = 0;
    /// Time before the caller's deadline.
    std::chrono::milliseconds remainingTime { 0 };
    /// Number of targets that the request may still be sent to.
    unsigned attemptsLeft = 0;
    /// See ForwardRequest::requiredRelease.
    std::optional<SoftwareRelease> requiredRelease;
    /// Organisation that the request belongs to, and the digest of the key under which it came; empty for a request without a key.
    OrganisationName organisation;
    std::string keyDigest;
};

struct RelayReply {
    /// Whether the receiver has tried to forward the request. If not, only ForwardOutcome::cause is set.
    bool hasForwarded = false;
    ForwardOutcome outcome;
};

std::string encodeRelayRequest(const RelayRequest&);
/// @brief Errors: RecordInvalid.
Result<RelayRequest> decodeRelayRequest(std::string_view body);
std::string encodeRelayReply(const RelayReply&);
/// @brief Errors: RecordInvalid.
Result<RelayReply> decodeRelayReply(std::string_view body);

} // namespace cicadalb
