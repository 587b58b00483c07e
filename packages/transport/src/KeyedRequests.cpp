#include "cicadalb/transport/KeyedRequests.h"

namespace cicadalb {

namespace {

    Error knownClaimError(const std::optional<unsigned>& status)
    {
        if (status)
            return Error { ErrorCode::KeyOutcomeUnknown, "the request ran and was answered with status " + std::to_string(*status) + "; the answer is no longer held here", "Idempotency-Key" };
        return Error { ErrorCode::KeyOutcomeUnknown, "a request with this key is running or may have run", "Idempotency-Key" };
    }

} // namespace

void AnswerStore::keep(const std::string& scope, HttpResponse answer)
{
    if (answer.body.size() > maximumAnswerBytes)
        return;
    if (m_answers.insert_or_assign(scope, std::move(answer)).second)
        m_order.push_back(scope);
    if (m_order.size() <= maximumAnswers)
        return;
    m_answers.erase(m_order.front());
    m_order.pop_front();
}

std::optional<HttpResponse> AnswerStore::find(const std::string& scope) const
{
    const auto found = m_answers.find(scope);
    return found == m_answers.end() ? std::nullopt : std::optional<HttpResponse>(found->second);
}

KeyedRequests::KeyedRequests(ClaimLog& claims)
    : m_claims(claims)
{
}

Task<KeyedDecision> KeyedRequests::begin(const KeyedRequest& request)
{
    const auto claim = co_await m_claims.claim(request.scope, request.fingerprint);
    if (claim)
        co_return decide(request, claim.value());
    KeyedDecision decision;
    decision.refusal = Error { ErrorCode::Unavailable, "the key could not be recorded: " + claim.error().message, "Idempotency-Key" };
    decision.retryAfter = m_claims.retryAfter();
    co_return decision;
}

KeyedDecision KeyedRequests::decide(const KeyedRequest& request, const ClaimDecision& claim)
{
    KeyedDecision decision;
    decision.status = claim.status;
    switch (claim.kind) {
    case ClaimKind::Fresh:
        decision.mayRun = true;
        decision.mark = claim.mark;
        return decision;
    case ClaimKind::BodyDiffers:
        decision.refusal = Error { ErrorCode::KeyReused, "the key was used for another request", "Idempotency-Key" };
        return decision;
    case ClaimKind::Known:
        break;
    }
    const std::lock_guard lock(m_mutex);
    decision.heldAnswer = m_answers.find(request.scope);
    if (!decision.heldAnswer)
        decision.refusal = knownClaimError(claim.status);
    return decision;
}

void KeyedRequests::finished(const KeyedRequest& request, const HttpResponse& answer)
{
    m_claims.finish(request.scope, answer.status);
    const std::lock_guard lock(m_mutex);
    m_answers.keep(request.scope, answer);
}

void KeyedRequests::release(const KeyedRequest& request, const std::string& mark)
{
    m_claims.release(request.scope, mark);
}

} // namespace cicadalb
