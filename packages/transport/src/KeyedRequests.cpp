#include "cicadalb/transport/KeyedRequests.h"

namespace cicadalb {

namespace {

    Error keyOutcomeUnknownError(const std::optional<unsigned>& status)
    {
        if (status)
            return Error { ErrorCode::KeyOutcomeUnknown, "the request ran and was answered with status " + std::to_string(*status) + "; its response is not cached on this host", "Idempotency-Key" };
        return Error { ErrorCode::KeyOutcomeUnknown, "a request with this key is running or may have run", "Idempotency-Key" };
    }

} // namespace

void ResponseCache::insert(const std::string& scopedKey, HttpResponse response)
{
    if (response.body.size() > maximumBodyBytes)
        return;
    // The cache has limits of its own.
    response.memory = nullptr;
    if (m_responses.insert_or_assign(scopedKey, std::move(response)).second)
        m_insertionOrder.push_back(scopedKey);
    if (m_insertionOrder.size() <= maximumResponses)
        return;
    m_responses.erase(m_insertionOrder.front());
    m_insertionOrder.pop_front();
}

std::optional<HttpResponse> ResponseCache::find(const std::string& scopedKey) const
{
    const auto found = m_responses.find(scopedKey);
    return found == m_responses.end() ? std::nullopt : std::optional<HttpResponse>(found->second);
}

KeyedRequests::KeyedRequests(ClaimLog& claims)
    : m_claims(claims)
{
}

Task<KeyedDecision> KeyedRequests::begin(const KeyedRequest& request)
{
    const auto claim = co_await m_claims.claim(request.scopedKey, request.fingerprint);
    if (claim)
        co_return decide(request, claim.value());
    KeyedDecision decision;
    decision.refusal = Error { ErrorCode::Unavailable, "the claim of the key could not be recorded: " + claim.error().message, "Idempotency-Key" };
    decision.retryAfter = m_claims.retryAfter();
    co_return decision;
}

KeyedDecision KeyedRequests::decide(const KeyedRequest& request, const ClaimDecision& claim)
{
    KeyedDecision decision;
    decision.recordedStatus = claim.status;
    switch (claim.kind) {
    case ClaimKind::Fresh:
        decision.mayRun = true;
        decision.claimId = claim.claimId;
        return decision;
    case ClaimKind::BodyDiffers:
        decision.refusal = Error { ErrorCode::KeyReused, "the key was used for another request", "Idempotency-Key" };
        return decision;
    case ClaimKind::Known:
        break;
    }
    const std::lock_guard lock(m_mutex);
    decision.cachedResponse = m_responses.find(request.scopedKey);
    if (!decision.cachedResponse)
        decision.refusal = keyOutcomeUnknownError(claim.status);
    return decision;
}

void KeyedRequests::finish(const KeyedRequest& request, const HttpResponse& response)
{
    m_claims.recordStatus(request.scopedKey, response.status);
    const std::lock_guard lock(m_mutex);
    m_responses.insert(request.scopedKey, response);
}

void KeyedRequests::release(const KeyedRequest& request, const std::string& claimId)
{
    m_claims.release(request.scopedKey, claimId);
}

} // namespace cicadalb
