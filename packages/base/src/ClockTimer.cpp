#include "cicadalb/base/ClockTimer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalb {

namespace asio = boost::asio;

ClockTimer::ClockTimer(const asio::any_io_executor& executor, const Clock& clock)
    : m_clock(clock)
    , m_observers(clock.observers())
    , m_timer(executor)
{
    if (m_observers)
        m_observers->insert(this);
}

ClockTimer::~ClockTimer()
{
    if (m_observers)
        m_observers->erase(this);
}

Task<bool> ClockTimer::waitUntil(TimePoint time)
{
    m_isWaiting = true;
    m_isCancelled = false;
    m_expiry = time;
    while (!m_isCancelled && m_clock.now() < time) {
        if (m_clock.isRunning() && time != TimePoint::max())
            m_timer.expires_after(time - m_clock.now());
        else
            m_timer.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code error;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    m_isWaiting = false;
    co_return !m_isCancelled;
}

Task<bool> ClockTimer::waitFor(Duration duration) { return waitUntil(m_clock.now() + duration); }

void ClockTimer::cancel()
{
    m_isCancelled = true;
    m_timer.cancel();
}

void ClockTimer::onAdvance()
{
    if (m_isWaiting && m_clock.now() >= m_expiry)
        m_timer.cancel();
}

} // namespace cicadalb
