#pragma once

#include "cicadalb/base/Error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// @file
/// The project's own records and messages: JSON values encoded as CBOR, including byte strings.

namespace cicadalb {

inline std::string toCbor(const nlohmann::json& document)
{
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

inline nlohmann::json binaryValue(const std::string& bytes)
{
    return nlohmann::json::binary({ bytes.begin(), bytes.end() });
}

inline std::string bytesFromBinaryValue(const nlohmann::json& json)
{
    const auto& bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

/// @brief Decodes @p bytes and returns the result of @p read on the JSON value. An exception of the JSON library becomes RecordInvalid, with
/// @p where as Error::where.
template <typename Value, typename Read>
Result<Value> readCbor(std::string_view bytes, std::string where, Read read)
{
    try {
        return read(nlohmann::json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const nlohmann::json::exception& error) {
        return failure(ErrorCode::RecordInvalid, error.what(), std::move(where));
    }
}

} // namespace cicadalb
