#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/base/Task.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Interface through which the rollout package calls model engines. The transport package implements it; tests use fakes.

namespace cicadalb {

struct GenerationRequest {
    /// Unique for each attempt.
    RequestId id;
    std::string prompt;
    /// Samples with the same key share a prompt prefix.
    std::string prefixKey;
    unsigned maximumTokens = 256;
    /// 0 is the most urgent.
    unsigned priority = 1;
};

/// @brief A complete generation as the engine returned it.
struct Generation {
    std::string text;
    unsigned tokens = 0;
    /// Weight versions that produced the tokens, ascending and without duplicates. Empty if the engine left any token unlabelled.
    std::vector<WeightVersion> versions;
};

/// @brief A running generation's progress: tokens so far and the version of the latest chunk (0: unlabelled).
struct GenerationProgress {
    unsigned tokens = 0;
    WeightVersion version = 0;
};

/// @brief Lets the owner cancel a generation.
class GenerationHandle {
public:
    virtual ~GenerationHandle() = default;
    virtual void cancel() = 0;
};

struct WeightOrder {
    std::string model;
    WeightVersion version = 0;
    FencingNumber fence = 0;
};

struct EngineStatus {
    WeightVersion version = 0;
    unsigned running = 0;
    unsigned queued = 0;
    FencingNumber fence = 0;
    bool isLeaving = false;
    /// Age of the other values when the engine sent them.
    Duration age {};
};

/// @brief Calls to engines. Errors: those of HttpClient (NotSent, OutcomeUnknown, Cancelled), and FenceRejected for an order with an outdated fencing number.
class EngineClient {
public:
    virtual ~EngineClient() = default;

    /// @brief Runs one generation to its end. @p onStart receives the handle that cancels it; @p onProgress may be empty.
    virtual Task<Result<Generation>> generate(TargetId, GenerationRequest, TimePoint deadline,
        std::function<void(std::shared_ptr<GenerationHandle>)> onStart,
        std::function<void(const GenerationProgress&)> onProgress)
        = 0;
    virtual Task<Result<void>> loadWeights(TargetId, WeightOrder, TimePoint deadline) = 0;
    virtual Task<Result<EngineStatus>> status(TargetId, TimePoint deadline) = 0;
};

} // namespace cicadalb
