#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

/// @file
/// The rules by which an operator's edit becomes the next accepted configuration.

namespace cicadalb {

/// Largest value of the key-value service, in bytes.
inline constexpr std::size_t maximumRecordBytes = std::size_t { 1 } << 20U;

/// @brief Both tables as an operator wants them.
struct ConfigurationEdit {
    std::string routesText;
    std::string poolsText;
    std::string author;
    /// Number that the operator started from; nothing is allowed only while no configuration exists.
    std::optional<ConfigurationNumber> base;
    /// Names that the operator removes on purpose.
    std::vector<RetiredName> retired;
    /// True if a pool may lose more than half of its serving targets.
    bool allowCapacityLoss = false;
    /// Seconds since the epoch.
    std::int64_t at = 0;
    /// Unique to this edit.
    std::string mark;
};

/// @brief Aggregate around the present record: the only maker of the next one.
///
/// Refuses an edit that has any problem of parseTables; that was not based on the present number (BaseOutdated, with who won and what
/// differs); that loses a route, pool, caller or trainer without retiring it by name (NameRemoved); that retires an unknown name or
/// one that is still in use; that takes more than half of a pool's serving targets away unless this is allowed (CapacityLost); or
/// whose record would not fit into the service (RecordTooLarge).
class ConfigurationAuthority {
public:
    /// @param present the accepted record, or nothing before the first
    explicit ConfigurationAuthority(std::optional<AcceptedConfiguration> present);

    const std::optional<AcceptedConfiguration>& present() const noexcept { return m_present; }

    /// @brief True if the edit with @p mark became the present record or one of those shortly before it.
    bool hasAccepted(std::string_view mark) const;

    /// @brief The next record, or every reason against the edit.
    CheckedResult<AcceptedConfiguration> accept(const ConfigurationEdit&) const;

private:
    std::optional<AcceptedConfiguration> m_present;
};

} // namespace cicadalb
