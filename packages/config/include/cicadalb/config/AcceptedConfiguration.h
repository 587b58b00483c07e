#pragma once

#include "cicadalb/config/Tables.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The accepted configuration: both tables under one number, stored as one record.

namespace cicadalb {

/// @brief Kind of a named entry in the tables. Targets are removed without being retired; their kind is used in differences only.
enum class EntryKind : std::uint8_t { Route,
    Pool,
    Caller,
    Trainer,
    Target };

std::string_view name(EntryKind) noexcept;
std::optional<EntryKind> entryKind(std::string_view name) noexcept;

/// @brief Name of an entry that an operator removes explicitly.
struct RetiredName {
    EntryKind kind = EntryKind::Route;
    std::string name;
    bool operator==(const RetiredName&) const = default;
};

/// @brief Text form in commands and records: "route NAME".
std::string toText(const RetiredName&);
/// @brief Reads "route NAME", "pool NAME", "caller NAME" or "trainer NAME". Errors: ValueInvalid.
Result<RetiredName> retiredNameFromText(std::string_view text);

/// @brief A configuration that has been accepted. Hosts use accepted configurations only, and never go back to a lower number.
struct AcceptedConfiguration {
    ConfigurationNumber number = 0;
    std::string routesText;
    std::string poolsText;
    /// The operator who applied it.
    std::string author;
    /// Seconds since the epoch.
    std::int64_t acceptedAt = 0;
    /// Names retired with this configuration.
    std::vector<RetiredName> retired;
    /// Unique ID of the edit that became this record. A writer that lost the answer to its write recognises its record by this ID.
    std::string editId;
    /// Edit IDs of the records before this one, newest first, at most maximumEarlierEditIds.
    std::vector<std::string> earlierEditIds;
    Tables tables;
};

/// Number of earlier edit IDs in a record; a writer can find its own edit until more than that many records have followed it.
inline constexpr std::size_t maximumEarlierEditIds = 16;

/// Prefix of the keys that every host watches.
inline constexpr std::string_view configurationPrefix = "cicadalb/configuration/";
/// Key of the accepted record in the key-value service.
inline constexpr std::string_view acceptedConfigurationKey = "cicadalb/configuration/accepted";

/// Key of the last refused edits.
inline constexpr std::string_view refusedEditsKey = "cicadalb/configuration/refused";
/// Prefix of the keys of replaced records. Hosts do not need these records, so it is outside configurationPrefix.
inline constexpr std::string_view configurationHistoryPrefix = "cicadalb/history/";

/// @brief Key under which a replaced record is kept. Keys are reused after a fixed number of records, which bounds the history.
std::string configurationHistoryKey(ConfigurationNumber);

/// @brief JSON text of the record as stored in the key-value service, without the parsed tables.
std::string toJson(const AcceptedConfiguration&);

/// @brief Reads a record and parses its tables. Errors: AnswerInvalid if it is incomplete, ValueInvalid for a malformed retired name,
/// or the first error of the tables.
Result<AcceptedConfiguration> acceptedConfigurationFromJson(std::string_view json);

} // namespace cicadalb
