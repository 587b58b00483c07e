#pragma once

#include <atomic>
#include <chrono>

/// @file
/// An interface to the steady clock, so that tests can stop and advance it.

namespace cicadalb {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// @brief Source of steady time. Thread-safe.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const noexcept = 0;
};

/// @brief The clock std::chrono::steady_clock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const noexcept override { return std::chrono::steady_clock::now(); }
};

/// @brief A clock that stands still until it is advanced.
class ManualClock final : public Clock {
public:
    TimePoint now() const noexcept override { return TimePoint(Duration(m_ticks.load())); }
    void advance(Duration by) noexcept { m_ticks += by.count(); }

private:
    std::atomic<Duration::rep> m_ticks { Duration(std::chrono::hours(1)).count() };
};

} // namespace cicadalb
