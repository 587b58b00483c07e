#pragma once

#include "cicadalb/config/ConfigurationValidator.h"

/// @file
/// State machine, without I/O, that applies one edit to the accepted record in the key-value service.

namespace cicadalb {

/// @brief The accepted record as the key-value service holds it.
struct StoredRecord {
    std::string value;
    std::uint64_t revision = 0;
};

/// @brief What the code that runs a EditStateMachine has to do next.
enum class EditState : std::uint8_t {
    /// Read the accepted record, then call onRecordRead() or readFailed().
    Read,
    /// Store the current record in the history, then write next() by compare-and-swap and call onWritten() or onWriteFailed();
    /// call historyFailed() instead if the history could not be written.
    Write,
    /// next() is accepted, either by this edit or because the texts of the edit were in force already.
    Accepted,
    /// The edit is refused for the reasons in errors(); nothing was changed.
    Refused,
    /// The edit may or may not be accepted: the service failed too often, or the current record does not show whether it was.
    Unknown,
};

/// @brief Applies one edit, from the first read to the outcome. After a write whose answer was lost, the record is read again and
/// searched for the edit's ID. The write may be repeated with the same expected revision, since at most one of the two can take effect.
class EditStateMachine {
public:
    /// @param maximumFailures number of failed calls that are tolerated; the next failure ends the edit
    EditStateMachine(ConfigurationEdit, unsigned maximumFailures);

    EditState state() const noexcept { return m_state; }
    /// @brief The record to write, or the accepted record after Accepted.
    const AcceptedConfiguration& next() const noexcept { return m_next; }
    /// @brief Expected revision of the write; 0 if the key must be absent.
    std::uint64_t expectedRevision() const noexcept { return m_revision; }
    /// @brief The record that next() replaces.
    const std::optional<AcceptedConfiguration>& current() const noexcept { return m_current; }
    const Errors& errors() const noexcept { return m_errors; }

    void onRecordRead(const std::optional<StoredRecord>&);
    void onReadFailed(const Error&);
    /// @brief The current record could not be stored in the history, so next() was not written.
    void onHistoryFailed(const Error&);
    void onWritten();
    void onWriteFailed(const Error&);

private:
    /// True if the texts of the edit are in force already, so that nothing has to be written.
    bool isInForce() const;
    /// True if the edit may have been accepted so many records ago that the current record no longer lists its ID.
    bool mayEditIdBeDropped() const;
    /// Ends with Refused, or with Unknown if an earlier write may have been accepted unnoticed.
    void endWithErrors(Errors);
    void countFailure(const Error&);

    ConfigurationEdit m_edit;
    unsigned m_failuresLeft;
    EditState m_state = EditState::Read;
    /// True once a write was sent whose outcome is unknown.
    bool m_hasUnresolvedWrite = false;
    std::uint64_t m_revision = 0;
    std::optional<AcceptedConfiguration> m_current;
    AcceptedConfiguration m_next;
    Errors m_errors;
};

} // namespace cicadalb
