#include "cicadalb/transport/SharedPoolBalancer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

/// A queued coroutine. Its timer never expires; cancelling the timer resumes the coroutine.
struct SharedPoolBalancer::Waiter {
    explicit Waiter(const asio::any_io_executor& waiterExecutor)
        : executor(waiterExecutor)
        , timer(waiterExecutor, asio::steady_timer::time_point::max())
    {
    }
    asio::any_io_executor executor;
    asio::steady_timer timer;
    /// Accessed only on the executor.
    std::optional<Admission> decision;
};

SharedPoolBalancer::SharedPoolBalancer(Pool pool, BalancerOptions options, const Clock& clock)
    : m_clock(clock)
    , m_name(pool.name)
    , m_pool(pool)
    , m_balancer(std::move(pool), std::move(options), clock.now())
{
}

Task<Admission> SharedPoolBalancer::admit(RequestRequirements requirements)
{
    const auto executor = co_await asio::this_coro::executor;
    std::shared_ptr<Waiter> waiter;
    {
        const std::lock_guard lock(m_mutex);
        const auto admission = m_balancer.request(requirements, m_clock.now());
        if (admission.kind != AdmissionKind::Queued)
            co_return admission;
        waiter = std::make_shared<Waiter>(executor);
        m_waiters.emplace(admission.ticket, waiter);
    }
    while (!waiter->decision) {
        boost::system::error_code error;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    co_return *waiter->decision;
}

void SharedPoolBalancer::recordCompletion(const TargetId& target, const Completion& completion)
{
    const std::lock_guard lock(m_mutex);
    resumeWaiters(m_balancer.recordCompletion(target, completion, m_clock.now()));
}

void SharedPoolBalancer::tick()
{
    const std::lock_guard lock(m_mutex);
    resumeWaiters(m_balancer.tick(m_clock.now()));
}

void SharedPoolBalancer::refuseQueued()
{
    const std::lock_guard lock(m_mutex);
    resumeWaiters(m_balancer.refuseQueued());
}

void SharedPoolBalancer::resumeWaiters(const std::vector<QueueDecision>& decisions)
{
    for (const auto& decision : decisions) {
        const auto found = m_waiters.find(decision.ticket);
        if (found == m_waiters.end())
            continue;
        const auto waiter = found->second;
        m_waiters.erase(found);
        asio::post(waiter->executor, [waiter, admission = decision.admission] {
            waiter->decision = admission;
            waiter->timer.cancel();
        });
    }
}

void SharedPoolBalancer::update(const Pool& pool)
{
    const std::lock_guard lock(m_mutex);
    m_pool = pool;
    m_balancer.update(pool, m_clock.now());
}

void SharedPoolBalancer::reportLoad(const TargetId& target, const LoadReport& report)
{
    const std::lock_guard lock(m_mutex);
    m_balancer.reportLoad(target, report, m_clock.now());
}

void SharedPoolBalancer::setLeaving(const TargetId& target, bool isLeaving)
{
    const std::lock_guard lock(m_mutex);
    m_balancer.setLeaving(target, isLeaving, m_clock.now());
}

Pool SharedPoolBalancer::pool() const
{
    const std::lock_guard lock(m_mutex);
    return m_pool;
}

TargetKind SharedPoolBalancer::kind() const
{
    const std::lock_guard lock(m_mutex);
    return m_pool.kind;
}

std::vector<TargetView> SharedPoolBalancer::targets() const
{
    const std::lock_guard lock(m_mutex);
    return m_balancer.targets(m_clock.now());
}

std::size_t SharedPoolBalancer::queueLength() const
{
    const std::lock_guard lock(m_mutex);
    return m_balancer.queueLength();
}

std::optional<Target> SharedPoolBalancer::target(const TargetId& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_pool.targets.begin(), m_pool.targets.end(), [&id](const auto& candidate) { return candidate.id == id; });
    return found == m_pool.targets.end() ? std::nullopt : std::optional<Target>(*found);
}

} // namespace cicadalb
