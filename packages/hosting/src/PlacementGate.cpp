#include "PlacementGate.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    /// From the answer of the store to the request at the engine, some ten actions follow each other, each of which may wait for the event loop.
    constexpr int consecutiveActions = 10;

    constexpr auto permissionNames = std::to_array<EnumName<PlacementPermission>>({
        { PlacementPermission::Granted, "granted" },
        { PlacementPermission::LoopIsLate, "loop-is-late" },
        { PlacementPermission::RecordsAreLate, "records-are-late" },
    });

} // namespace

std::string_view name(PlacementPermission permission) noexcept { return nameIn(permissionNames, permission); }

PlacementPermission PlacementGate::permission(std::optional<TimePoint> completeAsOf, TimePoint now) const noexcept
{
    if (m_endTime <= Duration::zero())
        return PlacementPermission::Granted;
    if (m_loopDelay > m_endTime / consecutiveActions)
        return PlacementPermission::LoopIsLate;
    const bool isComplete = completeAsOf && now - *completeAsOf <= maximumRecordAge();
    return isComplete ? PlacementPermission::Granted : PlacementPermission::RecordsAreLate;
}

} // namespace cicadalb
