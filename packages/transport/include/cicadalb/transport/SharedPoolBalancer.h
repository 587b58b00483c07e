#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/routing/PoolBalancer.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// A pool's balancer behind a lock, with a queue of waiting coroutines.

namespace cicadalb {

/// @brief Admits the requests of all threads of the process to one pool. Thread-safe; each pool has its own lock.
class SharedPoolBalancer {
public:
    SharedPoolBalancer(Pool, BalancerOptions, const Clock&);

    /// @brief Waits until the request is admitted to a target or refused. The result is never Queued.
    Task<Admission> admit(RequestRequirements);
    /// @brief Records that a request on a target ended, and resumes the queued requests that are admitted or refused as a result.
    void recordCompletion(const TargetId&, const Completion&);
    /// @brief Refuses queued requests that can no longer meet their deadlines and admits those that can run now. Called every few milliseconds.
    void tick();

    /// @brief Refuses all queued requests, since this host stops.
    void refuseQueued();

    void update(const Pool&);
    void reportLoad(const TargetId&, const LoadReport&);
    void setLeaving(const TargetId&, bool isLeaving);

    /// @brief Copies the pool with all its targets; too expensive to call for each request.
    Pool pool() const;
    const PoolName& name() const noexcept { return m_name; }
    TargetKind kind() const;
    std::vector<TargetView> targets() const;
    std::size_t queueLength() const;
    /// @brief The configuration of a target, or nothing if the target is no longer in the pool.
    std::optional<Target> target(const TargetId&) const;

private:
    struct Waiter;

    void resumeWaiters(const std::vector<QueueDecision>&);

    mutable std::mutex m_mutex;
    const Clock& m_clock;
    const PoolName m_name;
    Pool m_pool;
    PoolBalancer m_balancer;
    std::unordered_map<QueueTicket, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace cicadalb
