#pragma once

#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The last refused edits, stored in the key-value service so that every host can show them.

namespace cicadalb {

/// @brief A refused edit and the reasons of its refusal.
struct RefusedEdit {
    /// Seconds since the epoch.
    std::int64_t refusedAt = 0;
    std::string author;
    std::optional<ConfigurationNumber> baseNumber;
    /// Descriptions of the errors, at most maximumRefusalReasons.
    std::vector<std::string> reasons;
    bool operator==(const RefusedEdit&) const = default;
};

inline constexpr std::size_t maximumRefusedEdits = 8;
inline constexpr std::size_t maximumRefusalReasons = 8;
inline constexpr std::size_t maximumRefusalReasonBytes = 512;

/// @brief Makes a RefusedEdit from the errors of an edit; surplus reasons and bytes are cut off.
RefusedEdit makeRefusedEdit(std::int64_t refusedAt, std::string author, std::optional<ConfigurationNumber> baseNumber, const Errors&);

/// @brief At most maximumRefusedEdits refused edits, newest first.
class RefusedEdits {
public:
    /// @brief Reads a list; returns an empty list if @p json is not a JSON array.
    static RefusedEdits fromJson(std::string_view json);
    std::string toJson() const;

    void add(RefusedEdit);
    const std::vector<RefusedEdit>& edits() const noexcept { return m_edits; }

private:
    std::vector<RefusedEdit> m_edits;
};

} // namespace cicadalb
