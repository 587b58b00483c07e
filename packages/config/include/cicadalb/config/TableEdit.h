#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

/// @file
/// Edits of single entries in the tables' texts that keep the operators' comments and order.

namespace cicadalb {

/// @brief The texts of both tables.
struct TableTexts {
    std::string routes;
    std::string pools;
    bool operator==(const TableTexts&) const = default;
};

/// @brief Number of the configuration that the routes text was edited from (its key "based-on"), if any.
std::optional<ConfigurationNumber> basedOn(std::string_view routesText);
/// @brief The routes text with "based-on = NUMBER" as its first line, in place of an earlier one.
std::string withBasedOn(std::string_view routesText, ConfigurationNumber);
/// @brief The routes text without its "based-on" line, as it is kept in records.
std::string withoutBasedOn(std::string_view routesText);

/// @brief Sets or clears the draining flag of one target. Errors: those of parseTables(), NameUnknown, ValueInvalid if the layout of
/// the text does not allow an automatic edit.
Result<TableTexts> withDraining(const TableTexts&, const TargetId&, bool isDraining);

/// @brief Removes one entry with everything below its header. Errors: SyntaxInvalid, NameUnknown, ValueInvalid as withDraining().
/// References to the removed entry are left for parseTables() to report.
Result<TableTexts> withoutEntry(const TableTexts&, const RetiredName&);

} // namespace cicadalb
