#include "MirrorMessages.h"

#include <nlohmann/json.hpp>

namespace cicadalb {

namespace {

    using Json = nlohmann::json;

    std::string toBody(const Json& document)
    {
        std::string body;
        Json::to_cbor(document, body);
        return body;
    }

    /// Runs @p read on the body; what the JSON library throws becomes an error.
    template <typename Message, typename Read>
    Result<Message> readBody(std::string_view body, Read read)
    {
        try {
            return read(Json::from_cbor(body.begin(), body.end()));
        } catch (const Json::exception& error) {
            return failure(ErrorCode::RecordInvalid, error.what(), "mirror message");
        }
    }

    Json toJson(const KeyValueEntry& entry)
    {
        return { entry.key, Json::binary({ entry.value.begin(), entry.value.end() }), entry.revision, entry.isDeleted };
    }

    KeyValueEntry entryFrom(const Json& json)
    {
        KeyValueEntry entry;
        entry.key = json.at(0).get<std::string>();
        const auto& value = json.at(1).get_binary();
        entry.value.assign(value.begin(), value.end());
        entry.revision = json.at(2).get<Revision>();
        entry.isDeleted = json.at(3).get<bool>();
        return entry;
    }

} // namespace

std::string encodeMirrorQuery(const MirrorQuery& query)
{
    return toBody({ { "prefix", query.prefix }, { "after", query.after ? Json(*query.after) : Json() }, { "patience-ms", query.patience.count() } });
}

Result<MirrorQuery> decodeMirrorQuery(std::string_view body)
{
    return readBody<MirrorQuery>(body, [](const Json& json) {
        MirrorQuery query;
        query.prefix = json.at("prefix").get<std::string>();
        if (const auto& after = json.at("after"); !after.is_null())
            query.after = after.get<Revision>();
        query.patience = std::chrono::milliseconds(json.at("patience-ms").get<std::int64_t>());
        return query;
    });
}

std::string encodeMirrorReply(const MirrorReply& reply)
{
    Json entries = Json::array();
    for (const auto& entry : reply.records.entries)
        entries.push_back(toJson(entry));
    return toBody({ { "entries", std::move(entries) }, { "revision", reply.records.revision }, { "snapshot", reply.isSnapshot },
        { "after-outage", reply.isAfterOutage }, { "age-ms", reply.age.count() } });
}

Result<MirrorReply> decodeMirrorReply(std::string_view body)
{
    return readBody<MirrorReply>(body, [](const Json& json) {
        MirrorReply reply;
        for (const auto& entry : json.at("entries"))
            reply.records.entries.push_back(entryFrom(entry));
        reply.records.revision = json.at("revision").get<Revision>();
        reply.isSnapshot = json.at("snapshot").get<bool>();
        reply.isAfterOutage = json.at("after-outage").get<bool>();
        reply.age = std::chrono::milliseconds(json.at("age-ms").get<std::int64_t>());
        return reply;
    });
}

} // namespace cicadalb
