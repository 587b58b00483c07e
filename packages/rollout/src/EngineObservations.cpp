#include "cicadalb/rollout/EngineObservations.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using namespace std::chrono_literals;

    /// A version seen longer ago than this has expired.
    constexpr Duration versionLifetime = 10s;
    /// Weight of the latest speed in the exponential moving average.
    constexpr double speedSmoothingFactor = 0.2;
    /// Weight of the latest run time in the exponential moving average over all engines.
    constexpr double runTimeSmoothingFactor = 0.02;

} // namespace

void EngineObservations::recordChunk(const TargetId& id, WeightVersion version, TimePoint now)
{
    auto& engine = m_engines[id];
    engine.version = version;
    engine.versionSeenAt = now;
    engine.isFromChunk = true;
}

void EngineObservations::recordReport(const TargetId& id, WeightVersion version, TimePoint now)
{
    auto& engine = m_engines[id];
    if (engine.isFromChunk && now - engine.versionSeenAt <= versionLifetime)
        return;
    engine.version = version;
    engine.versionSeenAt = now;
    engine.isFromChunk = false;
}

void EngineObservations::recordRun(const TargetId& id, unsigned tokens, Duration elapsed)
{
    if (tokens == 0 || elapsed <= Duration::zero())
        return;
    const auto latest = tokens / std::chrono::duration<double>(elapsed).count();
    auto& speed = m_engines[id].tokensPerSecond;
    speed = speed == 0 ? latest : speed + speedSmoothingFactor * (latest - speed);
    const auto change = std::chrono::duration_cast<Duration>(runTimeSmoothingFactor * (elapsed - m_averageRunTime));
    m_averageRunTime = m_averageRunTime == Duration::zero() ? elapsed : m_averageRunTime + change;
}

bool EngineObservations::isKnownOlder(const Engine& engine, WeightVersion oldest, TimePoint now) const
{
    return engine.version != 0 && engine.version < oldest && now - engine.versionSeenAt <= versionLifetime;
}

std::vector<TargetId> EngineObservations::enginesOlderThan(WeightVersion oldest, TimePoint now) const
{
    std::vector<TargetId> older;
    for (const auto& [id, engine] : m_engines) {
        if (isKnownOlder(engine, oldest, now))
            older.push_back(id);
    }
    return older;
}

bool EngineObservations::anyMayHold(WeightVersion oldest, TimePoint now) const
{
    return m_engines.empty()
        || std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& entry) { return !isKnownOlder(entry.second, oldest, now); });
}

std::vector<TargetId> EngineObservations::enginesSlowerThan(double tokensPerSecond) const
{
    std::vector<TargetId> slower;
    for (const auto& [id, engine] : m_engines) {
        if (engine.tokensPerSecond != 0 && engine.tokensPerSecond < tokensPerSecond)
            slower.push_back(id);
    }
    return slower;
}

double EngineObservations::highestSpeed(const TargetId& excluded) const
{
    double best = 0;
    for (const auto& [id, engine] : m_engines) {
        if (id != excluded)
            best = std::max(best, engine.tokensPerSecond);
    }
    return best;
}

} // namespace cicadalb
