#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Tables.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

/// @file
/// Admission control and load balancing of one pool, as seen by one entry host.

namespace cicadalb {

/// @brief Identifies a queued request.
using QueueTicket = std::uint64_t;

/// @brief Requirements of a request to a pool.
struct RequestRequirements {
    Priority priority = Priority::Normal;
    /// Time after which the answer is of no use to the caller.
    TimePoint deadline;
    /// Hash of the prompt prefix or group whose requests prefer the same target.
    std::optional<std::uint64_t> affinity;
    /// A target preferred by affinity is used if its marginal delay is at most twice that of the best target or exceeds it by at most this.
    Duration maximumAffinityDelay {};
    /// Targets of earlier attempts; used again only if no other target can serve the request.
    std::vector<TargetId> excluded;
};

enum class AdmissionKind : std::uint8_t { Admitted,
    Queued,
    Refused };

/// @brief Decision on a request. A refusal is final: a refused request is not queued.
struct Admission {
    AdmissionKind kind = AdmissionKind::Refused;
    /// Set if admitted.
    TargetId target;
    /// Set if admitted: moving average of the target's latency, queueing included; 0 if unknown.
    Duration averageLatency {};
    /// Set if queued.
    QueueTicket ticket = 0;
    /// Set if refused: time after which the caller should retry.
    Duration retryAfter {};
    /// Set if refused: NoTargetAvailable or Overloaded.
    ErrorCode reason = ErrorCode::Overloaded;
};

/// @brief Decision on a queued request.
struct QueueDecision {
    QueueTicket ticket = 0;
    /// Admitted or Refused.
    Admission admission;
};

enum class CompletionKind : std::uint8_t { Succeeded,
    /// The target answered with a server error.
    ServerError,
    /// No complete answer was received.
    Lost,
    /// The target refused the request without running it, or could not be reached.
    NotRun,
    /// Ended by this host before the answer; does not affect the estimates of the target.
    Abandoned };

/// @brief How a request on a target ended.
struct Completion {
    CompletionKind kind = CompletionKind::Succeeded;
    /// Time from dispatch to the end.
    Duration latency {};
    /// True if the request was lost because its deadline passed. If the deadline was too short for the target's average latency, the loss does
    /// not count against the target, so that a caller with short deadlines cannot open the circuits of a pool.
    bool hasDeadlinePassed = false;
};

/// @brief Load that a target reports about itself.
struct LoadReport {
    unsigned running = 0;
    unsigned queued = 0;
    /// Age of the report when it was received.
    Duration age {};
    /// True if the target announces that it is leaving.
    bool isLeaving = false;
};

/// @brief Snapshot of a target for the state dump and metrics.
struct TargetView {
    TargetId target;
    unsigned inFlight = 0;
    double limit = 0;
    /// Estimated service time without queueing.
    Duration serviceTime {};
    bool isEligible = false;
    /// Why the target is not eligible; empty if it is.
    std::string_view reason;
};

/// @brief How a target is picked among those below their concurrency limit. Only LeastDelay adapts that limit; for the others it is fixed.
enum class PickPolicy : std::uint8_t {
    /// Lowest expected delay, by service time, own and reported load, and failure domain; respects affinity.
    LeastDelay,
    /// The one of two random targets that has fewer requests of this host in flight.
    TwoChoices,
    LeastInFlight,
    RoundRobin,
    UniformRandom,
};

std::string_view name(PickPolicy) noexcept;

struct BalancerOptions {
    FailureDomain ownFailureDomain;
    std::uint64_t seed = 0;
    /// Maximum number of queued requests for each priority.
    std::size_t maximumQueueLength = 1024;
    PickPolicy policy = PickPolicy::LeastDelay;
};

/// @brief Admission control, request queue, concurrency limits and target selection of one pool. Does no I/O and reads no clock.
/// Not thread-safe: the lock of its shard guards it.
class PoolBalancer {
public:
    PoolBalancer(Pool, BalancerOptions, TimePoint now);
    ~PoolBalancer();
    PoolBalancer(PoolBalancer&&) noexcept;
    PoolBalancer& operator=(PoolBalancer&&) noexcept;

    /// @brief Admits a request to a target, queues it, or refuses it. Complexity: linear in the number of targets.
    Admission request(const RequestRequirements&, TimePoint now);
    /// @brief Records the end of a request on a target. @return decisions on queued requests
    std::vector<QueueDecision> recordCompletion(const TargetId&, const Completion&, TimePoint now);
    /// @brief Removes a queued request, e.g. because its caller has disconnected. @return false if it was not queued
    bool withdraw(QueueTicket, TimePoint now);
    /// @brief Refuses all queued requests, since this host stops.
    std::vector<QueueDecision> refuseQueued();
    /// @brief Refuses queued requests that can no longer meet their deadlines and admits those that can run now. Call it every few milliseconds.
    std::vector<QueueDecision> tick(TimePoint now);

    /// @brief Applies a new configuration of the pool. A removed target is kept until its requests in flight have ended.
    void update(const Pool&, TimePoint now);
    void reportLoad(const TargetId&, const LoadReport&, TimePoint now);
    /// @brief Sets whether the host list marks the host of a target as leaving.
    void setLeaving(const TargetId&, bool isLeaving, TimePoint now);

    std::size_t queueLength() const noexcept;
    std::vector<TargetView> targets(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cicadalb
