#pragma once

#include "cicadalb/base/Clock.h"

#include <cmath>

/// @file
/// Exponentially weighted average of the rate of events.

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
        m_decayedCount += 1;
    }

    /// @brief Events per second.
    double perSecond(TimePoint now)
    {
        decay(now);
        // Corrects for the time before the start, which the average does not cover.
        const auto coveredFraction = 1 - std::exp(-seconds(now - m_start) / timeConstantSeconds);
        return coveredFraction > 0 ? m_decayedCount / (timeConstantSeconds * coveredFraction) : 0;
    }

private:
    static constexpr double timeConstantSeconds = 4;

    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    void decay(TimePoint now)
    {
        m_decayedCount *= std::exp(-seconds(now - m_updatedAt) / timeConstantSeconds);
        m_updatedAt = now;
    }

    double m_decayedCount = 0;
    TimePoint m_start;
    TimePoint m_updatedAt;
};

} // namespace cicadalb
