#pragma once

#include "cicadalb/base/Clock.h"

/// @file
/// Estimates whether a second run of a sample on a faster engine (a hedged request) is worth its tokens.

namespace cicadalb {

/// @brief Current state of a running generation.
struct RunningGeneration {
    unsigned tokens = 0;
    Duration elapsed {};
    Duration sinceProgress {};
};

/// @brief Known lengths of a step's generations.
struct LengthEstimate {
    double medianTokens = 0;
    unsigned maximumTokens = 0;
};

/// @brief Expected course of a sample with and without a second run.
struct SecondRunEstimate {
    double remainingSeconds = 0;
    /// Lowest engine speed at which a second run is worthwhile, in tokens per second.
    double minimumSpeed = 0;
    double secondRunSeconds = 0;
    /// Tokens that the losing run will have generated.
    double duplicatedTokens = 0;
    bool isWorthwhile = false;
};

/// @brief Estimates a second run on an engine that generates @p speed tokens per second.
/// Lengths are heavy-tailed: as many tokens are expected to remain as were generated so far, at least the median, up to the maximum length.
SecondRunEstimate estimateSecondRun(const RunningGeneration&, const LengthEstimate&, double speed);

} // namespace cicadalb
