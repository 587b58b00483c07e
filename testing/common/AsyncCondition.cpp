#include "common/AsyncCondition.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalb::standin {

namespace asio = boost::asio;

Task<void> sleepFor(std::chrono::steady_clock::duration duration)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, duration);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

Task<void> AsyncCondition::wait(std::chrono::steady_clock::duration timeout)
{
    asio::steady_timer timer(m_executor, timeout);
    m_waiting.insert(&timer);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    m_waiting.erase(&timer);
}

void AsyncCondition::notifyAll()
{
    for (auto* timer : m_waiting)
        timer->cancel();
}

} // namespace cicadalb::standin
