#include "EngineProtocol.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr std::size_t maximumLineBytes = std::size_t { 1 } << 20U;

    HttpRequest jsonPost(std::string path, const nlohmann::json& body)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(path);
        request.fields.emplace_back("Content-Type", "application/json");
        request.body = body.dump();
        return request;
    }

    /// Member @p key of @p object if it is an unsigned number, else @p fallback.
    template <typename Number>
    Number numberIn(const nlohmann::json& object, const char* key, Number fallback)
    {
        const auto found = object.find(key);
        return found != object.end() && found->is_number_unsigned() ? found->get<Number>() : fallback;
    }

    bool boolIn(const nlohmann::json& object, const char* key)
    {
        const auto found = object.find(key);
        return found != object.end() && found->is_boolean() && found->get<bool>();
    }

} // namespace

HttpRequest makeGenerateRequest(const GenerationRequest& request)
{
    auto message = jsonPost("/generate", {
                                             { "request-id", request.id.value() },
                                             { "prompt", request.prompt },
                                             { "prefix-key", request.prefixKey },
                                             { "maximum-tokens", request.maximumTokens },
                                             { "priority", request.priority },
                                         });
    message.exchangeId.value = request.id.value();
    return message;
}

HttpRequest makeCancelRequest(const RequestId& id)
{
    return jsonPost("/cancel", { { "request-id", id.value() } });
}

HttpRequest makeLoadReportRequest()
{
    HttpRequest request;
    request.target = "/load";
    return request;
}

HttpRequest makeWeightOrderRequest(const WeightOrder& order)
{
    return jsonPost("/orders", {
                                   { "order", "load-weights" },
                                   { "model", order.model },
                                   { "version", order.version },
                                   { "fence", order.fence },
                               });
}

Result<EngineStatus> engineStatusFromJson(std::string_view body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return failure(ErrorCode::AnswerInvalid, "not a JSON object", "load report");
    EngineStatus status;
    status.version = numberIn<WeightVersion>(document, "version", 0);
    status.running = numberIn<unsigned>(document, "running", 0);
    status.queued = numberIn<unsigned>(document, "queued", 0);
    status.fence = numberIn<FencingNumber>(document, "fence", 0);
    status.isLeaving = boolIn(document, "leaving");
    status.age = std::chrono::milliseconds(numberIn<unsigned>(document, "age-ms", 0));
    return status;
}

bool GenerationReader::append(std::string_view part)
{
    m_unparsed.append(part);
    std::size_t begin = 0;
    for (auto end = m_unparsed.find('\n'); end != std::string::npos; end = m_unparsed.find('\n', begin)) {
        if (!parseLine(std::string_view(m_unparsed).substr(begin, end - begin)))
            return false;
        begin = end + 1;
    }
    m_unparsed.erase(0, begin);
    return m_unparsed.size() <= maximumLineBytes;
}

bool GenerationReader::parseLine(std::string_view line)
{
    if (line.empty())
        return true;
    const auto chunk = nlohmann::json::parse(line, nullptr, false);
    if (!chunk.is_object() || m_isDone)
        return false;
    if (boolIn(chunk, "done")) {
        m_isDone = true;
        m_declaredTokens = numberIn<unsigned>(chunk, "tokens", 0);
        return true;
    }
    const auto text = chunk.find("text");
    if (text != chunk.end() && text->is_string())
        m_generation.text += text->get_ref<const std::string&>();
    m_generation.tokens += numberIn<unsigned>(chunk, "tokens", 0);
    m_progress.tokens = m_generation.tokens;
    m_progress.version = numberIn<WeightVersion>(chunk, "version", 0);
    if (m_progress.version == 0)
        m_hasUnlabelledChunk = true;
    else
        m_generation.versions.push_back(m_progress.version);
    return true;
}

Generation GenerationReader::generation() const
{
    auto result = m_generation;
    std::sort(result.versions.begin(), result.versions.end());
    result.versions.erase(std::unique(result.versions.begin(), result.versions.end()), result.versions.end());
    if (m_hasUnlabelledChunk)
        result.versions.clear();
    return result;
}

} // namespace cicadalb
