#include "Pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalb {

Task<void> pause(const boost::asio::any_io_executor& executor, Duration duration)
{
    boost::asio::steady_timer timer(executor, duration);
    boost::system::error_code error;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

} // namespace cicadalb
