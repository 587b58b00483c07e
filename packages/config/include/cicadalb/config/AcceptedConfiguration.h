#pragma once

#include "cicadalb/config/Tables.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The record that is in force: both tables under one number.

namespace cicadalb {

/// @brief What kind of entry a name in the tables stands for.
/// Targets come and go without being retired; the kind serves differences only.
enum class EntryKind : std::uint8_t { Route,
    Pool,
    Caller,
    Trainer,
    Target };

std::string_view name(EntryKind) noexcept;
std::optional<EntryKind> entryKind(std::string_view name) noexcept;

/// @brief A name that an operator removes on purpose.
struct RetiredName {
    EntryKind kind = EntryKind::Route;
    std::string name;
    bool operator==(const RetiredName&) const = default;
};

/// @brief Text as in commands and records: "route NAME".
std::string toText(const RetiredName&);
/// @brief Reads "route NAME", "pool NAME", "caller NAME" or "trainer NAME". Errors: ValueInvalid.
Result<RetiredName> retiredNameFromText(std::string_view text);

/// @brief A configuration that has been accepted. Hosts run only these, by rising number.
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
    /// Unique to the attempt that wrote the record: after a lost answer its writer knows its own record by it.
    std::string mark;
    /// Marks of the records before this one, newest first, at most maximumEarlierMarks.
    std::vector<std::string> earlierMarks;
    Tables tables;
};

/// How many earlier records a writer can still find its own mark under.
inline constexpr std::size_t maximumEarlierMarks = 16;

/// Keys that every host watches.
inline constexpr std::string_view configurationPrefix = "cicadalb/configuration/";
/// Key of the accepted record in the key-value service.
inline constexpr std::string_view acceptedConfigurationKey = "cicadalb/configuration/accepted";

/// Key of the last refused edits.
inline constexpr std::string_view refusedEditsKey = "cicadalb/configuration/refused";
/// Prefix of the replaced records; outside the watched keys, since hosts do not need them.
inline constexpr std::string_view configurationHistoryPrefix = "cicadalb/history/";

/// @brief Key under which a replaced record is kept. Slots are reused, so that the history is bounded.
std::string configurationHistoryKey(ConfigurationNumber);

/// @brief JSON text of the record as kept in the key-value service (the parsed tables are left out).
std::string toJson(const AcceptedConfiguration&);

/// @brief Reads a record and parses its tables. Errors: AnswerInvalid, or the first error of the tables.
Result<AcceptedConfiguration> acceptedConfigurationFromJson(std::string_view json);

} // namespace cicadalb
