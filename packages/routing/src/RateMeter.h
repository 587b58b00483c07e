#pragma once

#include "cicadalb/base/Clock.h"

#include <cmath>

/// @file
/// Rate of events, averaged over the last seconds.

namespace cicadalb {

class RateMeter {
public:
    explicit RateMeter(TimePoint start)
        : m_start(start)
        , m_updatedAt(start)
    {
    }

    void record(TimePoint now)
    {
        decay(now);
        m_weight += 1;
    }

    /// @brief Events a second.
    double perSecond(TimePoint now)
    {
        decay(now);
        const auto covered = 1 - std::exp(-seconds(now - m_start) / averagingSeconds);
        return covered > 0 ? m_weight / (averagingSeconds * covered) : 0;
    }

private:
    static constexpr double averagingSeconds = 4;

    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    void decay(TimePoint now)
    {
        m_weight *= std::exp(-seconds(now - m_updatedAt) / averagingSeconds);
        m_updatedAt = now;
    }

    double m_weight = 0;
    TimePoint m_start;
    TimePoint m_updatedAt;
};

} // namespace cicadalb
