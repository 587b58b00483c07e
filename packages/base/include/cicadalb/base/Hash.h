#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Hashes: xxHash for placement, SHA-256 and HMAC by OpenSSL for proofs.

namespace cicadalb {

/// @brief 64-bit placement hash (XXH3). The same on every host.
std::uint64_t placementHash(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @brief SHA-256 of @p text in lower-case hex.
std::string sha256Hex(std::string_view text);

/// @brief HMAC-SHA-256 of @p text under @p secret in lower-case hex.
std::string hmacHex(std::string_view secret, std::string_view text);

/// @brief Compares two strings in time that depends on their length only.
bool equalConstantTime(std::string_view left, std::string_view right) noexcept;

} // namespace cicadalb
