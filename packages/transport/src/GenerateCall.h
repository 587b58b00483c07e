#pragma once

#include "RequestContext.h"

#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/transport/TargetClients.h"

/// @file
/// Runs a caller's generation on a model engine.

namespace cicadalb {

/// @brief Responds with one JSON document, or streams the engine's lines as they arrive if the caller accepts application/x-ndjson.
class GenerateCall final : public TargetCall {
public:
    explicit GenerateCall(TargetClients& clients)
        : m_clients(clients)
    {
    }
    Result<void> check(const RequestContext&) override;
    std::optional<std::uint64_t> affinity() const override;
    Task<AttemptResult> attempt(const RequestContext&, const Target&, TimePoint deadline) override;

private:
    TargetClients& m_clients;
    GenerationRequest m_request;
};

/// @brief Parses a caller's generation request. Errors: RequestInvalid.
Result<GenerationRequest> parseGenerationRequest(const ServerRequest&, const RequestId&, Priority);

} // namespace cicadalb
