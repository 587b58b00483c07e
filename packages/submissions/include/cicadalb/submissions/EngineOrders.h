#pragma once

#include "cicadalb/submissions/Submission.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// @file
/// Status reports of engines, and the orders to load weights that are sent to them.

namespace cicadalb {

/// @brief Status that an engine reports about itself; it is some hundred milliseconds old.
struct EngineReport {
    /// Loaded weight version of each model.
    std::map<std::string, WeightVersion> models;
    bool isLoading = false;
    /// Orders that the engine has accepted since its start.
    std::uint64_t acceptedOrders = 0;
    unsigned running = 0;
    unsigned waiting = 0;
};

/// @brief What happens to an engine's runs when its weights change.
enum class LoadMode : std::uint8_t {
    /// The load waits until the runs have ended.
    Hold,
    /// The streams of the runs are reset.
    Truncate,
    /// The runs continue with the new version.
    Continue,
};

/// @brief Order to an engine to load a version of a model's weights.
struct LoadOrder {
    TargetId engine;
    ModelName model;
    WeightVersion version = 0;
    LoadMode mode = LoadMode::Continue;
    /// Host that sends the order and holds the lease.
    HostId holder;
    FencingNumber fence = 0;
    /// Expected number of orders accepted so far; the engine refuses the order if its own count differs.
    std::uint64_t expectedAcceptedOrders = 0;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    AlreadyHolds,
    /// Another order is being executed, or the number of accepted orders differs.
    Busy,
    /// The engine has received an order with a higher fencing number.
    Fenced,
    /// Another target has the address now.
    Misdirected,
    Refused,
};

std::string_view name(OrderOutcome) noexcept;

} // namespace cicadalb
