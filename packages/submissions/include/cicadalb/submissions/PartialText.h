#pragma once

#include "cicadalb/base/SoftwareRelease.h"
#include "cicadalb/submissions/Submission.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

/// @file
/// Incomplete text of a sample.

namespace cicadalb {

/// @brief Text of a sample that was received so far.
struct PartialText {
    /// Data of all events, joined by newlines.
    std::string text;
    /// Id of the last event.
    std::optional<std::uint64_t> lastEventId;
    /// Number of events.
    std::size_t eventCount = 0;
    std::set<WeightVersion> versions;
    /// Software of the engines that generated the events; without a version if it is unknown or there is no event.
    SoftwareRelease release;

    void append(std::uint64_t eventId, std::string_view data, WeightVersion version);
};

struct ItemText {
    ItemId item;
    PartialText text;
};

} // namespace cicadalb
