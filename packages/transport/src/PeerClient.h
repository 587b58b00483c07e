#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/transport/PeerLink.h"

#include <nlohmann/json.hpp>

#include <chrono>

/// @file
/// Requests to other hosts as coroutines.

namespace cicadalb {

/// @brief Asks other hosts over their links. Thread-safe.
class PeerClient {
public:
    explicit PeerClient(PeerLinks& links)
        : m_links(links)
    {
    }

    /// @brief One request with its answer. Errors: the other host's own; PeerUnreachable if the request was not sent;
    /// OutcomeUnknown if no answer came in time.
    Task<Result<nlohmann::json>> ask(HostId, PeerRequestKind, nlohmann::json body, std::chrono::milliseconds timeout);

private:
    PeerLinks& m_links;
};

/// @brief The answer that carries a result to another host.
PeerAnswer toPeerAnswer(const Result<nlohmann::json>&);

} // namespace cicadalb
