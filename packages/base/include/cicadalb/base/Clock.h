#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <set>

/// @file
/// An interface to the steady clock, so that tests can stop and advance it.

namespace cicadalb {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// @brief Is notified when a clock is advanced.
class ClockObserver {
public:
    virtual ~ClockObserver() = default;
    virtual void onAdvance() = 0;
};

using ClockObservers = std::set<ClockObserver*>;

/// @brief Source of steady time. now() is thread-safe.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const noexcept = 0;
    /// @brief Whether time passes by itself, so that timers of the operating system can measure it.
    virtual bool isRunning() const noexcept { return true; }
    /// @brief Observers of a clock that is not running; null otherwise. An observer removes itself before it is destroyed.
    virtual std::shared_ptr<ClockObservers> observers() const { return nullptr; }
};

/// @brief The clock std::chrono::steady_clock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const noexcept override { return std::chrono::steady_clock::now(); }
};

/// @brief A clock that stands still until it is advanced. Observers are not thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const noexcept override { return TimePoint(Duration(m_ticks.load())); }
    bool isRunning() const noexcept override { return false; }
    std::shared_ptr<ClockObservers> observers() const override { return m_observers; }
    void advance(Duration by)
    {
        m_ticks += by.count();
        for (auto* observer : *m_observers)
            observer->onAdvance();
    }

private:
    std::atomic<Duration::rep> m_ticks { Duration(std::chrono::hours(1)).count() };
    /// Shared with the observers, which may outlive the clock.
    std::shared_ptr<ClockObservers> m_observers = std::make_shared<ClockObservers>();
};

} // namespace cicadalb
