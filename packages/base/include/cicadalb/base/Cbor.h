#pragma once

#include "cicadalb/base/CborNesting.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// Decoding of CBOR from outside the process. Uses no C++20 features, so that sources compiled as C++17 can include it.

namespace cicadalb {

/// @brief Decodes @p bytes, or returns nothing if they are not valid CBOR.
/// The JSON library throws on some inputs (such as an array of more elements than memory can hold) even though
/// allow_exceptions is false.
inline std::optional<nlohmann::json> jsonFromCbor(const std::vector<std::uint8_t>& bytes)
{
    if (isCborNestedTooDeeply({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }))
        return std::nullopt;
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
