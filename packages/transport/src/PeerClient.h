#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/transport/PeerLink.h"

#include <nlohmann/json.hpp>

#include <chrono>

/// @file
/// Coroutine interface for requests to other hosts.

namespace cicadalb {

/// @brief Sends requests to other hosts over their links. Thread-safe.
class PeerClient {
public:
    explicit PeerClient(PeerLinks& links)
        : m_links(links)
    {
    }

    /// @brief Sends a request and waits for its answer. Errors: those that the other host returns; PeerUnreachable if the request was
    /// not sent or not run; OutcomeUnknown if it may have been run but its result is not known; MessageInvalid if the answer is not CBOR.
    Task<Result<nlohmann::json>> request(HostId, PeerRequestKind, nlohmann::json body, std::chrono::milliseconds timeout);

private:
    PeerLinks& m_links;
};

/// @brief Converts a result, value or error, to the answer that is sent to another host.
PeerAnswer toPeerAnswer(const Result<nlohmann::json>&);

} // namespace cicadalb
