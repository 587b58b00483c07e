#pragma once

#include "cicadalb/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// When a coordinator may begin runs. Load: more work than its processor can follow, so that it learns late that a submission has ended.

namespace cicadalb {

enum class PlacementPermission : std::uint8_t { Granted,
    /// The event loop is behind: what has arrived is worked off late.
    LoopIsLate,
    /// The event loop was behind, and the submissions are not known to be up to date since.
    RecordsAreLate };

std::string_view name(PlacementPermission) noexcept;

/// @brief Keeps a coordinator that is behind from beginning runs of submissions that may have ended in the meantime. Runs that have begun go on.
/// A store that does not answer is no reason to wait as long as this process is in time: nobody can end a submission without the store.
class PlacementGate {
public:
    /// @param endTime longest time from the end of a submission to the last begin of one of its runs; zero: the gate is always open
    explicit PlacementGate(Duration endTime) noexcept
        : m_endTime(endTime)
    {
    }

    /// @brief Interval at which the submissions have to be known to be complete, or zero.
    Duration recordInterval() const noexcept { return m_endTime / 3; }
    /// @brief Records how long the event loop took to get to an action that was ready.
    void recordLoopDelay(Duration, TimePoint now) noexcept;
    /// @param completeAsOf time as of which the submissions are known to be complete
    PlacementPermission permission(std::optional<TimePoint> completeAsOf, TimePoint now) const noexcept;

    /// @brief The last recorded delay of the event loop.
    Duration loopDelay() const noexcept { return m_loopDelay; }

private:
    Duration m_endTime;
    Duration m_loopDelay {};
    std::optional<TimePoint> m_lateAt;
};

} // namespace cicadalb
