#include "ReceivedRequests.h"

#include <algorithm>
#include <utility>

namespace cicadalb::detail {

ReceiveOutcome ReceivedRequests::receive(std::uint64_t id, std::uint64_t acknowledgedBelow, bool isStopping)
{
    discardAcknowledged(acknowledgedBelow);
    const auto found = m_requests.find(id);
    if (found != m_requests.end())
        return found->second ? ReceiveOutcome::Answered : ReceiveOutcome::Running;
    if (id <= m_highestId)
        return ReceiveOutcome::Discarded;
    if (isStopping || m_runningCount >= m_limits.maximumRunning)
        return ReceiveOutcome::Refused;
    m_highestId = id;
    m_requests.emplace(id, std::nullopt);
    ++m_runningCount;
    return ReceiveOutcome::New;
}

bool ReceivedRequests::storeAnswer(std::uint64_t id, PeerAnswer answer)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second)
        return false;
    --m_runningCount;
    m_answerBytes += answer.body.size();
    found->second = std::move(answer);
    m_answeredIds.push_back(id);
    evictExcessAnswers();
    return true;
}

const PeerAnswer* ReceivedRequests::storedAnswer(std::uint64_t id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() || !found->second ? nullptr : &*found->second;
}

void ReceivedRequests::discardAcknowledged(std::uint64_t acknowledgedBelow)
{
    if (acknowledgedBelow <= m_acknowledgedBelow)
        return;
    m_acknowledgedBelow = acknowledgedBelow;
    const auto isAcknowledged = [acknowledgedBelow](std::uint64_t id) { return id < acknowledgedBelow; };
    for (const auto id : m_answeredIds) {
        if (isAcknowledged(id))
            discard(id);
    }
    m_answeredIds.erase(std::remove_if(m_answeredIds.begin(), m_answeredIds.end(), isAcknowledged), m_answeredIds.end());
}

void ReceivedRequests::evictExcessAnswers()
{
    while (m_answeredIds.size() > m_limits.maximumAnswers || (m_answerBytes > m_limits.maximumAnswerBytes && m_answeredIds.size() > 1)) {
        discard(m_answeredIds.front());
        m_answeredIds.pop_front();
    }
}

void ReceivedRequests::discard(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    m_answerBytes -= found->second->body.size();
    m_requests.erase(found);
}

} // namespace cicadalb::detail
