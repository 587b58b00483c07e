#pragma once

#include "SiteDirectory.h"

#include "cicadalb/site/OrganisationKeys.h"

#include <functional>

/// @file
/// What a host decides on the keys of requests, with what it knows of the configuration.

namespace cicadalb {

/// @brief Bound to one event loop.
class KeyChecks {
public:
    KeyChecks(const SiteDirectory& directory, const SiteProtocol& protocol, KeyValidity validity)
        : m_directory(directory)
        , m_protocol(protocol)
        , m_validity(validity)
    {
    }

    static bool isPassed(const KeyCheck& check) noexcept { return check.decision == KeyDecision::NotNeeded || check.decision == KeyDecision::Accepted; }

    /// @brief Decides on the keys in the fields of a request. Where the site has organisations, the keys are removed from the fields.
    KeyCheck take(const SiteView&, bool isPublic, HttpFields&) const;
    /// @brief Decides on a key that another host has accepted, or this one earlier.
    KeyCheck checkAgain(const SiteView&, const OrganisationName&, const std::string& digest) const;
    /// @brief Returns a function that tells whether an accepted key may be relied on at the time of its call; empty for a request that needs no key.
    /// The function must not outlive this object.
    std::function<bool()> condition(const KeyCheck&) const;

private:
    ConfigurationKnowledge knowledge() const { return { m_directory.configurationAge(), m_directory.mayLackConfiguration() }; }

    const SiteDirectory& m_directory;
    const SiteProtocol& m_protocol;
    KeyValidity m_validity;
};

} // namespace cicadalb
