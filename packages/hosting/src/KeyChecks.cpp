#include "KeyChecks.h"

namespace cicadalb {

KeyCheck KeyChecks::take(const SiteView& view, bool isPublic, HttpFields& fields) const
{
    if (!view.keys.areRequired())
        return {};
    const auto presented = m_protocol.callerKeys(fields);
    m_protocol.removeKeys(fields);
    return checkKeys(view.keys, isPublic, presented, knowledge(), m_validity);
}

KeyCheck KeyChecks::checkAgain(const SiteView& view, const OrganisationName& organisation, const std::string& digest) const
{
    return checkDigest(view.keys, digest, organisation, knowledge(), m_validity);
}

std::function<bool()> KeyChecks::condition(const KeyCheck& accepted) const
{
    if (accepted.decision != KeyDecision::Accepted)
        return {};
    return [this, organisation = accepted.organisation, digest = accepted.digest] {
        const auto view = m_directory.view();
        return view && isPassed(checkAgain(*view, organisation, digest));
    };
}

} // namespace cicadalb
