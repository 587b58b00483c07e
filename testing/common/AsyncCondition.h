#pragma once

#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <set>

namespace cicadalb::standin {

using Milliseconds = std::chrono::milliseconds;

/// @brief Suspends the current coroutine for @p duration.
Task<void> sleepFor(std::chrono::steady_clock::duration duration);

/// @brief A condition variable for coroutines that run on one thread. Not thread-safe.
class AsyncCondition {
public:
    explicit AsyncCondition(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    /// @brief Waits until notifyAll() is called or @p timeout has passed.
    Task<void> wait(std::chrono::steady_clock::duration timeout);
    void notifyAll();

private:
    boost::asio::any_io_executor m_executor;
    std::set<boost::asio::steady_timer*> m_waiting;
};

} // namespace cicadalb::standin
