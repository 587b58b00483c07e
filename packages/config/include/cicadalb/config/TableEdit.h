#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

/// @file
/// Small edits of the tables' texts that keep the operators' comments and order.

namespace cicadalb {

/// @brief The texts of both tables.
struct TableTexts {
    std::string routes;
    std::string pools;
    bool operator==(const TableTexts&) const = default;
};

/// @brief Number that a routes text says it is based on (key "based-on"), if any.
std::optional<ConfigurationNumber> basedOn(std::string_view routesText);
/// @brief The text with its first line "based-on = NUMBER".
std::string withBasedOn(std::string_view routesText, ConfigurationNumber);
/// @brief The text without that line, as it is kept in records.
std::string withoutBasedOn(std::string_view routesText);

/// @brief Sets or clears the draining flag of one target. Errors: SyntaxInvalid, NameUnknown, ValueInvalid if the text is laid out so
/// that only a person can edit it.
Result<TableTexts> withDraining(const TableTexts&, const TargetId&, bool isDraining);

/// @brief Removes one entry with everything below its header. Errors: as withDraining(). What the removal breaks is for the
/// checks of the tables to find.
Result<TableTexts> withoutEntry(const TableTexts&, const RetiredName&);

} // namespace cicadalb
