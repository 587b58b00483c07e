#pragma once

#include "cicadalb/base/Error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// @file
/// Records and messages of the product's own: JSON values as CBOR, with byte strings.

namespace cicadalb {

inline std::string toCbor(const nlohmann::json& document)
{
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

inline nlohmann::json cborBytes(const std::string& bytes)
{
    return nlohmann::json::binary({ bytes.begin(), bytes.end() });
}

inline std::string bytesFromCbor(const nlohmann::json& json)
{
    const auto& bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

/// @brief Runs @p read on the JSON value; what the JSON library throws becomes RecordInvalid at @p place.
template <typename Value, typename Read>
Result<Value> readCbor(std::string_view bytes, std::string place, Read read)
{
    try {
        return read(nlohmann::json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const nlohmann::json::exception& error) {
        return failure(ErrorCode::RecordInvalid, error.what(), std::move(place));
    }
}

} // namespace cicadalb
