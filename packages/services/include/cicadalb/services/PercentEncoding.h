#pragma once

#include <string>
#include <string_view>

/// @file
/// Percent-encoding of URL parts (RFC 3986).

namespace cicadalb {

/// @brief Encodes all but unreserved characters and '/'.
std::string percentEncoded(std::string_view text);

} // namespace cicadalb
