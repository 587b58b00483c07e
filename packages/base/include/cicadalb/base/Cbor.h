#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// CBOR texts from outside the process. Free of C++20.

namespace cicadalb {

/// @brief The JSON value in @p bytes, or nothing if they are not CBOR.
/// The library throws on some inputs (an array of more elements than memory can hold) although exceptions are switched off.
inline std::optional<nlohmann::json> jsonFromCbor(const std::vector<std::uint8_t>& bytes)
{
    try {
        auto document = nlohmann::json::from_cbor(bytes, true, false);
        if (document.is_discarded())
            return std::nullopt;
        return document;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace cicadalb
