#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

/// @file
/// A timer on a Clock, for coroutines whose waits tests advance.

namespace cicadalb {

/// @brief Suspends one coroutine at a time until a time of the clock. Bound to one event loop; the clock must outlive all waits.
class ClockTimer final : private ClockObserver {
public:
    ClockTimer(const boost::asio::any_io_executor&, const Clock&);
    ~ClockTimer() override;
    ClockTimer(const ClockTimer&) = delete;
    ClockTimer& operator=(const ClockTimer&) = delete;

    /// @brief Waits until @p time, or until cancel() is called during the wait. @return whether the time was reached
    Task<bool> waitUntil(TimePoint time);
    Task<bool> waitFor(Duration);
    /// @brief Ends the current wait, if any.
    void cancel();

private:
    void onAdvance() override;

    const Clock& m_clock;
    std::shared_ptr<ClockObservers> m_observers;
    boost::asio::steady_timer m_timer;
    TimePoint m_expiry;
    bool m_isWaiting = false;
    bool m_isCancelled = false;
};

} // namespace cicadalb
