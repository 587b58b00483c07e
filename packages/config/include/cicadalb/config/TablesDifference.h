#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

/// @file
/// What an edit changes, entry by entry.

namespace cicadalb {

enum class ChangeKind : std::uint8_t { Added,
    Removed,
    Changed };

std::string_view name(ChangeKind) noexcept;

/// @brief One entry that differs between two pairs of tables.
struct Difference {
    ChangeKind change = ChangeKind::Changed;
    EntryKind kind = EntryKind::Route;
    std::string name;
    /// Changed members as "key: old -> new", comma-separated; empty unless the entry changed. Holds no token hash.
    std::string detail;
    bool operator==(const Difference&) const = default;
};

/// @brief "changed route lookup (pool: a -> b)".
std::string describe(const Difference&);

/// @brief Entries that differ, by kind and name. Complexity: linear in the number of entries, times the logarithm.
std::vector<Difference> differences(const Tables& from, const Tables& to);

} // namespace cicadalb
