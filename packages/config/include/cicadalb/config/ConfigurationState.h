#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

#include <memory>

/// @file
/// The configuration that a host has in force. Its number never decreases.

namespace cicadalb {

/// @brief Result of offering a record to a host.
enum class OfferOutcome : std::uint8_t {
    /// The record is in force now.
    Adopted,
    /// The record was in force already.
    AlreadyHeld,
    /// A record with a higher number is in force.
    Older,
    /// The record has the number in force but other content: the key-value service lost or changed data.
    Contradicted,
};

std::string_view name(OfferOutcome) noexcept;

/// @brief Takes records from any source in any order and keeps the one with the highest number. Not thread-safe.
class ConfigurationState {
public:
    OfferOutcome offer(std::shared_ptr<const AcceptedConfiguration>);

    /// @brief Number in force; 0 before the first record.
    ConfigurationNumber number() const noexcept { return m_current ? m_current->number : 0; }
    /// @brief The record in force, or null.
    const std::shared_ptr<const AcceptedConfiguration>& current() const noexcept { return m_current; }
    /// @brief Number of records refused as Contradicted.
    std::uint64_t contradictions() const noexcept { return m_contradictions; }

    /// @brief True if the record in force should be offered to a host that reports @p otherNumber.
    bool shouldOffer(ConfigurationNumber otherNumber) const noexcept { return otherNumber < number(); }
    /// @brief True if the record of a host that reports @p otherNumber should be fetched.
    bool shouldFetch(ConfigurationNumber otherNumber) const noexcept { return otherNumber > number(); }

private:
    std::shared_ptr<const AcceptedConfiguration> m_current;
    std::uint64_t m_contradictions = 0;
};

} // namespace cicadalb
