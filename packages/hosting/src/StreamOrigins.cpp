#include "StreamOrigins.h"

namespace cicadalb {

void StreamOrigins::record(const RequestId& firstAttempt, const SoftwareRelease& release)
{
    if (!m_releases.insert_or_assign(firstAttempt, release).second)
        return;
    m_recorded.push_back(firstAttempt);
    if (m_recorded.size() <= maximumStreams)
        return;
    m_releases.erase(m_recorded.front());
    m_recorded.pop_front();
}

std::optional<SoftwareRelease> StreamOrigins::find(const RequestId& firstAttempt) const
{
    const auto found = m_releases.find(firstAttempt);
    return found == m_releases.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cicadalb
