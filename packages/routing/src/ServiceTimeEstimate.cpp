#include "ServiceTimeEstimate.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Weight of a new sample in the moving averages, once there are many samples.
    constexpr double minimumAverageWeight = 1.0 / 32;
    /// Once the estimate rests on warmUpSamples samples, a new sample is clipped to this many times the estimate.
    constexpr double maximumSampleRatio = 4;
    constexpr unsigned warmUpSamples = 8;
    constexpr std::chrono::seconds baselineWindow { 15 };
    /// Without new samples, the estimate holds for decayDelayServiceTimes service times, but at least for minimumDecayDelaySeconds. Then it
    /// decays, to one half after halvingTimeFraction of that delay.
    constexpr double decayDelayServiceTimes = 50;
    constexpr double minimumDecayDelaySeconds = 10;
    constexpr double halvingTimeFraction = 0.3;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void average(double& value, double sample, unsigned samples)
    {
        if (samples > warmUpSamples)
            sample = std::min(sample, maximumSampleRatio * value);
        value += std::max(minimumAverageWeight, 1.0 / samples) * (sample - value);
    }

} // namespace

void ServiceTimeEstimate::record(Duration latency, double queueingFactor, TimePoint now)
{
    ++m_samples;
    average(m_serviceSeconds, seconds(latency) / std::max(queueingFactor, 1.0), m_samples);
    average(m_latencySeconds, seconds(latency), m_samples);
    m_decayStart = now + std::chrono::duration_cast<Duration>(decayDelay());
    if (m_samples >= warmUpSamples)
        recordBaseline(now);
}

void ServiceTimeEstimate::recordBaseline(TimePoint now)
{
    if (m_currentMinimum == 0 || now - m_windowStart > baselineWindow) {
        m_previousMinimum = m_currentMinimum;
        m_currentMinimum = m_latencySeconds;
        m_windowStart = now;
    }
    m_currentMinimum = std::min(m_currentMinimum, m_latencySeconds);
}

double ServiceTimeEstimate::baselineSeconds() const noexcept
{
    if (m_previousMinimum == 0)
        return m_currentMinimum;
    return std::min(m_currentMinimum, m_previousMinimum);
}

double ServiceTimeEstimate::decayedServiceSeconds(TimePoint now) const noexcept
{
    if (now <= m_decayStart)
        return m_serviceSeconds;
    const std::chrono::duration<double> idle = now - m_decayStart;
    const auto halvingTime = halvingTimeFraction * decayDelay();
    return m_serviceSeconds * (halvingTime / (halvingTime + idle));
}

std::chrono::duration<double> ServiceTimeEstimate::decayDelay() const noexcept
{
    return std::chrono::duration<double>(std::max(minimumDecayDelaySeconds, decayDelayServiceTimes * m_serviceSeconds));
}

} // namespace cicadalb
