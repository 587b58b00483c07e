#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/routing/TargetRateLimits.h"

#include <string>

/// @file
/// Messages between hosts and the coordinator about requests to targets that state a limit: CBOR in HTTP bodies (docs/PROTOCOLS.md).

namespace cicadalb {

/// Path of the endpoint, which takes POST requests.
inline constexpr std::string_view permitPath = "/permits";

/// @brief Asks for a permit to send a request to a target.
struct PermitRequest {
    HostId host;
    /// Empty id: only asks whether the receiver grants permits.
    TargetStart target;
    double requestsPerSecond = 0;
    /// Longest time that the request can wait.
    std::chrono::milliseconds maximumWait { 0 };
};

struct PermitReply {
    /// Whether the receiver grants permits; if not, the other members are not set.
    bool isGranting = false;
    /// Number of requests that may be sent to the target, the first one after @c wait.
    unsigned permits = 0;
    /// With permits: wait before the first request. Without: time until the next permit.
    std::chrono::milliseconds wait { 0 };
    /// Number of hosts that have asked lately.
    unsigned hosts = 0;
};

std::string encodePermitRequest(const PermitRequest&);
/// @brief Errors: RecordInvalid.
Result<PermitRequest> decodePermitRequest(std::string_view body);
std::string encodePermitReply(const PermitReply&);
/// @brief Errors: RecordInvalid.
Result<PermitReply> decodePermitReply(std::string_view body);

} // namespace cicadalb
