#pragma once

#include "TomlReader.h"
#include "cicadalb/config/Tables.h"

/// @file
/// Checks across the entries of both tables: references, duplicates, overlaps.

namespace cicadalb::detail {

/// @brief A parsed file and the reader that problems in it are reported to.
struct TableSource {
    TomlReader& reader;
    const toml::table& root;

    /// @brief Reports a problem at the node with the key path @p path ("routes.lookup.pool") or, if there is none, at its nearest parent.
    void report(ErrorCode, std::string message, std::string_view path);
};

void checkTables(const Tables&, TableSource routes, TableSource pools);

} // namespace cicadalb::detail
