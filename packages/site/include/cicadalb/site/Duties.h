#pragma once

#include "cicadalb/base/Identifier.h"

#include <cstdint>
#include <map>
#include <string_view>

/// @file
/// Calls to the platform that one host at a time makes for the whole site.

namespace cicadalb {

/// @brief Host that has the duty, and its fencing number.
struct DutyHolder {
    HostId host;
    FencingNumber fence = 0;
};

/// @brief Requests of each organisation that began to run in one window of true time. Window k begins k window lengths after 1970.
struct UsageReport {
    std::uint64_t window = 0;
    std::map<OrganisationName, std::uint64_t> counts;
};

/// @brief Number of engines of one kind that a pool is to have in a failure domain.
struct CapacityOrder {
    PoolName pool;
    FailureDomain failureDomain;
    unsigned engines = 0;
    /// Whether the order concerns the engines that may be reclaimed.
    bool isReclaimable = false;
};

enum class DutyOutcome : std::uint8_t {
    Accepted,
    /// A holder with a higher fencing number has called, or no such engines are available.
    Refused,
    /// The call was not executed and may be repeated.
    NotExecuted,
    /// The call may have been executed, or may be executed later.
    Unknown,
};

std::string_view name(DutyOutcome) noexcept;

} // namespace cicadalb
