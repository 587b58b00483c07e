#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/rollout/StepJson.h"
#include "cicadalb/services/KeyValueService.h"

#include <optional>
#include <string>
#include <string_view>

/// @file
/// The announced weight version of each model, kept in the key-value service.

namespace cicadalb {

/// @brief The version that a model's engines shall hold.
struct WeightRecord {
    WeightVersion version = 0;
    /// Highest version ever announced; announcements that are not higher are ignored, except rollbacks.
    WeightVersion newest = 0;
    /// Identifies the announce() call that wrote the record, so that it recognizes its own write after a lost answer.
    std::string writer;
    bool operator==(const WeightRecord&) const = default;
};

/// @brief Key of a model's record.
std::string weightRecordKey(std::string_view model);

std::string toJson(const WeightRecord&);
Result<WeightRecord> weightRecordFromJson(std::string_view);

/// @brief The record updated by @p announcement, or the same one if the announced version is not newer. Only a rollback lowers the version.
WeightRecord applyAnnouncement(const WeightRecord&, const WeightAnnouncement&);

/// @brief Reads and writes the records. Thread-safe.
class WeightRegistry {
public:
    explicit WeightRegistry(KeyValueService& service)
        : m_service(service)
    {
    }

    /// @brief Records an announcement by compare-and-swap. Idempotent. @p writer is unique for each call.
    /// Errors: Conflict after too many conflicting writes or lost answers, and those of the service.
    Task<Result<WeightRecord>> announce(WeightAnnouncement, std::string writer);

    /// @brief Reads a model's record; version 0 if nothing was announced.
    Task<Result<WeightRecord>> read(std::string model);

private:
    KeyValueService& m_service;
};

} // namespace cicadalb
