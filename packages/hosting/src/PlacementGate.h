#pragma once

#include "cicadalb/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// When a coordinator may begin runs: only while it knows of all ends of submissions up to a short time ago.

namespace cicadalb {

enum class PlacementPermission : std::uint8_t { Granted,
    /// The event loop is behind: what has arrived is worked off late.
    LoopIsLate,
    /// The submissions have not been known to be complete for too long.
    RecordsAreLate };

std::string_view name(PlacementPermission) noexcept;

/// @brief Keeps a coordinator from beginning runs, and calls for their rewards, of submissions that may have ended in the meantime. Runs that have
/// begun go on. What makes the records old does not matter: the store may refuse this process while it serves the host that ends a submission.
class PlacementGate {
public:
    /// @param endTime longest time from the end of a submission to the last begin of one of its runs; zero: the gate is always open
    explicit PlacementGate(Duration endTime) noexcept
        : m_endTime(endTime)
    {
    }

    /// @brief Interval at which the submissions have to be known to be complete, or zero.
    Duration recordInterval() const noexcept { return m_endTime / 3; }
    /// @brief Longest time since the submissions were known to be complete. What is left of the end time is for the way to the target, and for a
    /// watch that reports no change although there are some, which the store permits for a moment before it drops its history.
    Duration maximumRecordAge() const noexcept { return m_endTime * 3 / 5; }
    /// @brief Time since the submissions were known to be complete from which the ends of the open ones are read, or zero: a watch whose answer is
    /// overdue is noticed before, and the read is answered before maximumRecordAge().
    Duration endCheckAge() const noexcept { return m_endTime / 2; }
    /// @brief Records how long the event loop took to get to an action that was ready.
    void recordLoopDelay(Duration delay) noexcept { m_loopDelay = delay; }
    /// @param completeAsOf time as of which the submissions are known to be complete; empty: they are not known
    PlacementPermission permission(std::optional<TimePoint> completeAsOf, TimePoint now) const noexcept;

    /// @brief The last recorded delay of the event loop.
    Duration loopDelay() const noexcept { return m_loopDelay; }

private:
    Duration m_endTime;
    Duration m_loopDelay {};
};

} // namespace cicadalb
