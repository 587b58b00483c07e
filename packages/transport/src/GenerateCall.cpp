#include "GenerateCall.h"

#include "EngineProtocol.h"
#include "ForwardCall.h"
#include "Problem.h"

#include "cicadalb/base/Hash.h"
#include "cicadalb/services/DocumentMemory.h"

#include <nlohmann/json.hpp>

namespace cicadalb {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusServiceUnavailable = 503;
    constexpr unsigned maximumTokensLimit = 1U << 20U;
    constexpr std::string_view streamContentType = "application/x-ndjson";

    std::string joinVersions(const std::vector<WeightVersion>& versions)
    {
        std::string text;
        for (const auto version : versions) {
            if (!text.empty())
                text += ',';
            text += std::to_string(version);
        }
        return text;
    }

    HttpResponse responseHead(const RequestContext& context, std::string_view contentType)
    {
        HttpResponse head;
        head.status = statusOk;
        head.fields.emplace_back("Content-Type", contentType);
        head.fields.emplace_back(requestIdField, context.id.value());
        head.fields.emplace_back(runStateField, name(RunState::Answered));
        return head;
    }

    /// Reads a generation's stream and relays its lines if the caller requested a stream.
    class GenerationRelay {
    public:
        GenerationRelay(const RequestContext& context, bool isStreamed)
            : m_context(context)
            , m_isStreamed(isStreamed)
        {
        }

        HttpStreamHandler handler()
        {
            HttpStreamHandler handler;
            handler.onHead = [this](const HttpResponse& head) -> Task<bool> {
                m_status = head.status;
                m_isReportedNotRun = head.status == statusServiceUnavailable && head.field(notRunField) == "true";
                co_return true;
            };
            handler.onPart = [this](std::string_view part) { return receivePart(part); };
            handler.stallTimeout = generationStallTimeout;
            return handler;
        }

        bool isReportedNotRun() const noexcept { return m_isReportedNotRun; }
        bool isComplete() const noexcept { return m_status == statusOk && m_isWellFormed && m_reader.isComplete(); }

        Task<bool> finish()
        {
            const auto generation = m_reader.generation();
            const auto versions = joinVersions(generation.versions);
            if (m_isStreamed) {
                HttpFields trailer { { std::string(weightVersionsField), versions } };
                return m_context.responder.endStream(std::move(trailer));
            }
            auto response = responseHead(m_context, "application/json");
            response.fields.emplace_back(weightVersionsField, versions);
            response.body = nlohmann::json { { "text", generation.text }, { "tokens", generation.tokens }, { "weight-versions", generation.versions } }.dump();
            response.memory = m_memory;
            return m_context.responder.send(std::move(response));
        }

    private:
        Task<bool> receivePart(std::string_view part)
        {
            if (m_status != statusOk)
                co_return true;
            m_isWellFormed = m_isWellFormed && m_reader.append(part) && m_memory->resize(copiesOfText * m_reader.memoryBytes());
            if (!m_isWellFormed || !m_isStreamed)
                co_return m_isWellFormed;
            if (!m_context.responder.hasBegun()) {
                auto head = responseHead(m_context, streamContentType);
                head.fields.emplace_back("Trailer", weightVersionsField);
                const bool hasBegun = co_await m_context.responder.beginStream(std::move(head));
                if (!hasBegun)
                    co_return false;
            }
            co_return co_await m_context.responder.writeChunk(part);
        }

        const RequestContext& m_context;
        GenerationReader m_reader;
        /// The text is held by the reader and in the response.
        static constexpr std::size_t copiesOfText = 2;
        std::shared_ptr<MessageMemory::Share> m_memory = std::make_shared<MessageMemory::Share>(MessageMemory::ofProcess());
        bool m_isStreamed;
        bool m_isWellFormed = true;
        bool m_isReportedNotRun = false;
        unsigned m_status = 0;
    };

} // namespace

Result<GenerationRequest> parseGenerationRequest(const ServerRequest& request, const RequestId& id, Priority priority)
{
    const auto document = nlohmann::json::parse(request.body.text(), nullptr, false);
    if (!document.is_object())
        return failure(ErrorCode::RequestInvalid, "not a JSON object", "body");
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string())
        return failure(ErrorCode::RequestInvalid, "a string is required", "body: prompt");
    GenerationRequest generation;
    generation.id = id;
    generation.prompt = prompt->get<std::string>();
    generation.priority = static_cast<unsigned>(priority);
    const auto prefixKey = document.find("prefix-key");
    if (prefixKey != document.end() && prefixKey->is_string())
        generation.prefixKey = prefixKey->get<std::string>();
    const auto maximumTokens = document.find("maximum-tokens");
    if (maximumTokens == document.end())
        return generation;
    if (!maximumTokens->is_number_unsigned() || maximumTokens->get<std::uint64_t>() > maximumTokensLimit)
        return failure(ErrorCode::RequestInvalid, "must be an integer from 0 to " + std::to_string(maximumTokensLimit), "body: maximum-tokens");
    generation.maximumTokens = maximumTokens->get<unsigned>();
    return generation;
}

Result<void> GenerateCall::check(const RequestContext& context)
{
    const auto memory = reserveDocument("generation request", jsonDocumentBytes(context.request.body));
    if (!memory)
        return failure(ErrorCode::Overloaded, "there is no memory left for the request", "body");
    auto generation = parseGenerationRequest(context.request, context.id, context.route.priority);
    if (!generation)
        return generation.as_failure();
    m_request = std::move(generation.value());
    return success();
}

std::optional<std::uint64_t> GenerateCall::affinity() const
{
    if (m_request.prefixKey.empty())
        return std::nullopt;
    return placementHash(m_request.prefixKey);
}

Task<AttemptResult> GenerateCall::attempt(const RequestContext& context, const Target& target, TimePoint deadline)
{
    AttemptResult result;
    const auto client = m_clients.client(context.request.worker, Endpoint { target.address, target.port });
    GenerationRelay relay(context, context.request.field("Accept").find(streamContentType) != std::string_view::npos);
    auto response = co_await client->stream(makeGenerateRequest(m_request), deadline, relay.handler());
    if (!response) {
        result.kind = completionKindFor(response.error().code);
        result.error = response.error();
        co_return result;
    }
    if (relay.isReportedNotRun() || !relay.isComplete()) {
        result.kind = relay.isReportedNotRun() ? CompletionKind::NotRun : CompletionKind::Lost;
        result.error = Error { ErrorCode::OutcomeUnknown, "the engine returned no complete generation", target.id.value() };
        co_return result;
    }
    const bool isDelivered = co_await relay.finish();
    result.kind = isDelivered ? CompletionKind::Succeeded : CompletionKind::Abandoned;
    result.response.status = statusOk;
    co_return result;
}

} // namespace cicadalb
