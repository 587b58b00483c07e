#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"

#include <map>
#include <vector>

/// @file
/// What generations show of the engines that run them.

namespace cicadalb {

/// @brief Latest known weight version and speed of engines. Values in, values out; not thread-safe.
/// A version counts for a few seconds only: an engine that gets no work would else never be seen with its new weights.
class EngineObservations {
public:
    /// @brief An engine labelled tokens with @p version. A lower version replaces a higher one: an engine may restart with older weights.
    void recordChunk(const TargetId&, WeightVersion version, TimePoint now);
    /// @brief An engine's own report, which lags: a younger chunk takes precedence.
    void recordReport(const TargetId&, WeightVersion version, TimePoint now);
    /// @brief A generation of @p tokens ran for @p elapsed.
    void recordRun(const TargetId&, unsigned tokens, Duration elapsed);

    /// @brief Engines known to hold weights older than @p oldest.
    std::vector<TargetId> enginesOlderThan(WeightVersion oldest, TimePoint now) const;
    /// @brief True if some engine may hold @p oldest or newer weights. Also true if nothing is known of any engine.
    bool mayHold(WeightVersion oldest, TimePoint now) const;
    /// @brief Engines known to be slower than @p tokensPerSecond.
    std::vector<TargetId> enginesSlowerThan(double tokensPerSecond) const;
    /// @brief Speed of the fastest engine other than @p except, or 0 if none is known.
    double bestSpeed(const TargetId& except) const;
    /// @brief Moving average of the generations' run times; zero if none has ended.
    Duration typicalRun() const noexcept { return m_typicalRun; }

private:
    struct Engine {
        WeightVersion version = 0;
        TimePoint versionSeen {};
        bool isFromChunk = false;
        /// Moving average; 0 if unknown.
        double tokensPerSecond = 0;
    };

    bool isKnownOlder(const Engine&, WeightVersion oldest, TimePoint now) const;

    std::map<TargetId, Engine> m_engines;
    Duration m_typicalRun {};
};

} // namespace cicadalb
