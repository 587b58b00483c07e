#pragma once

#include "cicadalb/config/Outcome.h"

#include <nlohmann/json.hpp>

#include <string>

/// @file
/// What a command found, for people and for scripts.

namespace cicadalb {

/// @brief Exit codes of cicadactl. Stable.
enum class ExitCode : std::uint8_t {
    Done = 0,
    /// The tables or the edit were refused; nothing changed.
    Refused = 1,
    /// Wrong options or an unreadable file.
    Usage = 2,
    /// The key-value service or a host could not be reached; nothing changed.
    Unreachable = 3,
    /// An edit may or may not have been accepted.
    Unknown = 4,
};

/// @brief Result of a command.
struct CommandOutcome {
    ExitCode exitCode = ExitCode::Done;
    /// Lines for people.
    std::string text;
    /// The same for scripts; an object.
    nlohmann::json json = nlohmann::json::object();
};

/// @brief Outcome of a command that failed with one or more errors.
CommandOutcome failed(ExitCode, const Errors&);
/// @brief Outcome of a command that failed; the exit code follows from the error.
CommandOutcome failed(const Error&);

/// @brief Each error with its code, name, message and place.
nlohmann::json toJson(const Errors&);

} // namespace cicadalb
