#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/rollout/Step.h"

#include <boost/dynamic_bitset.hpp>

#include <string>
#include <string_view>

/// @file
/// A trainer's delivery state of one step. The trainer sends it with each pull; coordinators keep no record of deliveries.

namespace cicadalb {

/// @brief One bit for each sample of a step.
using SampleBitmap = boost::dynamic_bitset<std::uint8_t>;

/// @brief What a trainer has received. Each accepted batch and each new weight version replaces it by one with the next number.
struct StepCursor {
    StepNumber step = 0;
    /// Number of this state; the trainer accepts only batches that answer its current one.
    CursorNumber number = 0;
    SampleBitmap received;
    /// The trainer's current weight version, against which staleness is judged.
    WeightVersion weightVersion = 0;
    bool operator==(const StepCursor&) const = default;
};

/// @brief Lower-case hex of the bitmap, first sample in the lowest bit of the first byte.
std::string toHex(const SampleBitmap&);

/// @brief Reads a bitmap of @p size bits. Errors: CursorInvalid.
Result<SampleBitmap> bitmapFromHex(std::string_view hex, std::size_t size);

} // namespace cicadalb
