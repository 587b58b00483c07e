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

/// @brief Wakes waiting coroutines of one thread.
class Signal {
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    /// @brief Waits until notifyAll() or for @p patience.
    Task<void> wait(std::chrono::steady_clock::duration patience);
    void notifyAll();

private:
    boost::asio::any_io_executor m_executor;
    std::set<boost::asio::steady_timer*> m_waiting;
};

} // namespace cicadalb::standin
