#include "cicadalb/services/DocumentMemory.h"

#include "cicadalb/base/CborNesting.h"
#include "cicadalb/base/Event.h"

#include <algorithm>
#include <string>

namespace cicadalb {

namespace {

    /// Memory of one value of the JSON library with its place in an array, or with its node and key in an object.
    constexpr std::size_t valueBytes = 128;

} // namespace

std::size_t jsonDocumentBytes(std::string_view text)
{
    // Each value but the first follows one of these characters, those within strings included.
    const auto values = std::count_if(text.begin(), text.end(), [](char character) { return character == ',' || character == ':' || character == '[' || character == '{'; });
    return text.size() + (static_cast<std::size_t>(values) + 1) * valueBytes;
}

std::size_t cborDocumentBytes(std::string_view bytes)
{
    return bytes.size() + cborItemCount(bytes) * valueBytes;
}

std::shared_ptr<MessageMemory::Share> reserveDocument(std::string_view kind, std::size_t bytes)
{
    const auto& memory = MessageMemory::ofProcess();
    auto share = std::make_shared<MessageMemory::Share>(memory);
    if (share->resize(bytes))
        return share;
    memory->countRefusal();
    logEvent(Event::MessageRefused, { { "document", std::string(kind) }, { "bytes", std::to_string(bytes) }, { "memory-used", std::to_string(memory->used()) } });
    return nullptr;
}

} // namespace cicadalb
