#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

/// @file
/// Differences between two configurations, entry by entry.

namespace cicadalb {

enum class ChangeKind : std::uint8_t { Added,
    Removed,
    Changed };

std::string_view name(ChangeKind) noexcept;

/// @brief One entry that differs between two configurations.
struct Difference {
    ChangeKind change = ChangeKind::Changed;
    EntryKind kind = EntryKind::Route;
    std::string name;
    /// Changed members as "key: old -> new", comma-separated; empty for added and removed entries. Never contains a token hash.
    std::string detail;
    bool operator==(const Difference&) const = default;
};

/// @brief Text form: "changed route lookup (pool: a -> b)".
std::string describe(const Difference&);

/// @brief Entries that differ, grouped by kind. Complexity: n log n in the number of entries.
std::vector<Difference> differences(const Tables& from, const Tables& to);

} // namespace cicadalb
