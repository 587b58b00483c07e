#pragma once

#include "cicadalb/base/CborNesting.h"
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

/// @brief The message of an exception of the JSON library, which may quote the input, shortened to a length for logs.
inline std::string shortMessage(const nlohmann::json::exception& error)
{
    constexpr std::size_t maximumLength = 200;
    return std::string(error.what()).substr(0, maximumLength);
}

/// @brief Decodes @p bytes and returns the result of @p read on the JSON value. An exception of the JSON library becomes RecordInvalid, with
/// @p where as Error::where.
template <typename Value, typename Read>
Result<Value> readCbor(std::string_view bytes, std::string where, Read read)
{
    if (isCborNestedTooDeeply(bytes))
        return failure(ErrorCode::RecordInvalid, "nested too deeply", std::move(where));
    try {
        return read(nlohmann::json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const nlohmann::json::exception& error) {
        return failure(ErrorCode::RecordInvalid, shortMessage(error), std::move(where));
    }
}

} // namespace cicadalb
