#pragma once

#include "cicadalb/base/Clock.h"

/// @file
/// Whether a second run of a sample on a faster engine is worth its tokens.

namespace cicadalb {

/// @brief A running generation as seen now.
struct RunningGeneration {
    unsigned tokens = 0;
    Duration elapsed {};
    Duration sinceProgress {};
};

/// @brief What is known of the lengths of a step's generations.
struct LengthEstimate {
    double medianTokens = 0;
    unsigned maximumTokens = 0;
};

/// @brief Expected course of a sample with and without a second run.
struct SecondRunEstimate {
    double remainingSeconds = 0;
    /// Slowest engine on which a second run pays, in tokens a second.
    double neededSpeed = 0;
    double secondRunSeconds = 0;
    /// Tokens that the losing run will have generated.
    double duplicatedTokens = 0;
    bool isWorthwhile = false;
};

/// @brief Estimates a second run on an engine of @p speed tokens a second.
/// Lengths are heavy-tailed: what remains is expected to be as long as what was generated, at least the median.
SecondRunEstimate estimateSecondRun(const RunningGeneration&, const LengthEstimate&, double speed);

} // namespace cicadalb
