#pragma once

#include "cicadalb/base/Clock.h"

#include <optional>

/// @file
/// How fast an engine generates now and usually: see docs/design/uneven-engines.md.

namespace cicadalb {

/// @brief Time per event of an engine, over the last quarter of a second of its work and over the last seconds. Load: engines that differ in speed by
/// 2.5 and of which some turn several times slower for seconds, while texts need most of the time that is left for them. A change is seen
/// within half a second, with one run on the engine as with many.
class EnginePace {
public:
    /// An engine is slow now if its time per event, relative to its usual one, is above that of the other engines by more than this factor.
    static constexpr double slowRatio = 1.8;

    bool isMeasured() const noexcept { return m_recent > 0; }
    /// @brief Time per event now. @pre isMeasured()
    double secondsPerEvent() const noexcept { return m_recent; }
    bool isSlowNow() const noexcept { return m_slowSince.has_value(); }
    /// @brief Time per event relative to the usual one. @pre isMeasured()
    double ratio() const noexcept { return m_recent / m_usual; }

    /// @brief Records an event that came @p elapsed seconds after the previous one of its run, with @p runs runs on the engine.
    void onEvent(double elapsed, unsigned runs, TimePoint now);
    /// @brief Compares the engine to the others and forgets a slowness that nothing measures any more. To be called several times a second.
    /// @param usualRatio the median ratio of all engines, which rises and falls with their load
    void update(double usualRatio, unsigned runs, TimePoint now);

    /// @brief Time that a run needs for some events. A slowness is expected to last as long again as it has lasted, so that a pause of some tenths of
    /// a second changes little. @pre isMeasured()
    double secondsFor(double events, TimePoint now) const;
    /// @brief The part of secondsFor() that is due to a present slowness. @pre isMeasured()
    double secondsLost(double events, TimePoint now) const;

private:
    double m_recent = 0;
    double m_usual = 0;
    /// Ratio of the other engines, as of the last update.
    double m_usualRatio = 1;
    std::optional<TimePoint> m_slowSince;
    TimePoint m_lastEventAt;
    TimePoint m_updatedAt;
};

} // namespace cicadalb
