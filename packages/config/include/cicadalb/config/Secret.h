#pragma once

#include <ostream>
#include <string>
#include <utility>

/// @file
/// A shared secret in memory.

namespace cicadalb {

/// @brief Text that must not appear in a log, dump or error: it cannot be streamed or converted to a string.
class Secret {
public:
    Secret() = default;
    explicit Secret(std::string text)
        : m_text(std::move(text))
    {
    }

    bool isEmpty() const noexcept { return m_text.empty(); }
    /// @brief The text itself; only for making and checking proofs.
    const std::string& reveal() const noexcept { return m_text; }

    friend std::ostream& operator<<(std::ostream&, const Secret&) = delete;

private:
    std::string m_text;
};

} // namespace cicadalb
