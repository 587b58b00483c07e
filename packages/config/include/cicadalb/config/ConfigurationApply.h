#pragma once

#include "cicadalb/config/ConfigurationAuthority.h"

/// @file
/// The course of one edit against the key-value service, as a state machine without I/O.

namespace cicadalb {

/// @brief The accepted record as the key-value service holds it.
struct StoredRecord {
    std::string value;
    std::uint64_t revision = 0;
};

/// @brief What the driver of an edit has to do next.
enum class ApplyStep : std::uint8_t {
    /// Read the accepted record, then call recordRead().
    Read,
    /// Keep the present record in the history, then write next() by compare-and-swap and call written() or writeFailed().
    Write,
    /// next() is accepted, by this edit or since its texts were in force already.
    Accepted,
    /// errors() say why; nothing was changed.
    Refused,
    /// The service failed too often: the edit may or may not be accepted.
    Unknown,
};

/// @brief One edit from the first read to its outcome. A write whose answer was lost is resolved by reading back and looking for the
/// edit's mark; it may be written again with the same expected revision, since at most one of both can take effect.
class ConfigurationApply {
public:
    /// @param maximumFailures calls that may fail before the outcome is given up
    ConfigurationApply(ConfigurationEdit, unsigned maximumFailures);

    ApplyStep step() const noexcept { return m_step; }
    /// @brief Record to write, or the accepted one.
    const AcceptedConfiguration& next() const noexcept { return m_next; }
    /// @brief Expected revision of the write; 0 if the key must be absent.
    std::uint64_t expectedRevision() const noexcept { return m_revision; }
    /// @brief The record that next() replaces.
    const std::optional<AcceptedConfiguration>& present() const noexcept { return m_present; }
    const Errors& errors() const noexcept { return m_errors; }

    void recordRead(const std::optional<StoredRecord>&);
    void readFailed(const Error&);
    /// @brief The present record could not be kept in the history; the record itself was not written.
    void historyFailed(const Error&);
    void written();
    void writeFailed(const Error&);

private:
    /// True if the texts of the edit are those in force, so that nothing is to be done.
    bool isInForce() const;
    /// True if the edit may have been accepted so many records ago that its mark is no longer kept.
    bool mayBeForgotten() const;
    void giveUp(Errors);
    void countFailure(const Error&);

    ConfigurationEdit m_edit;
    unsigned m_failuresLeft;
    ApplyStep m_step = ApplyStep::Read;
    /// True once a write was sent whose fate is not known.
    bool m_mayBeWritten = false;
    std::uint64_t m_revision = 0;
    std::optional<AcceptedConfiguration> m_present;
    AcceptedConfiguration m_next;
    Errors m_errors;
};

} // namespace cicadalb
