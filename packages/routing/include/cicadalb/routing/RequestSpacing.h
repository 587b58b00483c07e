#pragma once

#include "cicadalb/base/Clock.h"

#include <optional>

/// @file
/// Even spacing of requests in time.

namespace cicadalb {

/// @brief Spaces requests at a fixed interval (generic cell rate algorithm). The first request is due one interval after the start. Unused time is kept
/// for up to maximumUnusedTime, so that short intervals allow small bursts. Does no I/O and reads no clock.
class RequestSpacing {
public:
    static constexpr std::chrono::milliseconds maximumUnusedTime { 500 };

    RequestSpacing(Duration interval, TimePoint now) noexcept
        : m_interval(interval)
        , m_nextAt(now + interval)
    {
    }

    /// @brief Changes the interval. A next request that is due later than one new interval from now is moved forward to that time.
    void setInterval(Duration, TimePoint now) noexcept;
    /// @brief Reserves the next time for a request. @return how long the request has to wait, or nothing if that is more than @p maximumWait
    std::optional<Duration> reserve(Duration maximumWait, TimePoint now) noexcept;
    /// @brief Counts a request that was sent without a reservation.
    void record(TimePoint now) noexcept;
    /// @brief Time until the next request is due; zero if it is due now.
    Duration untilNext(TimePoint now) const noexcept;
    Duration interval() const noexcept { return m_interval; }

private:
    Duration m_interval;
    TimePoint m_nextAt;
};

} // namespace cicadalb
