#pragma once

#include "cicadalb/config/Outcome.h"

#include <nlohmann/json.hpp>

#include <string>

/// @file
/// The outcome of a command as text, JSON and exit code.

namespace cicadalb {

/// @brief Exit codes of cicadactl. Scripts rely on the numbers, which do not change.
enum class ExitCode : std::uint8_t {
    Success = 0,
    /// The tables or the edit were refused; nothing changed.
    Refused = 1,
    /// Wrong options or an unreadable file.
    UsageError = 2,
    /// The key-value service or a host could not be reached; nothing changed.
    Unreachable = 3,
    /// The outcome of an edit is unknown: it may or may not have been accepted.
    Unknown = 4,
};

/// @brief Result of a command.
struct CommandOutcome {
    ExitCode exitCode = ExitCode::Success;
    /// Human-readable lines.
    std::string text;
    /// The same information for scripts; always a JSON object.
    nlohmann::json json = nlohmann::json::object();
};

/// @brief Outcome of a command that failed with one or more errors.
CommandOutcome failureOutcome(ExitCode, const Errors&);
/// @brief Outcome of a command that failed; the exit code is derived from the error code.
CommandOutcome failureOutcome(const Error&);

/// @brief Array of the errors, each with its code, name, message and the place it refers to.
nlohmann::json toJson(const Errors&);

} // namespace cicadalb
