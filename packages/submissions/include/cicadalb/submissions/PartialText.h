#pragma once

#include "cicadalb/submissions/Submission.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

/// @file
/// Text of a sample that is not complete.

namespace cicadalb {

/// @brief Text of a sample that is known so far.
struct PartialText {
    std::string text;
    std::optional<std::uint64_t> lastEvent;
    std::size_t events = 0;
    std::set<WeightVersion> versions;

    void append(std::uint64_t event, std::string_view data, WeightVersion version);
};

struct ItemText {
    ItemId item;
    PartialText text;
};

} // namespace cicadalb
