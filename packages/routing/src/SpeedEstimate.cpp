#include "SpeedEstimate.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr double smallestGain = 1.0 / 32;
    /// A sample counts at most as so many times the estimate, once that rests on clippedFrom samples.
    constexpr double largestRatio = 4;
    constexpr unsigned clippedFrom = 8;
    constexpr std::chrono::seconds baselineWindow { 15 };
    /// Without samples the estimate is trusted for so many service times, but not less than the second; then it falls, by half
    /// after forgettingPart of that time.
    constexpr double trustedServices = 50;
    constexpr double shortestTrustedSeconds = 10;
    constexpr double forgettingPart = 0.3;

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
    m_trustedUntil = now + std::chrono::duration_cast<Duration>(trustedTime());
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

double SpeedEstimate::agedServiceSeconds(TimePoint now) const noexcept
{
    if (now <= m_trustedUntil)
        return m_serviceSeconds;
    const std::chrono::duration<double> idle = now - m_trustedUntil;
    const auto forgetting = forgettingPart * trustedTime();
    return m_serviceSeconds * (forgetting / (forgetting + idle));
}

std::chrono::duration<double> SpeedEstimate::trustedTime() const noexcept
{
    return std::chrono::duration<double>(std::max(shortestTrustedSeconds, trustedServices * m_serviceSeconds));
}

} // namespace cicadalb
