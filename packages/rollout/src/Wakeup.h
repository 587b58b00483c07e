#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace cicadalb {

/// @brief A one-shot signal that a coroutine waits for, with a limit in time. notify() is thread-safe and may come first.
class Wakeup {
public:
    explicit Wakeup(const boost::asio::any_io_executor&);
    ~Wakeup();

    /// @brief Ends the present or next wait at once.
    void notify();
    /// @brief Waits for notify(), at most for @p patience.
    Task<void> wait(Duration patience);

private:
    struct State;
    static Task<void> waitOnStrand(std::shared_ptr<State>, Duration patience);

    std::shared_ptr<State> m_state;
};

} // namespace cicadalb
