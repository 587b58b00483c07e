#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

/// @file
/// Checks an operator's edit and makes the next accepted configuration from it.

namespace cicadalb {

/// Largest value that the key-value service stores, in bytes.
inline constexpr std::size_t maximumRecordBytes = std::size_t { 1 } << 20U;

/// @brief An operator's edit: the new texts of both tables, and what it was based on.
struct ConfigurationEdit {
    std::string routesText;
    std::string poolsText;
    std::string author;
    /// Number of the configuration that was edited; may be left out only while no configuration exists.
    std::optional<ConfigurationNumber> baseNumber;
    /// Names that the operator removes explicitly.
    std::vector<RetiredName> retired;
    /// True if a pool may lose more than half of its serving targets.
    bool allowCapacityLoss = false;
    /// Seconds since the epoch.
    std::int64_t submittedAt = 0;
    /// Unique ID of this edit.
    std::string editId;
};

/// @brief Checks edits against the current record and makes the next record. Nothing else makes records.
///
/// Refuses an edit
/// - for which parseTables() reports a problem;
/// - that is not based on the current number (BaseOutdated; the message names the author of the current record and the differences);
/// - that removes a route, pool, caller or trainer without retiring it by name (NameRemoved);
/// - that retires an unknown name (NameUnknown) or one that the edit still contains (ValueInvalid);
/// - that removes or drains more than half of a pool's serving targets, unless allowCapacityLoss is set (CapacityLost);
/// - whose record would be too large for the key-value service (RecordTooLarge).
class ConfigurationValidator {
public:
    /// @param current the accepted record; empty before the first
    explicit ConfigurationValidator(std::optional<AcceptedConfiguration> current);

    const std::optional<AcceptedConfiguration>& current() const noexcept { return m_current; }

    /// @brief True if the edit with @p editId became the current record or one of the maximumEarlierEditIds records before it.
    bool hasAccepted(std::string_view editId) const;

    /// @brief The next record, or every reason to refuse the edit.
    CheckedResult<AcceptedConfiguration> accept(const ConfigurationEdit&) const;

private:
    std::optional<AcceptedConfiguration> m_current;
};

} // namespace cicadalb
