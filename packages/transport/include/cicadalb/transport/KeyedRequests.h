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
/// Requests with a caller's Idempotency-Key that may run at most once.

namespace cicadalb {

/// @brief A caller's key with the request that it stands for.
struct KeyedRequest {
    /// Caller, route and key: two callers never share a key.
    std::string scope;
    /// All that has to be the same when the key is used again.
    std::string fingerprint;
};

/// @brief What to do with a keyed request.
struct KeyedDecision {
    /// True: dispatch it now; end it by finished() or release().
    bool mayRun = false;
    /// Mark of the claim if it may run.
    std::string mark;
    /// The answer to the key's first use, if it is held here.
    std::optional<HttpResponse> heldAnswer;
    /// Set if neither may run nor held: KeyReused, KeyOutcomeUnknown, or the platform's error (then nothing ran).
    std::optional<Error> refusal;
    /// Status of the first answer, if known.
    std::optional<unsigned> status;
    Duration retryAfter {};
};

/// @brief The latest answers by scope, bounded in number and in the size of each. Not thread-safe.
class AnswerStore {
public:
    static constexpr std::size_t maximumAnswers = 2048;
    static constexpr std::size_t maximumAnswerBytes = std::size_t { 8 } << 10U;

    /// @brief Keeps an answer unless it is too large; drops the oldest one beyond the bound.
    void keep(const std::string& scope, HttpResponse answer);
    std::optional<HttpResponse> find(const std::string& scope) const;

private:
    std::unordered_map<std::string, HttpResponse> m_answers;
    std::deque<std::string> m_order;
};

/// @brief Claims keys before dispatch and holds recent answers. Thread-safe.
class KeyedRequests {
public:
    explicit KeyedRequests(ClaimLog& claims);

    /// @brief Claims the key; only one request in the fleet may run for it.
    Task<KeyedDecision> begin(const KeyedRequest&);
    /// @brief The whole answer was received. Small ones are held for repeats.
    void finished(const KeyedRequest&, const HttpResponse& answer);
    /// @brief The request is known not to have run.
    void release(const KeyedRequest&, const std::string& mark);

private:
    KeyedDecision decide(const KeyedRequest&, const ClaimDecision&);

    ClaimLog& m_claims;
    std::mutex m_mutex;
    AnswerStore m_answers;
};

} // namespace cicadalb
