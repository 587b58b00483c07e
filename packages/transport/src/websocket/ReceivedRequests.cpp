#include "ReceivedRequests.h"

#include <algorithm>
#include <utility>

namespace cicadalb::detail {

ReceivedKind ReceivedRequests::receive(std::uint64_t id, std::uint64_t acknowledgedBelow, bool isStopping)
{
    forgetBelow(acknowledgedBelow);
    const auto found = m_requests.find(id);
    if (found != m_requests.end())
        return found->second ? ReceivedKind::Answered : ReceivedKind::Running;
    if (id <= m_highestId)
        return ReceivedKind::Forgotten;
    if (isStopping || m_runningCount >= m_bounds.running)
        return ReceivedKind::Refused;
    m_highestId = id;
    m_requests.emplace(id, std::nullopt);
    ++m_runningCount;
    return ReceivedKind::New;
}

bool ReceivedRequests::answer(std::uint64_t id, PeerAnswer answer)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second)
        return false;
    --m_runningCount;
    m_answerBytes += answer.body.size();
    found->second = std::move(answer);
    m_answered.push_back(id);
    forgetOverBounds();
    return true;
}

const PeerAnswer* ReceivedRequests::answerTo(std::uint64_t id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() || !found->second ? nullptr : &*found->second;
}

void ReceivedRequests::forgetBelow(std::uint64_t acknowledgedBelow)
{
    if (acknowledgedBelow <= m_acknowledgedBelow)
        return;
    m_acknowledgedBelow = acknowledgedBelow;
    const auto isAcknowledged = [acknowledgedBelow](std::uint64_t id) { return id < acknowledgedBelow; };
    for (const auto id : m_answered) {
        if (isAcknowledged(id))
            forget(id);
    }
    m_answered.erase(std::remove_if(m_answered.begin(), m_answered.end(), isAcknowledged), m_answered.end());
}

void ReceivedRequests::forgetOverBounds()
{
    while (m_answered.size() > m_bounds.answers || (m_answerBytes > m_bounds.answerBytes && m_answered.size() > 1)) {
        forget(m_answered.front());
        m_answered.pop_front();
    }
}

void ReceivedRequests::forget(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    m_answerBytes -= found->second->body.size();
    m_requests.erase(found);
}

} // namespace cicadalb::detail
