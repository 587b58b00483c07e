#pragma once

#include "cicadalb/base/Task.h"
#include "cicadalb/services/ClaimLog.h"
#include "cicadalb/services/HttpClient.h"

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

/// @file
/// Requests with an Idempotency-Key, which run at most once.

namespace cicadalb {

/// @brief A request with its Idempotency-Key.
struct KeyedRequest {
    /// Caller, route and key, so that different callers never share a key.
    std::string scopedKey;
    /// Method, path, query and body, which must be equal when the key is used again.
    std::string fingerprint;
};

/// @brief Result of claiming the key of a request.
struct KeyedDecision {
    /// True: dispatch the request, then call finish() if it was answered or release() if it did not run.
    bool mayRun = false;
    /// Identifies the claim for release(). Set if mayRun.
    std::string claimId;
    /// Response to the first request with this key, if this host caches it.
    std::optional<HttpResponse> cachedResponse;
    /// Set if the request may not run and no response is cached: KeyReused, KeyOutcomeUnknown, or Unavailable if the claim could not be
    /// recorded (in this case the request did not run).
    std::optional<Error> refusal;
    /// HTTP status of the response to the first request, if known.
    std::optional<unsigned> recordedStatus;
    /// Set if the claim could not be recorded: time after which the caller may retry.
    Duration retryAfter {};
};

/// @brief The most recent responses by scoped key, limited in number and body size. Not thread-safe.
class ResponseCache {
public:
    static constexpr std::size_t maximumResponses = 2048;
    static constexpr std::size_t maximumBodyBytes = std::size_t { 8 } << 10U;

    /// @brief Stores a response unless its body exceeds maximumBodyBytes; evicts the oldest response beyond maximumResponses.
    void insert(const std::string& scopedKey, HttpResponse response);
    std::optional<HttpResponse> find(const std::string& scopedKey) const;

private:
    std::unordered_map<std::string, HttpResponse> m_responses;
    std::deque<std::string> m_insertionOrder;
};

/// @brief Claims keys before dispatch and caches recent responses. Thread-safe.
class KeyedRequests {
public:
    explicit KeyedRequests(ClaimLog& claims);

    /// @brief Claims the key. Across all hosts, only one request may run for it.
    Task<KeyedDecision> begin(const KeyedRequest&);
    /// @brief Records that the complete response was received, and caches it for repeated requests if it is small.
    void finish(const KeyedRequest&, const HttpResponse& response);
    /// @brief Releases the claim of a request that is known not to have run.
    void release(const KeyedRequest&, const std::string& claimId);

private:
    KeyedDecision decide(const KeyedRequest&, const ClaimDecision&);

    ClaimLog& m_claims;
    std::mutex m_mutex;
    ResponseCache m_responses;
};

} // namespace cicadalb
