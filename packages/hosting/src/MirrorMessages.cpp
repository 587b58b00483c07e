#include "MirrorMessages.h"

#include "cicadalb/base/CborRecord.h"
#include "cicadalb/site/TargetRegistry.h"

namespace cicadalb {

namespace {

    using Json = nlohmann::json;

    Json toJson(const KeyValueEntry& entry)
    {
        return { entry.key, binaryValue(entry.value), entry.revision, entry.isDeleted };
    }

    Json toJson(const SuspectList& list)
    {
        Json suspects = Json::array();
        for (const auto& suspect : list.suspects)
            suspects.push_back({ suspect.request.value(), suspect.crashes, suspect.isBlocked });
        return { { "revision", list.revision }, { "requests", std::move(suspects) } };
    }

    SuspectList suspectsFrom(const Json& json)
    {
        SuspectList list;
        list.revision = json.at("revision").get<Revision>();
        for (const auto& suspect : json.at("requests"))
            list.suspects.push_back({ RequestFingerprint(suspect.at(0).get<std::string>()), suspect.at(1).get<unsigned>(), suspect.at(2).get<bool>() });
        return list;
    }

    KeyValueEntry entryFrom(const Json& json)
    {
        KeyValueEntry entry;
        entry.key = json.at(0).get<std::string>();
        entry.value = bytesFromBinaryValue(json.at(1));
        entry.revision = json.at(2).get<Revision>();
        entry.isDeleted = json.at(3).get<bool>();
        return entry;
    }

} // namespace

std::string encodeMirrorQuery(const MirrorQuery& query)
{
    return toCbor({ { "prefix", query.prefix }, { "after", query.after ? Json(*query.after) : Json() }, { "patience-ms", query.maximumWait.count() }, { "suspects-after", query.suspectsAfter ? Json(*query.suspectsAfter) : Json() } });
}

Result<MirrorQuery> decodeMirrorQuery(std::string_view body)
{
    return readCbor<MirrorQuery>(body, "mirror message", [](const Json& json) {
        MirrorQuery query;
        query.prefix = json.at("prefix").get<std::string>();
        if (const auto& after = json.at("after"); !after.is_null())
            query.after = after.get<Revision>();
        query.maximumWait = std::chrono::milliseconds(json.at("patience-ms").get<std::int64_t>());
        // Queries of earlier builds lack this field.
        if (const auto after = json.find("suspects-after"); after != json.end() && !after->is_null())
            query.suspectsAfter = after->get<Revision>();
        return query;
    });
}

std::string encodeMirrorReply(const MirrorReply& reply)
{
    Json entries = Json::array();
    for (const auto& entry : reply.records.entries)
        entries.push_back(toJson(entry));
    return toCbor({ { "entries", std::move(entries) }, { "revision", reply.records.revision }, { "snapshot", reply.isSnapshot },
        { "after-outage", reply.mayReturnWithin.count() > 0 }, { "return-ms", reply.mayReturnWithin.count() }, { "age-ms", reply.age.count() }, { "waited-ms", reply.waited.count() }, { "suspects", reply.suspects ? toJson(*reply.suspects) : Json() }, { "candidate", reply.coordination.isCandidate }, { "coordinator", reply.coordination.coordinatorAddress } });
}

Result<MirrorReply> decodeMirrorReply(std::string_view body)
{
    return readCbor<MirrorReply>(body, "mirror message", [](const Json& json) {
        MirrorReply reply;
        for (const auto& entry : json.at("entries"))
            reply.records.entries.push_back(entryFrom(entry));
        reply.records.revision = json.at("revision").get<Revision>();
        reply.isSnapshot = json.at("snapshot").get<bool>();
        // Replies of earlier builds state only whether there was an outage.
        const auto returnTime = json.at("after-outage").get<bool>() ? TargetRegistry::reregistrationGracePeriod : std::chrono::milliseconds(0);
        reply.mayReturnWithin = std::chrono::milliseconds(json.value("return-ms", std::int64_t { returnTime.count() }));
        reply.age = std::chrono::milliseconds(json.at("age-ms").get<std::int64_t>());
        // Replies of earlier builds lack these fields.
        reply.waited = std::chrono::milliseconds(json.value("waited-ms", std::int64_t { 0 }));
        if (const auto suspects = json.find("suspects"); suspects != json.end() && !suspects->is_null())
            reply.suspects = suspectsFrom(*suspects);
        reply.coordination.isCandidate = json.value("candidate", true);
        reply.coordination.coordinatorAddress = json.value("coordinator", std::string());
        return reply;
    });
}

} // namespace cicadalb
