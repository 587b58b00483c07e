#include "SpeedEstimate.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr double smallestGain = 1.0 / 32;
    /// A sample counts at most as so many times the estimate, once that rests on clippedFrom samples.
    constexpr double largestRatio = 4;
    constexpr unsigned clippedFrom = 8;
    constexpr std::chrono::seconds baselineWindow { 15 };
    /// Without samples the estimate stays for the first time, then moves towards the best one at the second time's pace.
    constexpr std::chrono::seconds trustedTime { 10 };
    constexpr double forgettingSeconds = 3;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void average(double& value, double sample, unsigned samples)
    {
        if (samples > clippedFrom)
            sample = std::min(sample, largestRatio * value);
        value += std::max(smallestGain, 1.0 / samples) * (sample - value);
    }

} // namespace

void SpeedEstimate::record(Duration latency, double crowding, TimePoint now)
{
    ++m_samples;
    average(m_serviceSeconds, seconds(latency) / std::max(crowding, 1.0), m_samples);
    average(m_latencySeconds, seconds(latency), m_samples);
    m_lastSample = now;
    if (m_samples >= clippedFrom)
        recordBaseline(now);
}

void SpeedEstimate::recordBaseline(TimePoint now)
{
    if (m_currentMinimum == 0 || now - m_windowStart > baselineWindow) {
        m_previousMinimum = m_currentMinimum;
        m_currentMinimum = m_latencySeconds;
        m_windowStart = now;
    }
    m_currentMinimum = std::min(m_currentMinimum, m_latencySeconds);
}

double SpeedEstimate::baselineSeconds() const noexcept
{
    if (m_previousMinimum == 0)
        return m_currentMinimum;
    return std::min(m_currentMinimum, m_previousMinimum);
}

double SpeedEstimate::agedServiceSeconds(double best, TimePoint now) const noexcept
{
    if (now - m_lastSample <= trustedTime)
        return m_serviceSeconds;
    const auto idle = seconds(now - m_lastSample - trustedTime);
    return best + (m_serviceSeconds - best) * forgettingSeconds / (forgettingSeconds + idle);
}

} // namespace cicadalb
