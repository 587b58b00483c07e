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
/// Admission and choice of target for one pool, as seen from one entry host.

namespace cicadalb {

/// @brief Names a queued request.
using QueueTicket = std::uint64_t;

/// @brief What a request asks of a pool.
struct Demand {
    Priority priority = Priority::Normal;
    /// When the answer is of no more use.
    TimePoint deadline;
    /// Hash of the prompt prefix or group that wants the same target.
    std::optional<std::uint64_t> affinity;
    /// Delay beyond the best target's that is borne for the sake of affinity, where that is more than twice the best one's.
    Duration affinityPatience {};
    /// Targets that earlier attempts used.
    std::vector<TargetId> excluded;
};

enum class AdmissionKind : std::uint8_t { Admitted,
    Queued,
    Refused };

/// @brief Answer to a demand. A refusal is final and comes at once.
struct Admission {
    AdmissionKind kind = AdmissionKind::Refused;
    /// Set if admitted.
    TargetId target;
    /// Set if admitted: recent latency of the target with queueing; 0 if unknown.
    Duration usualLatency {};
    /// Set if queued.
    QueueTicket ticket = 0;
    /// Set if refused: when another try makes sense.
    Duration retryAfter {};
    /// Set if refused: NoTargetAvailable or Overloaded.
    ErrorCode reason = ErrorCode::Overloaded;
};

/// @brief A queued request's turn.
struct QueueDecision {
    QueueTicket ticket = 0;
    /// Admitted or Refused.
    Admission admission;
};

enum class CompletionKind : std::uint8_t { Succeeded,
    /// The target answered with a server error.
    ServerError,
    /// No whole answer came.
    Lost,
    /// The target refused without running it, or could not be reached.
    NotRun,
    /// Abandoned by us; says nothing about the target.
    Abandoned };

/// @brief How a request on a target ended.
struct Completion {
    CompletionKind kind = CompletionKind::Succeeded;
    /// Time from dispatch to the end.
    Duration latency {};
    /// Lost because the request's own deadline passed. A deadline shorter than the target's usual latency says nothing against the target,
    /// so that a caller with short deadlines cannot open the circuits of a pool.
    bool hasDeadlinePassed = false;
};

/// @brief A target's own report.
struct LoadReport {
    unsigned running = 0;
    unsigned queued = 0;
    /// Age of the report when it was received.
    Duration age {};
    /// The target's own word that it is leaving.
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
    std::string_view reason;
};

/// @brief How a target is picked among those with room. All but LeastDelay have a fixed limit in flight.
enum class PickPolicy : std::uint8_t {
    /// Least expected time to the answer: speed, own and reported load, failure domain, affinity.
    LeastDelay,
    /// The one of two random targets with fewer own requests in flight.
    TwoChoices,
    LeastInFlight,
    RoundRobin,
    UniformRandom,
};

std::string_view name(PickPolicy) noexcept;

struct BalancerOptions {
    FailureDomain ownFailureDomain;
    std::uint64_t seed = 0;
    /// Most requests that wait at each priority.
    std::size_t maximumQueueLength = 1024;
    PickPolicy policy = PickPolicy::LeastDelay;
};

/// @brief One pool's admission, queue, limits and picks. Values in, values out; not thread-safe: its shard's lock guards it.
class PoolBalancer {
public:
    PoolBalancer(Pool, BalancerOptions, TimePoint now);
    ~PoolBalancer();
    PoolBalancer(PoolBalancer&&) noexcept;
    PoolBalancer& operator=(PoolBalancer&&) noexcept;

    /// @brief Admits to a target, queues, or refuses. Complexity: linear in the targets.
    Admission request(const Demand&, TimePoint now);
    /// @brief Ends a request on a target. @return the queued requests whose turn it is now
    std::vector<QueueDecision> finished(const TargetId&, const Completion&, TimePoint now);
    /// @brief Takes a queued request out, e.g. because its caller is gone. @return false if it was not queued
    bool withdraw(QueueTicket, TimePoint now);
    /// @brief Called every few milliseconds: refuses what cannot make its deadline any more and admits what can run now.
    std::vector<QueueDecision> tick(TimePoint now);

    /// @brief Takes over a new configuration of the pool; what runs is kept.
    void update(const Pool&, TimePoint now);
    void reportLoad(const TargetId&, const LoadReport&, TimePoint now);
    /// @brief The host list's word on a target's machine.
    void setLeaving(const TargetId&, bool isLeaving, TimePoint now);

    std::size_t queueLength() const noexcept;
    std::vector<TargetView> targets(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cicadalb
