#include "cicadalb/services/LeaseKeeper.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

LeaseKeeper::LeaseKeeper(KeyValueService& service, const Clock& clock, LeaseSettings settings, std::uint64_t randomSeed)
    : m_service(service)
    , m_clock(clock)
    , m_settings(settings)
    , m_holding(std::move(settings), randomSeed)
{
}

Task<TimePoint> LeaseKeeper::step()
{
    LeaseCall due = LeaseCall::None;
    {
        const std::lock_guard lock(m_mutex);
        due = m_holding.next(m_clock.now());
    }
    co_await call(due);
    const std::lock_guard lock(m_mutex);
    co_return m_holding.nextDue();
}

void LeaseKeeper::hasten()
{
    const std::lock_guard lock(m_mutex);
    m_holding.hasten(m_clock.now());
}

void LeaseKeeper::replace(Revision earlier)
{
    const std::lock_guard lock(m_mutex);
    m_holding.replace(earlier);
}

Task<void> LeaseKeeper::run(asio::any_io_executor executor)
{
    constexpr std::chrono::milliseconds longestWait { 200 };
    asio::steady_timer timer(executor);
    while (!m_isStopped) {
        const TimePoint due = co_await step();
        const auto wait = std::clamp<Duration>(due - m_clock.now(), Duration::zero(), longestWait);
        boost::system::error_code error;
        timer.expires_after(wait);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    co_await release();
}

Task<void> LeaseKeeper::release()
{
    LeaseId lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        lease = m_holding.lease();
        m_holding.onRelease(m_clock.now());
    }
    if (lease != 0)
        (void)co_await m_service.releaseLease(lease);
}

bool LeaseKeeper::mayAct(Duration longestAction) const
{
    const std::lock_guard lock(m_mutex);
    return m_holding.mayAct(m_clock.now(), longestAction);
}

bool LeaseKeeper::mayActUnfenced(Duration longestAction) const
{
    const std::lock_guard lock(m_mutex);
    return m_holding.mayActUnfenced(m_clock.now(), longestAction);
}

std::optional<FencingNumber> LeaseKeeper::fencingNumber() const
{
    return locked(&LeaseHolding::fencingNumber);
}

LeaseState LeaseKeeper::state() const
{
    return LeaseState { m_settings.key, m_settings.holder, fencingNumber() };
}

template <typename Value>
Value LeaseKeeper::locked(Value (LeaseHolding::*accessor)() const) const
{
    const std::lock_guard lock(m_mutex);
    return (m_holding.*accessor)();
}

template <typename Event>
void LeaseKeeper::note(Event event)
{
    std::optional<FencingNumber> before;
    std::optional<FencingNumber> after;
    {
        const std::lock_guard lock(m_mutex);
        before = m_holding.fencingNumber();
        event(m_holding, m_clock.now());
        after = m_holding.fencingNumber();
    }
    if (before && !after)
        logEvent(cicadalb::Event::LeaseLost, { { "key", m_settings.key }, { "holder", m_settings.holder } });
}

Task<void> LeaseKeeper::call(LeaseCall due)
{
    switch (due) {
    case LeaseCall::None:
        co_return;
    case LeaseCall::Grant: {
        const auto result = co_await m_service.grantLease(m_settings.timeToLive);
        note([&](LeaseHolding& holding, TimePoint now) { holding.onGrant(result, now); });
        co_return;
    }
    case LeaseCall::Take: {
        auto write = locked(&LeaseHolding::takeWrite);
        const auto result = co_await m_service.compareAndSwap(std::move(write));
        note([&](LeaseHolding& holding, TimePoint now) { holding.onTake(result, now); });
        co_return;
    }
    case LeaseCall::ReadBack: {
        const auto result = co_await m_service.read(m_settings.key);
        note([&](LeaseHolding& holding, TimePoint now) { holding.onReadBack(result, now); });
        co_return;
    }
    case LeaseCall::Renew: {
        const auto lease = locked(&LeaseHolding::lease);
        const auto result = co_await m_service.renewLease(lease);
        note([&](LeaseHolding& holding, TimePoint now) { holding.onRenew(result, now); });
        co_return;
    }
    case LeaseCall::Release:
        co_await release();
        co_return;
    }
}

} // namespace cicadalb
