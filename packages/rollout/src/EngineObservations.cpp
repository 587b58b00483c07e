#include "cicadalb/rollout/EngineObservations.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using namespace std::chrono_literals;

    /// A version seen longer ago says nothing any more.
    constexpr Duration versionLifetime = 10s;
    /// Weight of the latest speed in the moving average.
    constexpr double speedGain = 0.2;
    /// Weight of the latest run time in the moving average over all engines.
    constexpr double runGain = 0.02;

} // namespace

void EngineObservations::recordChunk(const TargetId& id, WeightVersion version, TimePoint now)
{
    auto& engine = m_engines[id];
    engine.version = version;
    engine.versionSeen = now;
    engine.isFromChunk = true;
}

void EngineObservations::recordReport(const TargetId& id, WeightVersion version, TimePoint now)
{
    auto& engine = m_engines[id];
    if (engine.isFromChunk && now - engine.versionSeen <= versionLifetime)
        return;
    engine.version = version;
    engine.versionSeen = now;
    engine.isFromChunk = false;
}

void EngineObservations::recordRun(const TargetId& id, unsigned tokens, Duration elapsed)
{
    if (tokens == 0 || elapsed <= Duration::zero())
        return;
    const auto latest = tokens / std::chrono::duration<double>(elapsed).count();
    auto& speed = m_engines[id].tokensPerSecond;
    speed = speed == 0 ? latest : speed + speedGain * (latest - speed);
    const auto change = std::chrono::duration_cast<Duration>(runGain * (elapsed - m_typicalRun));
    m_typicalRun = m_typicalRun == Duration::zero() ? elapsed : m_typicalRun + change;
}

bool EngineObservations::isKnownOlder(const Engine& engine, WeightVersion oldest, TimePoint now) const
{
    return engine.version != 0 && engine.version < oldest && now - engine.versionSeen <= versionLifetime;
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

bool EngineObservations::mayHold(WeightVersion oldest, TimePoint now) const
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

double EngineObservations::bestSpeed(const TargetId& except) const
{
    double best = 0;
    for (const auto& [id, engine] : m_engines) {
        if (id != except)
            best = std::max(best, engine.tokensPerSecond);
    }
    return best;
}

} // namespace cicadalb
