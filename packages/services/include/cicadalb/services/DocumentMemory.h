#pragma once

#include "cicadalb/services/MessageMemory.h"

#include <cstddef>
#include <memory>
#include <string_view>

/// @file
/// Memory of documents from outside the process while they are parsed: a few bytes of text can become a value of some dozen bytes.

namespace cicadalb {

/// @brief Upper limit on the memory of the parsed document. Complexity: linear in the size of the text.
std::size_t jsonDocumentBytes(std::string_view text);
/// @brief As above, for CBOR.
std::size_t cborDocumentBytes(std::string_view bytes);

/// @brief Takes memory of the process for a document. A refusal is logged (608) and counted.
/// @param kind of the document, in the log line
/// @return null if there is no room for the document, which must not be parsed then
std::shared_ptr<MessageMemory::Share> reserveDocument(std::string_view kind, std::size_t bytes);

} // namespace cicadalb
