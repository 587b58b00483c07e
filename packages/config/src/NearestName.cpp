#include "NearestName.h"

#include <algorithm>
#include <numeric>

namespace cicadalb::detail {

namespace {

    /// Longest list of known names that a message includes.
    constexpr std::size_t maximumListedNames = 12;

} // namespace

std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> secondLastRow(to.size() + 1);
    std::vector<std::size_t> lastRow(to.size() + 1);
    std::vector<std::size_t> currentRow(to.size() + 1);
    std::iota(lastRow.begin(), lastRow.end(), std::size_t { 0 });
    for (std::size_t row = 1; row <= from.size(); ++row) {
        currentRow[0] = row;
        for (std::size_t column = 1; column <= to.size(); ++column) {
            const std::size_t replacement = from[row - 1] == to[column - 1] ? 0 : 1;
            currentRow[column] = std::min({ lastRow[column] + 1, currentRow[column - 1] + 1, lastRow[column - 1] + replacement });
            const bool isSwap = row > 1 && column > 1 && from[row - 1] == to[column - 2] && from[row - 2] == to[column - 1];
            if (isSwap)
                currentRow[column] = std::min(currentRow[column], secondLastRow[column - 2] + 1);
        }
        secondLastRow.swap(lastRow);
        lastRow.swap(currentRow);
    }
    return lastRow[to.size()];
}

std::optional<std::string_view> nearestName(std::string_view word, const std::vector<std::string_view>& known)
{
    std::optional<std::string_view> nearest;
    std::size_t distanceLimit = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const auto candidate : known) {
        const auto distance = editDistance(word, candidate);
        if (distance >= distanceLimit)
            continue;
        distanceLimit = distance;
        nearest = candidate;
    }
    return nearest;
}

std::string suggestion(std::string_view word, const std::vector<std::string_view>& known)
{
    if (const auto nearest = nearestName(word, known))
        return "; did you mean '" + std::string(*nearest) + "'?";
    if (known.empty() || known.size() > maximumListedNames)
        return {};
    std::string list = "; known: ";
    for (const auto name : known)
        list += (name == known.front() ? "" : ", ") + std::string(name);
    return list;
}

} // namespace cicadalb::detail
