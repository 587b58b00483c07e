#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace cicadalb {

/// @brief A one-shot signal that a coroutine waits for, with a timeout. notify() is thread-safe and may be called before wait().
class Wakeup {
public:
    explicit Wakeup(const boost::asio::any_io_executor&);
    ~Wakeup();

    /// @brief Ends the current wait(), or the next one if there is none, immediately.
    void notify();
    /// @brief Waits for notify(), at most for @p timeout.
    Task<void> wait(Duration timeout);

private:
    struct State;
    static Task<void> waitOnStrand(std::shared_ptr<State>, Duration timeout);

    std::shared_ptr<State> m_state;
};

} // namespace cicadalb
