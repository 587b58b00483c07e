#include "OutstandingRequests.h"

#include "cicadalb/base/Error.h"

#include <utility>

namespace cicadalb::detail {

namespace {

    PeerAnswer failureAnswer(const OutstandingRequest& request, const PeerFailure& reason)
    {
        PeerAnswer answer;
        answer.outcome = request.sentToIncarnation ? PeerOutcome::Unknown : PeerOutcome::NotSent;
        answer.error = reason.error;
        answer.message = reason.message;
        return answer;
    }

} // namespace

std::uint64_t OutstandingRequests::add(PeerRequest request, TimePoint deadline, PeerReplyCallback reply)
{
    const auto id = ++m_lastId;
    m_requests.emplace(id, OutstandingRequest { std::move(request), deadline, std::move(reply), std::nullopt });
    return id;
}

void OutstandingRequests::send(std::uint64_t id, std::uint64_t incarnation, const Writer& write)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.sentToIncarnation)
        return;
    found->second.sentToIncarnation = incarnation;
    write(id, found->second.request);
}

void OutstandingRequests::resendAll(std::uint64_t incarnation, const Writer& write)
{
    const PeerFailure restarted { static_cast<std::uint16_t>(ErrorCode::OutcomeUnknown), "the host was restarted before it answered" };
    failIf([incarnation](const OutstandingRequest& request) { return request.sentToIncarnation && *request.sentToIncarnation != incarnation; }, restarted);
    for (auto& [id, request] : m_requests) {
        request.sentToIncarnation = incarnation;
        write(id, request.request);
    }
}

bool OutstandingRequests::complete(const PeerMessage& answer)
{
    const auto found = m_requests.find(answer.requestId);
    if (found == m_requests.end() || found->second.sentToIncarnation != answer.incarnation)
        return false;
    const auto reply = std::move(found->second.reply);
    m_requests.erase(found);
    reply(answer.answer);
    return true;
}

void OutstandingRequests::expire(TimePoint now, const PeerFailure& reason)
{
    failIf([now](const OutstandingRequest& request) { return request.deadline <= now; }, reason);
}

void OutstandingRequests::failUnsent(const PeerFailure& reason)
{
    failIf([](const OutstandingRequest& request) { return !request.sentToIncarnation; }, reason);
}

void OutstandingRequests::failAll(const PeerFailure& reason)
{
    failIf([](const OutstandingRequest&) { return true; }, reason);
}

std::uint64_t OutstandingRequests::lowestId() const
{
    return m_requests.empty() ? m_lastId + 1 : m_requests.begin()->first;
}

void OutstandingRequests::failIf(const std::function<bool(const OutstandingRequest&)>& condition, const PeerFailure& reason)
{
    for (auto next = m_requests.begin(); next != m_requests.end();) {
        const auto current = next++;
        if (!condition(current->second))
            continue;
        const auto ended = std::move(current->second);
        m_requests.erase(current);
        ended.reply(failureAnswer(ended, reason));
    }
}

} // namespace cicadalb::detail
