#include "NearestName.h"

#include <algorithm>
#include <numeric>

namespace cicadalb::detail {

namespace {

    /// Longest list of known names that a message spells out.
    constexpr std::size_t maximumListedNames = 12;

} // namespace

std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> beforeLast(to.size() + 1);
    std::vector<std::size_t> last(to.size() + 1);
    std::vector<std::size_t> current(to.size() + 1);
    std::iota(last.begin(), last.end(), std::size_t { 0 });
    for (std::size_t row = 1; row <= from.size(); ++row) {
        current[0] = row;
        for (std::size_t column = 1; column <= to.size(); ++column) {
            const std::size_t replacement = from[row - 1] == to[column - 1] ? 0 : 1;
            current[column] = std::min({ last[column] + 1, current[column - 1] + 1, last[column - 1] + replacement });
            const bool isSwap = row > 1 && column > 1 && from[row - 1] == to[column - 2] && from[row - 2] == to[column - 1];
            if (isSwap)
                current[column] = std::min(current[column], beforeLast[column - 2] + 1);
        }
        beforeLast.swap(last);
        last.swap(current);
    }
    return last[to.size()];
}

std::optional<std::string_view> nearestName(std::string_view word, const std::vector<std::string_view>& known)
{
    std::optional<std::string_view> nearest;
    std::size_t limit = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const auto candidate : known) {
        const auto distance = editDistance(word, candidate);
        if (distance >= limit)
            continue;
        limit = distance;
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
