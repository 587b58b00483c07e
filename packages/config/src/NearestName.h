#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Suggestions for misspelt names.

namespace cicadalb::detail {

/// @brief Number of insertions, deletions, replacements and swaps of neighbours that lead from one name to the other.
/// Complexity: product of both lengths.
std::size_t editDistance(std::string_view from, std::string_view to);

/// @brief The known name nearest to @p word, if one is near enough to be meant.
std::optional<std::string_view> nearestName(std::string_view word, const std::vector<std::string_view>& known);

/// @brief "; did you mean 'NAME'?", or the list of known names, or an empty text if there is none.
std::string suggestion(std::string_view word, const std::vector<std::string_view>& known);

} // namespace cicadalb::detail
