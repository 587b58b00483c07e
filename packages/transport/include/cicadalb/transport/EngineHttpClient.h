#pragma once

#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/transport/TargetClients.h"

#include <functional>
#include <optional>

/// @file
/// Calls to model engines over HTTP.

namespace cicadalb {

/// @brief Returns the HTTP endpoint of an engine, or nothing if the engine is unknown.
using EndpointResolver = std::function<std::optional<Endpoint>(const TargetId&)>;

/// @brief EngineClient over HTTP. Bound to one worker: its coroutines run only on that worker's event loop.
class EngineHttpClient final : public EngineClient {
public:
    EngineHttpClient(TargetClients&, std::size_t worker, EndpointResolver);

    Task<Result<Generation>> generate(TargetId, GenerationRequest, TimePoint deadline,
        std::function<void(std::shared_ptr<GenerationHandle>)> onStart,
        std::function<void(const GenerationProgress&)> onProgress) override;
    Task<Result<void>> loadWeights(TargetId, WeightOrder, TimePoint deadline) override;
    Task<Result<EngineStatus>> status(TargetId, TimePoint deadline) override;

private:
    Result<std::shared_ptr<HttpClient>> clientFor(const TargetId&);

    TargetClients& m_clients;
    std::size_t m_worker;
    EndpointResolver m_resolveEndpoint;
};

} // namespace cicadalb
