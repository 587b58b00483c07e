#pragma once

#include "TomlReader.h"
#include "cicadalb/config/Tables.h"

/// @file
/// Checks that span entries of both tables: references, duplicates, overlaps.

namespace cicadalb::detail {

/// @brief A parsed file, for the places of its problems.
struct TableSource {
    TomlReader& reader;
    const toml::table& root;

    /// @brief Reports a problem at the node that @p path ("routes.lookup.pool") leads to, or at its nearest parent.
    void report(ErrorCode, std::string message, std::string_view path);
};

void checkTables(const Tables&, TableSource routes, TableSource pools);

} // namespace cicadalb::detail
