#include "cicadalb/rollout/WeightRegistry.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr unsigned maximumWriteAttempts = 8;

    Result<WeightRecord> recordOf(const std::optional<KeyValueEntry>& entry)
    {
        if (!entry)
            return WeightRecord {};
        return weightRecordFromJson(entry->value);
    }

} // namespace

std::string weightRecordKey(std::string_view model)
{
    return "cicadalb/weights/" + std::string(model);
}

std::string toJson(const WeightRecord& record)
{
    return nlohmann::json { { "version", record.version }, { "newest", record.newest }, { "writer", record.writer } }.dump();
}

Result<WeightRecord> weightRecordFromJson(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const bool isValid = json.is_object() && json.contains("version") && json["version"].is_number_unsigned()
        && json.contains("newest") && json["newest"].is_number_unsigned() && json.contains("writer") && json["writer"].is_string();
    if (!isValid)
        return failure(ErrorCode::AnswerInvalid, "the stored weight record is malformed", "weight record");
    return WeightRecord { json["version"].get<WeightVersion>(), json["newest"].get<WeightVersion>(), json["writer"].get<std::string>() };
}

WeightRecord applyAnnouncement(const WeightRecord& record, const WeightAnnouncement& announcement)
{
    auto next = record;
    if (announcement.isRollback || announcement.version > record.newest)
        next.version = announcement.version;
    next.newest = std::max(record.newest, announcement.version);
    return next;
}

Task<Result<WeightRecord>> WeightRegistry::read(std::string model)
{
    auto entry = co_await m_service.read(weightRecordKey(model));
    if (!entry)
        co_return entry.as_failure();
    co_return recordOf(entry.value());
}

Task<Result<WeightRecord>> WeightRegistry::announce(WeightAnnouncement announcement, std::string writer)
{
    const auto key = weightRecordKey(announcement.model);
    for (unsigned attempt = 0; attempt < maximumWriteAttempts; ++attempt) {
        auto entry = co_await m_service.read(key);
        if (!entry)
            co_return entry.as_failure();
        auto record = recordOf(entry.value());
        if (!record || record.value().writer == writer)
            co_return record;
        auto next = applyAnnouncement(record.value(), announcement);
        if (next == record.value())
            co_return record;
        next.writer = writer;
        CompareAndSwap write { key, toJson(next), entry.value() ? entry.value()->revision : 0 };
        auto written = co_await m_service.compareAndSwap(std::move(write));
        if (written)
            co_return next;
        // After a conflict or a lost answer, the next read shows whether this write took effect.
        const auto code = written.error().code;
        if (code != ErrorCode::Conflict && code != ErrorCode::OutcomeUnknown)
            co_return written.as_failure();
    }
    co_return failure(ErrorCode::Conflict, "weight announcement not recorded: too many conflicting writes or lost answers", key);
}

} // namespace cicadalb
