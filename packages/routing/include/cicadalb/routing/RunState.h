#pragma once

#include "cicadalb/base/Error.h"

#include <cstdint>
#include <string_view>

/// @file
/// What is known of a request's execution. The state only moves forward.

namespace cicadalb {

/// @brief NotSent -> Sent -> Answered | Unknown. A target's own word that it did not run an attempt leads back to NotSent, unless an
/// earlier attempt may have run.
enum class RunState : std::uint8_t {
    /// No byte reached a target.
    NotSent,
    /// At least one byte may have reached a target.
    Sent,
    /// The whole answer was received.
    Answered,
    /// It may or may not have run, and no answer is to be expected.
    Unknown,
};

std::string_view name(RunState) noexcept;

/// @brief Run state of one request over all its attempts, one at a time. A result that comes while no attempt runs has no effect, so
/// that a late one cannot undo what is known.
class RequestRun {
public:
    explicit RequestRun(bool isRepeatable) noexcept
        : m_isRepeatable(isRepeatable)
    {
    }

    RunState state() const noexcept { return m_state; }
    bool isRepeatable() const noexcept { return m_isRepeatable; }
    unsigned attempts() const noexcept { return m_attempts; }

    /// @brief True if a refusal may say "not run".
    bool isKnownNotRun() const noexcept { return m_state == RunState::NotSent; }
    /// @brief True if another attempt cannot break at-most-once (the retry budget and deadline are the caller's to check).
    bool mayAttempt() const noexcept;

    /// @brief An attempt starts: bytes may be written from here on. Broken invariant unless mayAttempt().
    void beginAttempt();
    /// @brief The attempt ended before any byte was written, or the target itself said that it did not run.
    void attemptNotRun();
    /// @brief The whole answer was received.
    void attemptAnswered();
    /// @brief The attempt ended without a whole answer after bytes were written.
    void attemptLost();

private:
    RunState m_state = RunState::NotSent;
    /// True once any attempt may have run: a later attempt that did not run does not undo it.
    bool m_mayHaveRun = false;
    bool m_isRepeatable;
    unsigned m_attempts = 0;
};

} // namespace cicadalb
