#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <type_traits>

/// @file
/// Reads members of a JSON object by type, without exceptions.

namespace cicadalb::detail {

/// @brief Sets @p value and returns true if @p json has a member @p key of the type of @p value.
template <typename T>
bool readMember(const nlohmann::json& json, const char* key, T& value)
{
    const auto found = json.find(key);
    if (found == json.end())
        return false;
    if constexpr (std::is_same_v<T, std::string>) {
        if (!found->is_string())
            return false;
    } else if constexpr (std::is_unsigned_v<T>) {
        if (!found->is_number_unsigned())
            return false;
    } else {
        static_assert(std::is_integral_v<T>);
        if (!found->is_number_integer())
            return false;
    }
    value = found->template get<T>();
    return true;
}

} // namespace cicadalb::detail
