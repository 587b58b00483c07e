#include "UsageMessages.h"

#include "cicadalb/base/CborRecord.h"

namespace cicadalb {

namespace {

    using Json = nlohmann::json;

    constexpr const char* messageName = "usage message";

    Json countsToJson(const UsageCounts& counts)
    {
        Json json = Json::object();
        for (const auto& [organisation, count] : counts)
            json[organisation.value()] = count;
        return json;
    }

    UsageCounts countsFromJson(const Json& json)
    {
        UsageCounts counts;
        for (const auto& [organisation, count] : json.get<std::map<std::string, std::uint64_t>>())
            counts.emplace(organisation, count);
        return counts;
    }

    struct WindowCounts {
        UsageWindow window = 0;
        UsageCounts counts;
    };

    Json windowToJson(UsageWindow window, const UsageCounts& counts) { return { { "window", window }, { "counts", countsToJson(counts) } }; }

    WindowCounts windowFromJson(const Json& json) { return { json.at("window").get<UsageWindow>(), countsFromJson(json.at("counts")) }; }

} // namespace

std::string encodeUsageMessage(const UsageMessage& message)
{
    Json windows = Json::array();
    for (const auto& [window, counts] : message.windows)
        windows.push_back(windowToJson(window, counts));
    return toCbor({ { "host", message.host.value() }, { "incarnation", message.incarnation }, { "sequence", message.sequence }, { "windows", std::move(windows) } });
}

Result<UsageMessage> decodeUsageMessage(std::string_view body)
{
    return readCbor<UsageMessage>(body, messageName, [](const Json& json) {
        UsageMessage message;
        message.host = HostId(json.at("host").get<std::string>());
        message.incarnation = json.at("incarnation").get<Incarnation>();
        message.sequence = json.at("sequence").get<std::uint64_t>();
        for (const auto& entry : json.at("windows")) {
            auto window = windowFromJson(entry);
            message.windows.insert_or_assign(window.window, std::move(window.counts));
        }
        return message;
    });
}

std::string encodeUsageReply(const UsageReply& reply)
{
    return toCbor({ { "reporting", reply.isReporting }, { "collecting", reply.isCollecting }, { "collection", reply.collection }, { "closed-up-to", reply.closedUpTo }, { "interval-ms", reply.interval.count() } });
}

Result<UsageReply> decodeUsageReply(std::string_view body)
{
    return readCbor<UsageReply>(body, messageName, [](const Json& json) {
        UsageReply reply;
        reply.isReporting = json.at("reporting").get<bool>();
        reply.isCollecting = json.at("collecting").get<bool>();
        reply.collection = json.at("collection").get<Incarnation>();
        reply.closedUpTo = json.at("closed-up-to").get<UsageWindow>();
        reply.interval = std::chrono::milliseconds(json.at("interval-ms").get<std::int64_t>());
        return reply;
    });
}

std::string encodeUsageRecord(const UsageRecord& record)
{
    Json unsent = Json::array();
    for (const auto& report : record.unsent)
        unsent.push_back(windowToJson(report.window, report.counts));
    return toCbor({ { "newest", record.newest }, { "unsent", std::move(unsent) } });
}

Result<UsageRecord> decodeUsageRecord(std::string_view bytes)
{
    return readCbor<UsageRecord>(bytes, "usage record", [](const Json& json) {
        UsageRecord record;
        record.newest = json.at("newest").get<UsageWindow>();
        for (const auto& entry : json.at("unsent")) {
            auto window = windowFromJson(entry);
            record.unsent.push_back({ window.window, std::move(window.counts) });
        }
        return record;
    });
}

} // namespace cicadalb
