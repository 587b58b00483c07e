#pragma once

#include "cicadalb/config/AcceptedConfiguration.h"

#include <memory>

/// @file
/// The configuration that a host has in force. Its number never falls.

namespace cicadalb {

/// @brief What became of a record that a host was shown.
enum class OfferOutcome : std::uint8_t {
    /// It is in force now.
    Adopted,
    /// It was in force already.
    AlreadyHeld,
    /// A higher number is in force.
    Older,
    /// It has the number in force but other content: the key-value service lost or changed data.
    Contradicted,
};

std::string_view name(OfferOutcome) noexcept;

/// @brief Takes records from any source in any order and keeps the highest. Not thread-safe.
class ConfigurationState {
public:
    OfferOutcome offer(std::shared_ptr<const AcceptedConfiguration>);

    /// @brief Number in force; 0 before the first.
    ConfigurationNumber number() const noexcept { return m_current ? m_current->number : 0; }
    /// @brief The record in force, or null.
    const std::shared_ptr<const AcceptedConfiguration>& current() const noexcept { return m_current; }
    /// @brief Records refused as Contradicted.
    std::uint64_t contradictions() const noexcept { return m_contradictions; }

    /// @brief True if a host that reports @p theirs should be offered the record in force.
    bool shouldOffer(ConfigurationNumber theirs) const noexcept { return theirs < number(); }
    /// @brief True if the record should be fetched from a host that reports @p theirs.
    bool shouldFetch(ConfigurationNumber theirs) const noexcept { return theirs > number(); }

private:
    std::shared_ptr<const AcceptedConfiguration> m_current;
    std::uint64_t m_contradictions = 0;
};

} // namespace cicadalb
