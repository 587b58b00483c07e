#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"

#include <map>
#include <vector>

/// @file
/// Weight versions and speeds of engines, as seen in their generations and reports.

namespace cicadalb {

/// @brief Latest known weight version and speed of engines. Performs no I/O and reads no clock. Not thread-safe.
/// A version expires after a few seconds: otherwise an engine excluded for its old version would get no work that shows its new one.
class EngineObservations {
public:
    /// @brief Records that an engine labelled tokens with @p version. A lower version replaces a higher one: an engine may restart with older weights.
    void recordChunk(const TargetId&, WeightVersion version, TimePoint now);
    /// @brief Records an engine's own report, which lags: it is ignored until the version of the engine's latest chunk has expired.
    void recordReport(const TargetId&, WeightVersion version, TimePoint now);
    /// @brief Records that a generation of @p tokens ran for @p elapsed.
    void recordRun(const TargetId&, unsigned tokens, Duration elapsed);

    /// @brief Engines known to hold weights older than @p oldest.
    std::vector<TargetId> enginesOlderThan(WeightVersion oldest, TimePoint now) const;
    /// @brief True if some engine may hold version @p oldest or newer. Also true if nothing is known of any engine.
    bool anyMayHold(WeightVersion oldest, TimePoint now) const;
    /// @brief Engines known to be slower than @p tokensPerSecond.
    std::vector<TargetId> enginesSlowerThan(double tokensPerSecond) const;
    /// @brief Speed of the fastest engine other than @p excluded in tokens per second; 0 if none is known.
    double highestSpeed(const TargetId& excluded) const;
    /// @brief Exponential moving average of the generations' run times on all engines; zero if none has ended.
    Duration averageRunTime() const noexcept { return m_averageRunTime; }

private:
    struct Engine {
        WeightVersion version = 0;
        TimePoint versionSeenAt {};
        bool isFromChunk = false;
        /// Exponential moving average; 0 if unknown.
        double tokensPerSecond = 0;
    };

    bool isKnownOlder(const Engine&, WeightVersion oldest, TimePoint now) const;

    std::map<TargetId, Engine> m_engines;
    Duration m_averageRunTime {};
};

} // namespace cicadalb
