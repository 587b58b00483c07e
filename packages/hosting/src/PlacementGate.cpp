#include "PlacementGate.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    /// From the answer of the store to the request at the engine, some ten actions follow each other, each of which may wait for the event loop.
    constexpr int consecutiveActions = 10;
    /// A call to the store whose answer is worked off in four actions fails if each of them waits for more than this share of the time.
    constexpr int noticeableDelayDivisor = 30;

    constexpr auto permissionNames = std::to_array<EnumName<PlacementPermission>>({
        { PlacementPermission::Granted, "granted" },
        { PlacementPermission::LoopIsLate, "loop-is-late" },
        { PlacementPermission::RecordsAreLate, "records-are-late" },
    });

} // namespace

std::string_view name(PlacementPermission permission) noexcept { return nameIn(permissionNames, permission); }

void PlacementGate::recordLoopDelay(Duration delay, TimePoint now) noexcept
{
    m_loopDelay = delay;
    if (delay > m_endTime / noticeableDelayDivisor)
        m_lateAt = now;
}

PlacementPermission PlacementGate::permission(std::optional<TimePoint> completeAsOf, TimePoint now) const noexcept
{
    if (m_endTime <= Duration::zero() || !completeAsOf)
        return PlacementPermission::Granted;
    if (m_loopDelay > m_endTime / consecutiveActions)
        return PlacementPermission::LoopIsLate;
    const bool isComplete = now - *completeAsOf <= m_endTime - recordInterval();
    const bool wasLate = m_lateAt && *m_lateAt >= *completeAsOf;
    return isComplete || !wasLate ? PlacementPermission::Granted : PlacementPermission::RecordsAreLate;
}

} // namespace cicadalb
