#include "RelayMessages.h"

#include "cicadalb/base/CborRecord.h"

namespace cicadalb {

namespace {

    using Json = nlohmann::json;
    using std::chrono::milliseconds;

    constexpr std::string_view messageName = "relay message";

    Json toJson(const HttpFields& fields)
    {
        // Field values may hold bytes that are not valid UTF-8.
        Json json = Json::array();
        for (const auto& [name, value] : fields)
            json.push_back({ binaryValue(name), binaryValue(value) });
        return json;
    }

    HttpFields fieldsFrom(const Json& json)
    {
        HttpFields fields;
        for (const auto& field : json)
            fields.emplace_back(bytesFromBinaryValue(field.at(0)), bytesFromBinaryValue(field.at(1)));
        return fields;
    }

    Json toJson(const SoftwareRelease& release) { return { release.pool.value(), release.version.value() }; }

    SoftwareRelease releaseFrom(const Json& json)
    {
        return { PoolName(json.at(0).get<std::string>()), SoftwareVersion(json.at(1).get<std::string>()) };
    }

} // namespace

std::string encodeRelayRequest(const RelayRequest& request)
{
    const auto& message = request.message;
    return toCbor({ { "method", binaryValue(message.method) }, { "target", binaryValue(message.target) }, { "fields", toJson(message.fields) }, { "body", binaryValue(message.body) }, { "pool", request.pool.value() },
        { "configuration", request.configurationVersion }, { "remaining-ms", request.remainingTime.count() }, { "attempts-left", request.attemptsLeft },
        { "release", request.requiredRelease ? toJson(*request.requiredRelease) : Json() },
        { "organisation", request.organisation.value() }, { "key-digest", request.keyDigest } });
}

Result<RelayRequest> decodeRelayRequest(std::string_view body)
{
    return readCbor<RelayRequest>(body, std::string(messageName), [](const Json& json) {
        RelayRequest request;
        request.message.method = bytesFromBinaryValue(json.at("method"));
        request.message.target = bytesFromBinaryValue(json.at("target"));
        request.message.fields = fieldsFrom(json.at("fields"));
        request.message.body = bytesFromBinaryValue(json.at("body"));
        request.pool = PoolName(json.at("pool").get<std::string>());
        request.configurationVersion = json.at("configuration").get<std::uint64_t>();
        request.remainingTime = milliseconds(json.at("remaining-ms").get<std::int64_t>());
        request.attemptsLeft = json.at("attempts-left").get<unsigned>();
        if (!json.at("release").is_null())
            request.requiredRelease = releaseFrom(json.at("release"));
        // Requests of earlier builds lack these fields.
        request.organisation = OrganisationName(json.value("organisation", ""));
        request.keyDigest = json.value("key-digest", "");
        return request;
    });
}

std::string encodeRelayReply(const RelayReply& reply)
{
    const auto& outcome = reply.outcome;
    return toCbor({ { "forwarded", reply.hasForwarded }, { "state", name(outcome.state) }, { "status", outcome.answer.status }, { "fields", toJson(outcome.answer.fields) },
        { "body", binaryValue(outcome.answer.body) }, { "retry-after-ms", std::chrono::duration_cast<milliseconds>(outcome.retryAfter).count() }, { "attempts", outcome.attempts }, { "release", toJson(outcome.release) },
        { "cause", outcome.cause } });
}

Result<RelayReply> decodeRelayReply(std::string_view body)
{
    return readCbor<RelayReply>(body, std::string(messageName), [](const Json& json) -> Result<RelayReply> {
        const auto state = forwardStateNamed(json.at("state").get_ref<const std::string&>());
        if (!state)
            return failure(ErrorCode::RecordInvalid, "the state is not known", std::string(messageName));
        RelayReply reply;
        reply.hasForwarded = json.at("forwarded").get<bool>();
        auto& outcome = reply.outcome;
        outcome.state = *state;
        outcome.answer.status = json.at("status").get<unsigned>();
        outcome.answer.fields = fieldsFrom(json.at("fields"));
        outcome.answer.body = bytesFromBinaryValue(json.at("body"));
        outcome.retryAfter = milliseconds(json.at("retry-after-ms").get<std::int64_t>());
        outcome.attempts = json.at("attempts").get<unsigned>();
        outcome.release = releaseFrom(json.at("release"));
        outcome.cause = json.at("cause").get<std::string>();
        return reply;
    });
}

} // namespace cicadalb
