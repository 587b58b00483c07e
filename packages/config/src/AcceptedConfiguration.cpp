#include "cicadalb/config/AcceptedConfiguration.h"

#include "JsonReader.h"
#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    using nlohmann::json;

    constexpr auto entryKindNames = std::to_array<EnumName<EntryKind>>({
        { EntryKind::Route, "route" },
        { EntryKind::Pool, "pool" },
        { EntryKind::Caller, "caller" },
        { EntryKind::Trainer, "trainer" },
        { EntryKind::Target, "target" },
    });

    /// Number of replaced records that are kept.
    constexpr ConfigurationNumber historySlotCount = 32;

    std::vector<std::string> earlierEditIds(const json& record)
    {
        std::vector<std::string> editIds;
        for (const auto& editId : record.value("earlier-marks", json::array())) {
            if (editId.is_string())
                editIds.push_back(editId.get<std::string>());
        }
        return editIds;
    }

    Result<std::vector<RetiredName>> retiredNames(const json& record)
    {
        std::vector<RetiredName> names;
        const auto found = record.find("retired");
        if (found == record.end())
            return names;
        for (const auto& entry : *found) {
            auto retired = retiredNameFromText(entry.is_string() ? entry.get<std::string>() : std::string());
            if (!retired)
                return retired.as_failure();
            names.push_back(std::move(retired.value()));
        }
        return names;
    }

} // namespace

std::string_view name(EntryKind kind) noexcept { return nameIn(entryKindNames, kind); }
std::optional<EntryKind> entryKind(std::string_view name) noexcept { return valueIn(entryKindNames, name); }

std::string toText(const RetiredName& retired)
{
    return std::string(name(retired.kind)) + " " + retired.name;
}

Result<RetiredName> retiredNameFromText(std::string_view text)
{
    const auto space = text.find(' ');
    const auto kind = entryKind(text.substr(0, space));
    if (!kind || kind == EntryKind::Target || space == std::string_view::npos || space + 1 == text.size())
        return failure(ErrorCode::ValueInvalid, "'" + std::string(text) + "' is not 'route NAME', 'pool NAME', 'caller NAME' or 'trainer NAME'");
    return RetiredName { *kind, std::string(text.substr(space + 1)) };
}

std::string configurationHistoryKey(ConfigurationNumber number)
{
    return std::string(configurationHistoryPrefix) + std::to_string(number % historySlotCount);
}

std::string toJson(const AcceptedConfiguration& configuration)
{
    auto retired = json::array();
    for (const auto& name : configuration.retired)
        retired.push_back(toText(name));
    const json record {
        { "number", configuration.number },
        { "routes", configuration.routesText },
        { "pools", configuration.poolsText },
        { "author", configuration.author },
        { "accepted-at", configuration.acceptedAt },
        { "retired", retired },
        { "mark", configuration.editId },
        { "earlier-marks", configuration.earlierEditIds },
    };
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<AcceptedConfiguration> acceptedConfigurationFromJson(std::string_view text)
{
    const auto record = json::parse(text, nullptr, false);
    AcceptedConfiguration configuration;
    const bool isComplete = record.is_object()
        && detail::readMember(record, "number", configuration.number)
        && detail::readMember(record, "routes", configuration.routesText)
        && detail::readMember(record, "pools", configuration.poolsText)
        && detail::readMember(record, "author", configuration.author)
        && detail::readMember(record, "accepted-at", configuration.acceptedAt)
        && detail::readMember(record, "mark", configuration.editId);
    if (!isComplete)
        return failure(ErrorCode::AnswerInvalid, "the value is not a complete configuration record", std::string(acceptedConfigurationKey));
    auto retired = retiredNames(record);
    if (!retired)
        return retired.as_failure();
    configuration.retired = std::move(retired.value());
    configuration.earlierEditIds = earlierEditIds(record);
    auto tables = parseTables(configuration.routesText, configuration.poolsText);
    if (!tables) {
        const auto& first = tables.error().front();
        return failure(first.code, first.message, first.where);
    }
    configuration.tables = std::move(tables.value());
    return configuration;
}

} // namespace cicadalb
