#include "Wakeup.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalb {

/// The timer and the flag are accessed on the strand only.
struct Wakeup::State {
    explicit State(const boost::asio::any_io_executor& executor)
        : strand(boost::asio::make_strand(executor))
        , timer(strand)
    {
    }

    boost::asio::strand<boost::asio::any_io_executor> strand;
    boost::asio::steady_timer timer;
    bool isNotified = false;
};

Wakeup::Wakeup(const boost::asio::any_io_executor& executor)
    : m_state(std::make_shared<State>(executor))
{
}

Wakeup::~Wakeup() = default;

void Wakeup::notify()
{
    boost::asio::post(m_state->strand, [state = m_state] {
        state->isNotified = true;
        state->timer.cancel();
    });
}

Task<void> Wakeup::waitOnStrand(std::shared_ptr<State> state, Duration timeout)
{
    if (state->isNotified)
        co_return;
    boost::system::error_code ignored;
    state->timer.expires_after(timeout);
    co_await state->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

Task<void> Wakeup::wait(Duration timeout)
{
    auto state = m_state;
    auto task = waitOnStrand(state, timeout);
    co_await boost::asio::co_spawn(state->strand, std::move(task), boost::asio::use_awaitable);
}

} // namespace cicadalb
