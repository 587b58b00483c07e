#include "cicadalb/submissions/EnginePace.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Work of the engine over which its present and its usual time per event are averaged.
    constexpr double recentSeconds = 0.25;
    constexpr double usualSeconds = 10;
    /// An engine without runs approaches its usual speed in this time: it has to be tried again.
    constexpr double forgettingSeconds = 2;
    /// A slowness that has lasted for so long is usual.
    constexpr Seconds longestSlowness { 20 };
    /// A slowness that was just seen has lasted for at least this long.
    constexpr double shortestSlowness = 0.25;

    double weightOf(double elapsed, unsigned runs, double window)
    {
        const auto share = elapsed / (std::max(1U, runs) * window);
        return share / (1 + share);
    }

} // namespace

void EnginePace::onEvent(double elapsed, unsigned runs, TimePoint now)
{
    m_lastEventAt = now;
    if (!isMeasured()) {
        m_recent = m_usual = elapsed;
        return;
    }
    m_recent += weightOf(elapsed, runs, recentSeconds) * (elapsed - m_recent);
    if (!m_slowSince)
        m_usual += weightOf(elapsed, runs, usualSeconds) * (elapsed - m_usual);
}

void EnginePace::update(double usualRatio, unsigned runs, TimePoint now)
{
    const auto sinceUpdate = Seconds(now - std::max(m_updatedAt, m_lastEventAt)).count();
    m_updatedAt = now;
    if (!isMeasured())
        return;
    m_usualRatio = usualRatio;
    if (runs == 0)
        m_recent += std::clamp(sinceUpdate / forgettingSeconds, 0.0, 1.0) * (m_usual - m_recent);
    if (ratio() <= slowRatio * usualRatio) {
        m_slowSince.reset();
    } else if (!m_slowSince) {
        m_slowSince = now;
    } else if (now - *m_slowSince > longestSlowness) {
        m_usual = m_recent;
        m_slowSince.reset();
    }
}

double EnginePace::secondsFor(double events, TimePoint now) const
{
    return events * m_recent - (m_slowSince ? events * m_recent - secondsLost(events, now) - events * m_usual * m_usualRatio : 0);
}

double EnginePace::secondsLost(double events, TimePoint now) const
{
    if (!m_slowSince)
        return 0;
    const auto slowFor = std::min(events * m_recent, std::max(shortestSlowness, Seconds(now - *m_slowSince).count()));
    return slowFor * (1 - std::min(1.0, m_usual * m_usualRatio / m_recent));
}

} // namespace cicadalb
