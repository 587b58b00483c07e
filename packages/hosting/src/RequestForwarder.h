#pragma once

#include "CrashGuard.h"
#include "RequestPermits.h"
#include "SiteDirectory.h"
#include "TargetReachability.h"
#include "UsageCounter.h"

#include "cicadalb/base/SoftwareRelease.h"
#include "cicadalb/site/SiteProtocol.h"
#include "cicadalb/transport/TargetClients.h"

#include <functional>
#include <memory>
#include <string>

/// @file
/// Sends a request to targets of a pool, one after the other, until one answers or the route's limits are reached.

namespace cicadalb {

enum class ForwardState : std::uint8_t {
    /// A target's own answer.
    Answered,
    /// No target ran the request, and none will.
    NotRun,
    /// A target may have run the request, but no answer came.
    Unknown,
    /// The caller closed its connection.
    Abandoned,
};

std::string_view name(ForwardState) noexcept;
/// @return the state with this name, or nothing
std::optional<ForwardState> forwardStateNamed(std::string_view) noexcept;

struct ForwardOutcome {
    ForwardState state = ForwardState::NotRun;
    /// Set if answered.
    HttpResponse answer;
    /// Set if not run: delay before the caller should retry.
    Duration retryAfter {};
    unsigned attempts = 0;
    /// Set if answered: software of the target.
    SoftwareRelease release;
    /// Why the request ended without an answer.
    std::string cause;
    /// Whether the request is known not to have run, also if it was abandoned.
    bool isKnownNotRun = false;
};

struct ForwardRequest {
    RequestId id;
    const SiteRoute* route = nullptr;
    PoolName pool;
    TimePoint deadline;
    /// Organisation that the request belongs to; empty for a request without a key.
    OrganisationName organisation;
    /// Takes precedence over the priority of the route.
    std::optional<unsigned> priority;
    /// Whether the request may still leave this host; asked directly before each write to a target. Empty: always.
    std::function<bool()> mayBeSent;
    /// Why the request does not leave this host once @c mayBeSent returns false.
    std::string_view withheldCause = "this host cannot know whether the caller's key is still valid";
    /// Software that the target must run, if the request continues the answer of another target.
    std::optional<SoftwareRelease> requiredRelease;
    /// Hash that selects two preferred targets of the pool, so that their connections are reused.
    std::optional<std::uint64_t> affinity;
    /// Longest time that the request may wait for a target that has reached its limit on requests a second.
    Duration maximumPermitWait {};
    /// Returns the request's fingerprint; empty if the request is sent however many targets crash under it, as those of submissions.
    std::function<RequestFingerprint()> fingerprint;
    /// Builds the HTTP request of one attempt.
    std::function<HttpRequest(const AttemptContext&)> buildMessage;
    std::shared_ptr<HttpCancellation> cancellation;
    /// Has the request forwarded by another host, to at most @p attemptsLeft targets; empty if that is not possible. @return the outcome, or nothing if no other host has replied
    std::function<Task<std::optional<ForwardOutcome>>(unsigned attemptsLeft)> relay;
};

/// @brief A request for the message of a caller, without pool and deadline. @p message, @p route and @p protocol must outlive it.
/// @param organisation that the request belongs to, if it came with a key; the message no longer holds the key then
ForwardRequest makeForwardRequest(const HttpRequest& message, const SiteRoute& route, const SiteProtocol& protocol, const OrganisationName& organisation = {});

/// @brief Bound to one event loop.
class RequestForwarder {
public:
    /// @param reachability null: each failure of an attempt is taken for the target's
    RequestForwarder(SiteDirectory&, const SiteProtocol&, TargetClients&, RequestPermits&, CrashGuard&, const Clock&, TargetReachability* reachability = nullptr);

    Task<ForwardOutcome> forward(ForwardRequest);
    /// @brief Has the attempts of organisations' requests counted. @p usage must outlive this object
    void setUsageCounter(UsageCounter& usage) { m_usage = &usage; }

private:
    struct Progress;
    struct Attempt;
    Task<bool> attempt(const ForwardRequest&, Progress&);
    static bool mayBeSent(const ForwardRequest&, Progress&);
    /// Notes that the request ends since it may no longer be sent.
    static void recordWithheld(const ForwardRequest&, Progress&);
    bool shouldRelay(const ForwardRequest&, const Progress&) const;
    /// Has the request forwarded by another host. @return whether an attempt from this host makes sense
    Task<bool> relay(const ForwardRequest&, Progress&);
    /// Updates what is known about this host's connection to the targets. @return whether the attempt failed because the host is cut off
    Task<bool> updateReachability(const RegisteredTarget&, const Attempt&, TimePoint deadline);
    static bool hasRequiredRelease(const ForwardRequest&, const RegisteredTarget&);
    enum class ReleaseCheck : std::uint8_t { Passed,
        OtherTarget,
        NoTarget };
    /// Whether the target runs the software that the request requires, if any, by the store: the registry of this host may be out of date.
    Task<ReleaseCheck> checkRelease(const ForwardRequest&, Progress&, RegisteredTarget);
    RequestRequirements requirementsOf(const ForwardRequest&, const Progress&) const;
    static bool conclude(const SiteRoute&, Progress&, Attempt&);
    /// Waits until the request may be sent to the target. @return whether it may; if not, the target is noted as exhausted
    Task<bool> awaitPermit(const ForwardRequest&, Progress&, const RegisteredTarget&);
    /// Whether the request may be sent to a target, as far as the targets that crashed under it are concerned.
    bool isBlocked(const ForwardRequest&, Progress&) const;
    /// Finds out whether a target crashed while it ran the request. @return whether the request may be sent to another one
    Task<bool> examineLoss(const ForwardRequest&, Progress&, const RegisteredTarget&, bool hasTimedOut);
    Task<Attempt> exchange(const ForwardRequest&, const RegisteredTarget&, TimePoint deadline, Duration remaining);
    /// Brings the count of an attempt into line with its result.
    void settleUsage(UsageCounter::Mark, const ForwardRequest&, const Attempt&) const;
    void logAttempt(const ForwardRequest&, const RegisteredTarget&, const Attempt&, Duration latency) const;
    TimePoint attemptDeadline(const ForwardRequest&, const Progress&, TimePoint now) const;

    SiteDirectory& m_directory;
    const SiteProtocol& m_protocol;
    TargetClients& m_clients;
    RequestPermits& m_permits;
    CrashGuard& m_crashGuard;
    const Clock& m_clock;
    TargetReachability* m_reachability;
    UsageCounter* m_usage = nullptr;
};

/// @brief Chooses a pool of the route in proportion to the pools' weights. @param fraction uniform in [0, 1)
const PoolName& choosePool(const SiteRoute&, double fraction);

} // namespace cicadalb
