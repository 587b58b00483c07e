#pragma once

#include "cicadalb/submissions/Submission.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// @file
/// What engines report of themselves, and the orders that they are given.

namespace cicadalb {

/// @brief An engine's own report; some hundred milliseconds old.
struct EngineReport {
    std::map<std::string, WeightVersion> models;
    bool isLoading = false;
    /// Orders that it has accepted since its start.
    std::uint64_t acceptedOrders = 0;
    unsigned running = 0;
    unsigned waiting = 0;
};

/// @brief What becomes of an engine's runs when its weights change.
enum class LoadMode : std::uint8_t {
    /// The load waits for them.
    Hold,
    /// Their streams are reset.
    Truncate,
    /// They go on under the new version.
    Continue,
};

struct LoadOrder {
    TargetId engine;
    ModelName model;
    WeightVersion version = 0;
    LoadMode mode = LoadMode::Continue;
    HostId holder;
    FencingNumber fence = 0;
    /// The engine refuses the order if it has accepted another number of orders.
    std::uint64_t acceptedOrders = 0;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    AlreadyHolds,
    /// Another order runs, or the number of accepted orders differs.
    Busy,
    /// A holder with a higher fencing number has given orders.
    Fenced,
    Misdirected,
    Refused,
};

std::string_view name(OrderOutcome) noexcept;

} // namespace cicadalb
