#include "PeerMessage.h"

#include "cicadalb/base/CborNesting.h"

#include <nlohmann/json.hpp>

namespace cicadalb::detail {

namespace {

    using Json = nlohmann::json;

    constexpr auto highestType = static_cast<std::uint8_t>(PeerMessageType::Answer);
    constexpr auto highestOutcome = static_cast<std::uint8_t>(PeerOutcome::Unknown);

    Json binary(const std::vector<std::uint8_t>& bytes) { return Json::binary(bytes); }

    PeerRequest requestFrom(const Json& json)
    {
        PeerRequest request;
        request.kind = static_cast<PeerRequestKind>(json.at("kind").get<std::uint8_t>());
        request.body = json.at("body").get_binary();
        return request;
    }

    PeerAnswer answerFrom(const Json& json)
    {
        PeerAnswer answer;
        answer.outcome = static_cast<PeerOutcome>(json.at("outcome").get<std::uint8_t>());
        answer.error = json.at("error").get<std::uint16_t>();
        answer.message = json.at("message").get<std::string>();
        answer.body = json.at("body").get_binary();
        return answer;
    }

    PeerMessage messageFrom(const Json& json)
    {
        PeerMessage message;
        message.type = static_cast<PeerMessageType>(json.at("type").get<std::uint8_t>());
        message.host = json.at("host").get<std::string>();
        message.incarnation = json.at("incarnation").get<std::uint64_t>();
        message.receiverIncarnation = json.value("to", std::uint64_t { 0 });
        message.nonce = json.value("nonce", std::string());
        message.proof = json.value("proof", std::string());
        message.requestId = json.value("id", std::uint64_t { 0 });
        message.acknowledgedBelow = json.value("acknowledged", std::uint64_t { 0 });
        if (message.type == PeerMessageType::Request)
            message.request = requestFrom(json);
        if (message.type == PeerMessageType::Answer)
            message.answer = answerFrom(json);
        return message;
    }

    bool hasKnownEnumValues(const Json& json)
    {
        if (!json.is_object() || json.value("type", 255U) > highestType)
            return false;
        return json.value("outcome", 0U) <= highestOutcome;
    }

} // namespace

std::vector<std::uint8_t> encode(const PeerMessage& message)
{
    Json json = Json::object();
    json["type"] = static_cast<std::uint8_t>(message.type);
    json["host"] = message.host;
    json["incarnation"] = message.incarnation;
    json["to"] = message.receiverIncarnation;
    if (!message.nonce.empty())
        json["nonce"] = message.nonce;
    if (!message.proof.empty())
        json["proof"] = message.proof;
    if (message.type == PeerMessageType::Request) {
        json["id"] = message.requestId;
        json["acknowledged"] = message.acknowledgedBelow;
        json["kind"] = static_cast<std::uint8_t>(message.request.kind);
        json["body"] = binary(message.request.body);
    }
    if (message.type == PeerMessageType::Answer) {
        json["id"] = message.requestId;
        json["outcome"] = static_cast<std::uint8_t>(message.answer.outcome);
        json["error"] = message.answer.error;
        json["message"] = message.answer.message;
        json["body"] = binary(message.answer.body);
    }
    return Json::to_cbor(json);
}

std::optional<PeerMessage> decode(const std::string& bytes)
{
    if (isCborNestedTooDeeply(bytes))
        return std::nullopt;
    // from_cbor() throws on some invalid lengths even with exceptions disabled.
    try {
        const auto json = Json::from_cbor(bytes, true, false);
        if (!hasKnownEnumValues(json))
            return std::nullopt;
        return messageFrom(json);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace cicadalb::detail
