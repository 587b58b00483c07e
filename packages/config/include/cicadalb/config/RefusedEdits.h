#pragma once

#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The last edits that were refused, kept where every host can show them.

namespace cicadalb {

struct RefusedEdit {
    /// Seconds since the epoch.
    std::int64_t at = 0;
    std::string author;
    std::optional<ConfigurationNumber> base;
    /// Described errors, at most maximumRefusalReasons.
    std::vector<std::string> reasons;
    bool operator==(const RefusedEdit&) const = default;
};

inline constexpr std::size_t maximumRefusedEdits = 8;
inline constexpr std::size_t maximumRefusalReasons = 8;
inline constexpr std::size_t maximumRefusalReasonBytes = 512;

/// @brief A refusal with its reasons cut to size.
RefusedEdit refusedEdit(std::int64_t at, std::string author, std::optional<ConfigurationNumber> base, const Errors&);

/// @brief Bounded list, newest first.
class RefusedEdits {
public:
    /// @brief Reads a list; anything that is not one leads to an empty list.
    static RefusedEdits fromJson(std::string_view json);
    std::string toJson() const;

    void add(RefusedEdit);
    const std::vector<RefusedEdit>& edits() const noexcept { return m_edits; }

private:
    std::vector<RefusedEdit> m_edits;
};

} // namespace cicadalb
