#pragma once

#include "SiteDirectory.h"

#include "cicadalb/site/SiteProtocol.h"
#include "cicadalb/transport/TargetClients.h"

#include <functional>
#include <memory>
#include <string>

/// @file
/// Sends one request to a pool's targets until one answers, within the route's limits.

namespace cicadalb {

enum class ForwardState : std::uint8_t {
    /// A target's own answer.
    Answered,
    /// No target ran it, and none will.
    NotRun,
    /// It may have run; no answer came.
    Unknown,
    /// Its caller is gone.
    Abandoned,
};

std::string_view name(ForwardState) noexcept;

struct ForwardOutcome {
    ForwardState state = ForwardState::NotRun;
    /// Set if answered.
    HttpResponse answer;
    /// Set if not run: when another try makes sense.
    Duration retryAfter {};
    unsigned attempts = 0;
    /// Why it ended without an answer.
    std::string cause;
};

struct ForwardRequest {
    RequestId id;
    const SiteRoute* route = nullptr;
    PoolName pool;
    TimePoint deadline;
    /// Prefers two targets of the pool by this hash, so that their connections are used again.
    std::optional<std::uint64_t> affinity;
    /// Builds the message for one attempt.
    std::function<HttpRequest(const AttemptTerms&)> message;
    std::shared_ptr<HttpCancellation> cancellation;
};

/// @brief Bound to one event loop.
class RequestForwarder {
public:
    RequestForwarder(SiteDirectory&, const SiteProtocol&, TargetClients&, const Clock&);

    Task<ForwardOutcome> run(ForwardRequest);

private:
    struct Progress;
    struct Attempt;
    Task<bool> attempt(const ForwardRequest&, Progress&);
    Task<Attempt> exchange(const ForwardRequest&, const RegisteredTarget&, TimePoint deadline, Duration remaining);
    void recordAttempt(const ForwardRequest&, const RegisteredTarget&, const Attempt&, Duration latency) const;
    TimePoint attemptDeadline(const ForwardRequest&, const Progress&, TimePoint now) const;

    SiteDirectory& m_directory;
    const SiteProtocol& m_protocol;
    TargetClients& m_clients;
    const Clock& m_clock;
};

/// @brief The pool that a route's request goes to. @param draw uniform in [0, 1)
const PoolName& choosePool(const SiteRoute&, double draw);

} // namespace cicadalb
