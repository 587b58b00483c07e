#pragma once

#include "cicadalb/services/MessageMemory.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

/// @file
/// Bodies that are held once, however often their messages are copied.

namespace cicadalb {

/// @brief Immutable body of a message. Copies share the bytes and their memory, which is released with the last copy.
class MessageBody {
public:
    MessageBody() = default;
    /// @param memory that the bytes take, or null if they are not counted
    MessageBody(std::string text, std::shared_ptr<MessageMemory::Share> memory = nullptr)
        : m_held(text.empty() ? nullptr : std::make_shared<const Held>(Held { std::move(text), std::move(memory) }))
    {
    }
    MessageBody(const char* text)
        : MessageBody(std::string(text))
    {
    }

    const std::string& text() const noexcept
    {
        static const std::string none;
        return m_held ? m_held->text : none;
    }
    std::size_t size() const noexcept { return text().size(); }
    bool empty() const noexcept { return !m_held; }
    operator const std::string&() const noexcept { return text(); }
    operator std::string_view() const noexcept { return text(); }

    friend bool operator==(const MessageBody& left, const MessageBody& right) noexcept { return left.text() == right.text(); }
    friend bool operator==(const MessageBody& left, std::string_view right) noexcept { return left.text() == right; }
    friend bool operator==(const MessageBody& left, const std::string& right) noexcept { return left.text() == right; }
    friend bool operator==(const MessageBody& left, const char* right) noexcept { return left.text() == right; }

private:
    struct Held {
        std::string text;
        std::shared_ptr<MessageMemory::Share> memory;
    };

    std::shared_ptr<const Held> m_held;
};

} // namespace cicadalb
