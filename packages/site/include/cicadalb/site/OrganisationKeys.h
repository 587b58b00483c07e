#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/config/Secret.h"
#include "cicadalb/site/SiteConfiguration.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// Which organisation a request belongs to, by the key that its caller presents. Pure decisions: a host may be cut off from the store, frozen or
/// behind, and still must not send a request under a key that was taken too long ago, nor refuse one for a key that it merely does not know yet.

namespace cicadalb {

/// @brief Finds organisations by the digests of their keys. Compares digests only, so that the time of a lookup says nothing about a key.
class OrganisationKeys {
public:
    /// Longer keys are unknown without being hashed.
    static constexpr std::size_t maximumKeyLength = 1024;

    explicit OrganisationKeys(const SiteConfiguration&);

    /// @brief Whether requests of routes that are not public need a key.
    bool areRequired() const noexcept { return m_areRequired; }
    /// @return the organisation that holds the key, or null; valid as long as the configuration
    const SiteOrganisation* find(const Secret& key) const;
    /// @return the organisation that holds the key with this digest, or null
    const SiteOrganisation* findByDigest(const std::string& digest) const;

private:
    std::unordered_map<std::string, const SiteOrganisation*> m_byDigest;
    bool m_areRequired = false;
};

/// @brief Digest of a key by which it is kept; empty for a key that no organisation can hold.
std::string keyDigest(const Secret& key);
/// @brief Beginning of a digest, for logs.
std::string_view shortKeyDigest(std::string_view digest);

enum class KeyDecision : std::uint8_t {
    /// The route is public, or the site has no organisations.
    NotNeeded,
    /// The key belongs to an organisation.
    Accepted,
    /// No configuration that may be in force holds the key, or the caller presents none or several.
    Unknown,
    /// This host cannot know whether the key is valid.
    Undecided,
};

std::string_view name(KeyDecision) noexcept;

/// @brief How recent a host's configuration has to be for a decision on keys.
class KeyValidity {
public:
    /// @param validity longest time for which a key may be relied on after it was known to be valid; 0: no limit
    explicit KeyValidity(std::chrono::milliseconds validity)
        : m_validity(validity)
    {
    }

    /// @brief Whether a request may be sent on under a key of a configuration of this age. Stops well before the validity ends, since the request
    /// is under way for a while and clocks differ in speed.
    bool mayRelyOn(std::optional<Duration> configurationAge) const;

private:
    std::chrono::milliseconds m_validity;
};

struct KeyCheck {
    KeyDecision decision = KeyDecision::NotNeeded;
    /// Set if accepted.
    OrganisationName organisation;
    std::optional<unsigned> priority;
    /// Digest of the key; empty if there is none.
    std::string digest;
};

/// @brief What a host knows of the configuration when it checks a key.
struct ConfigurationKnowledge {
    /// Time since the configuration was last known to be the newest one; empty: never.
    std::optional<Duration> age;
    /// Whether a configuration that should be in force may be unknown here.
    bool mayBeBehind = true;
};

/// @brief Decides to which organisation a request belongs. Any doubt whether this host knows the configuration in force makes it Undecided.
KeyCheck checkKeys(const OrganisationKeys&, bool isPublicRoute, const std::vector<Secret>& presented, const ConfigurationKnowledge&, const KeyValidity&);
/// @brief The same for the digest of a single key, on a route that is not public. @param expected organisation that has to hold the key; empty: any
KeyCheck checkDigest(const OrganisationKeys&, const std::string& digest, const OrganisationName& expected, const ConfigurationKnowledge&, const KeyValidity&);

} // namespace cicadalb
