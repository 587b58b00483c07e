#pragma once

#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/services/HttpClient.h"

#include <string>
#include <string_view>

/// @file
/// Messages of the model engines' HTTP/JSON protocol (docs/PROTOCOLS.md).

namespace cicadalb {

/// A generation stream that delivers nothing for this long after its first part is abandoned.
inline constexpr std::chrono::milliseconds generationStallTimeout { 5000 };

/// @brief Builds the HTTP request that starts a generation.
HttpRequest makeGenerateRequest(const GenerationRequest&);
HttpRequest makeCancelRequest(const RequestId&);
HttpRequest makeLoadReportRequest();
HttpRequest makeWeightOrderRequest(const WeightOrder&);

/// @brief Parses an engine's load report. Errors: AnswerInvalid.
Result<EngineStatus> engineStatusFromJson(std::string_view body);

/// @brief Assembles a generation from its stream of JSON lines.
class GenerationReader {
public:
    /// @brief Appends the next part of the stream. @return false if a line is malformed or follows the final line, or if an unfinished line exceeds 1 MiB
    bool append(std::string_view part);

    /// @brief True once the final line was received and its token count equals the sum over the chunks.
    bool isComplete() const noexcept { return m_isDone && m_generation.tokens == m_declaredTokens; }
    /// @brief The generation so far. Its versions are sorted and distinct, or empty if any chunk named no version.
    Generation generation() const;
    GenerationProgress progress() const noexcept { return m_progress; }
    /// @brief Memory that the generation takes.
    std::size_t memoryBytes() const noexcept { return m_unparsed.capacity() + m_generation.text.capacity() + m_generation.versions.capacity() * sizeof(WeightVersion); }

private:
    bool parseLine(std::string_view line);

    std::string m_unparsed;
    Generation m_generation;
    GenerationProgress m_progress;
    unsigned m_declaredTokens = 0;
    bool m_isDone = false;
    bool m_hasUnlabelledChunk = false;
};

} // namespace cicadalb
