#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

/// @file
/// Tables that map the values of an enum class to their names and back.

namespace cicadalb {

template <typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

/// @brief Name of @p value in @p table, or "unknown".
template <typename Enum, std::size_t size>
constexpr std::string_view nameIn(const std::array<EnumName<Enum>, size>& table, Enum value) noexcept
{
    const auto found = std::find_if(table.begin(), table.end(), [value](const auto& entry) { return entry.value == value; });
    return found == table.end() ? std::string_view("unknown") : found->name;
}

/// @brief Value with the name @p name in @p table, if any.
template <typename Enum, std::size_t size>
constexpr std::optional<Enum> valueIn(const std::array<EnumName<Enum>, size>& table, std::string_view name) noexcept
{
    const auto found = std::find_if(table.begin(), table.end(), [name](const auto& entry) { return entry.name == name; });
    return found == table.end() ? std::nullopt : std::optional<Enum>(found->value);
}

} // namespace cicadalb
