#include "SecondRun.h"

#include <algorithm>
#include <limits>

namespace cicadalb {

namespace {

    using namespace std::chrono_literals;
    using Seconds = std::chrono::duration<double>;

    /// A generation without a token for so long is taken for stalled.
    constexpr Duration stallTimeout = 3s;
    /// A second run must be expected to end within this part of the first run's remaining time.
    constexpr double worthwhileShare = 0.8;

} // namespace

SecondRunEstimate estimateSecondRun(const RunningGeneration& running, const LengthEstimate& lengths, double speed)
{
    SecondRunEstimate estimate;
    if (speed <= 0 || running.elapsed <= Duration::zero())
        return estimate;
    const double tokens = running.tokens;
    const auto left = std::max(0.0, lengths.maximumTokens - tokens);
    const auto remainingTokens = std::min(left, std::max(tokens, lengths.medianTokens));
    const bool isStalled = running.sinceProgress > stallTimeout;
    const auto ownSpeed = isStalled ? 0 : tokens / Seconds(running.elapsed).count();

    estimate.secondRunSeconds = (tokens + remainingTokens) / speed;
    estimate.remainingSeconds = ownSpeed > 0 ? remainingTokens / ownSpeed : std::numeric_limits<double>::infinity();
    if (running.sinceProgress <= stallTimeout && ownSpeed == 0)
        return estimate;
    estimate.neededSpeed = isStalled ? 0 : (tokens + remainingTokens) / (worthwhileShare * estimate.remainingSeconds);
    // The first run ends when it is overtaken.
    const auto overtakenSeconds = speed > ownSpeed ? tokens / (speed - ownSpeed) : estimate.secondRunSeconds;
    estimate.duplicatedTokens = tokens + ownSpeed * std::min(overtakenSeconds, estimate.secondRunSeconds);
    estimate.isWorthwhile = estimate.secondRunSeconds < worthwhileShare * estimate.remainingSeconds;
    return estimate;
}

} // namespace cicadalb
