#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Suggestions for misspelt names.

namespace cicadalb::detail {

/// @brief Smallest number of insertions, deletions, replacements and swaps of neighbouring characters that turn @p from into @p to.
/// Complexity: product of both lengths.
std::size_t editDistance(std::string_view from, std::string_view to);

/// @brief The known name with the smallest edit distance to @p word, if it is close enough to suggest a misspelling.
std::optional<std::string_view> nearestName(std::string_view word, const std::vector<std::string_view>& known);

/// @brief "; did you mean 'NAME'?", or the list of known names, or an empty text if there are none or too many.
std::string suggestion(std::string_view word, const std::vector<std::string_view>& known);

} // namespace cicadalb::detail
