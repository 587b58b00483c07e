#pragma once

#include <cstddef>
#include <string_view>

/// @file
/// Nesting depth and size of CBOR (RFC 8949). Uses no C++20 features, so that sources compiled as C++17 can include it.

namespace cicadalb {

/// @brief Deepest nesting of arrays, maps and strings in parts that is decoded. The records and messages of this project need less than ten levels.
inline constexpr unsigned maximumCborDepth = 64;

/// @brief Whether @p bytes are nested more deeply than maximumCborDepth. The JSON library decodes CBOR recursively and would exhaust the stack.
/// Bytes that are not valid CBOR may give either result; the library refuses them.
bool isCborNestedTooDeeply(std::string_view bytes);

/// @brief Number of data items, those within arrays and maps included.
std::size_t cborItemCount(std::string_view bytes);

} // namespace cicadalb
