#include "OutstandingRequests.h"

#include "cicadalb/base/Error.h"

#include <utility>

namespace cicadalb::detail {

namespace {

    PeerAnswer failed(const OutstandingRequest& request, const PeerFailure& reason)
    {
        PeerAnswer answer;
        answer.outcome = request.sentTo ? PeerOutcome::Unknown : PeerOutcome::NotSent;
        answer.error = reason.error;
        answer.message = reason.message;
        return answer;
    }

} // namespace

std::uint64_t OutstandingRequests::add(PeerRequest request, TimePoint deadline, PeerReply reply)
{
    const auto id = ++m_lastId;
    m_requests.emplace(id, OutstandingRequest { std::move(request), deadline, std::move(reply), std::nullopt });
    return id;
}

void OutstandingRequests::send(std::uint64_t id, std::uint64_t incarnation, const Write& write)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.sentTo)
        return;
    found->second.sentTo = incarnation;
    write(id, found->second.request);
}

void OutstandingRequests::resume(std::uint64_t incarnation, const Write& write)
{
    const PeerFailure restarted { static_cast<std::uint16_t>(ErrorCode::OutcomeUnknown), "the host was restarted" };
    endIf([incarnation](const OutstandingRequest& request) { return request.sentTo && *request.sentTo != incarnation; }, restarted);
    for (auto& [id, request] : m_requests) {
        request.sentTo = incarnation;
        write(id, request.request);
    }
}

bool OutstandingRequests::accept(const PeerMessage& answer)
{
    const auto found = m_requests.find(answer.requestId);
    if (found == m_requests.end() || found->second.sentTo != answer.incarnation)
        return false;
    const auto reply = std::move(found->second.reply);
    m_requests.erase(found);
    reply(answer.answer);
    return true;
}

void OutstandingRequests::expire(TimePoint now, const PeerFailure& reason)
{
    endIf([now](const OutstandingRequest& request) { return request.deadline <= now; }, reason);
}

void OutstandingRequests::endUnsent(const PeerFailure& reason)
{
    endIf([](const OutstandingRequest& request) { return !request.sentTo; }, reason);
}

void OutstandingRequests::endAll(const PeerFailure& reason)
{
    endIf([](const OutstandingRequest&) { return true; }, reason);
}

std::uint64_t OutstandingRequests::lowestId() const
{
    return m_requests.empty() ? m_lastId + 1 : m_requests.begin()->first;
}

void OutstandingRequests::endIf(const std::function<bool(const OutstandingRequest&)>& condition, const PeerFailure& reason)
{
    for (auto next = m_requests.begin(); next != m_requests.end();) {
        const auto current = next++;
        if (!condition(current->second))
            continue;
        const auto ended = std::move(current->second);
        m_requests.erase(current);
        ended.reply(failed(ended, reason));
    }
}

} // namespace cicadalb::detail
