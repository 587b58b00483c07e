#include "cicadalb/site/OrganisationKeys.h"

#include "cicadalb/base/EnumTable.h"
#include "cicadalb/base/Hash.h"

namespace cicadalb {

namespace {

    constexpr auto decisionNames = std::to_array<EnumName<KeyDecision>>({
        { KeyDecision::NotNeeded, "not-needed" },
        { KeyDecision::Accepted, "accepted" },
        { KeyDecision::Unknown, "unknown" },
        { KeyDecision::Undecided, "undecided" },
    });

    /// Share of the validity after which a key is no longer relied on. Callers have another host to go to by then.
    constexpr double reliableShare = 0.6;
    constexpr std::size_t shortDigestLength = 8;

} // namespace

std::string_view name(KeyDecision decision) noexcept { return nameIn(decisionNames, decision); }

std::string keyDigest(const Secret& key)
{
    const bool canBeHeld = !key.isEmpty() && key.reveal().size() <= OrganisationKeys::maximumKeyLength;
    return canBeHeld ? sha256Hex(key.reveal()) : std::string();
}

std::string_view shortKeyDigest(std::string_view digest) { return digest.substr(0, shortDigestLength); }

OrganisationKeys::OrganisationKeys(const SiteConfiguration& configuration)
    : m_areRequired(!configuration.organisations.empty())
{
    for (const auto& organisation : configuration.organisations) {
        for (const auto& digest : organisation.keyDigests)
            m_byDigest.emplace(digest, &organisation);
    }
}

const SiteOrganisation* OrganisationKeys::find(const Secret& key) const { return findByDigest(keyDigest(key)); }

const SiteOrganisation* OrganisationKeys::findByDigest(const std::string& digest) const
{
    const auto found = m_byDigest.find(digest);
    return found == m_byDigest.end() ? nullptr : found->second;
}

bool KeyValidity::mayRelyOn(std::optional<Duration> configurationAge) const
{
    if (m_validity.count() == 0)
        return true;
    return configurationAge && *configurationAge < std::chrono::duration_cast<Duration>(m_validity * reliableShare);
}

KeyCheck checkKeys(const OrganisationKeys& keys, bool isPublicRoute, const std::vector<Secret>& presented, const ConfigurationKnowledge& knowledge, const KeyValidity& validity)
{
    if (isPublicRoute || !keys.areRequired())
        return {};
    const bool isSingle = presented.size() == 1;
    return checkDigest(keys, isSingle ? keyDigest(presented.front()) : std::string(), {}, knowledge, validity);
}

KeyCheck checkDigest(const OrganisationKeys& keys, const std::string& digest, const OrganisationName& expected, const ConfigurationKnowledge& knowledge, const KeyValidity& validity)
{
    KeyCheck check;
    if (!keys.areRequired())
        return check;
    check.digest = digest;
    const auto* organisation = keys.findByDigest(digest);
    if (!organisation || (!expected.isEmpty() && organisation->name != expected)) {
        // A configuration that is missing here may hold the key, or need none.
        check.decision = knowledge.mayBeBehind ? KeyDecision::Undecided : KeyDecision::Unknown;
        return check;
    }
    if (!validity.mayRelyOn(knowledge.age)) {
        check.decision = KeyDecision::Undecided;
        return check;
    }
    check.decision = KeyDecision::Accepted;
    check.organisation = organisation->name;
    check.priority = organisation->priority;
    return check;
}

} // namespace cicadalb
