#pragma once

#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/services/HttpClient.h"

#include <string>
#include <string_view>

/// @file
/// Messages of the model engines' HTTP/JSON protocol (docs/PROTOCOLS.md).

namespace cicadalb {

/// A generation that has begun and brings nothing for so long is given up.
inline constexpr std::chrono::milliseconds generationStallTimeout { 5000 };

/// @brief The request that starts a generation.
HttpRequest generateRequest(const GenerationRequest&);
HttpRequest cancelRequest(const RequestId&);
HttpRequest loadRequest();
HttpRequest weightOrderRequest(const WeightOrder&);

/// @brief Reads an engine's load report. Errors: AnswerInvalid.
Result<EngineStatus> engineStatusFromJson(std::string_view body);

/// @brief Puts a streamed generation together, line by line.
class GenerationReader {
public:
    /// @brief Takes the next part of the stream. @return false if a line cannot be read
    bool take(std::string_view part);

    /// @brief True once the engine said that the generation is whole and its token counts agree.
    bool isWhole() const noexcept { return m_isDone && m_generation.tokens == m_statedTokens; }
    /// @brief The generation; versions are empty if any chunk had no label.
    Generation generation() const;
    GenerationProgress progress() const noexcept { return m_progress; }

private:
    bool takeLine(std::string_view line);

    std::string m_pending;
    Generation m_generation;
    GenerationProgress m_progress;
    unsigned m_statedTokens = 0;
    bool m_isDone = false;
    bool m_isUnlabelled = false;
};

} // namespace cicadalb
