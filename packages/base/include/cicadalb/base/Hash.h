#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Hash functions: xxHash for placement, SHA-256 and HMAC (OpenSSL) where a cryptographic hash is needed.

namespace cicadalb {

/// @brief 64-bit hash (XXH3) for the placement of keys; not cryptographic. Equal on every host.
std::uint64_t placementHash(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @brief SHA-256 of @p text in lower-case hex.
std::string sha256Hex(std::string_view text);

/// @brief HMAC-SHA-256 of @p text under @p secret in lower-case hex.
std::string hmacHex(std::string_view secret, std::string_view text);

/// @brief Compares two strings in a time that depends only on their lengths.
bool equalConstantTime(std::string_view left, std::string_view right) noexcept;

} // namespace cicadalb
