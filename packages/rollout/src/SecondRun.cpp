#include "SecondRun.h"

#include <algorithm>
#include <limits>

namespace cicadalb {

namespace {

    using namespace std::chrono_literals;
    using Seconds = std::chrono::duration<double>;

    /// A generation without a new token for longer than this counts as stalled.
    constexpr Duration stallTimeout = 3s;
    /// A second run is worthwhile if it is expected to take less than this fraction of the first run's remaining time.
    constexpr double worthwhileTimeFraction = 0.8;

} // namespace

SecondRunEstimate estimateSecondRun(const RunningGeneration& running, const LengthEstimate& lengths, double speed)
{
    SecondRunEstimate estimate;
    if (speed <= 0 || running.elapsed <= Duration::zero())
        return estimate;
    const double tokens = running.tokens;
    const auto tokensLeft = std::max(0.0, lengths.maximumTokens - tokens);
    const auto remainingTokens = std::min(tokensLeft, std::max(tokens, lengths.medianTokens));
    const bool isStalled = running.sinceProgress > stallTimeout;
    const auto firstRunSpeed = isStalled ? 0 : tokens / Seconds(running.elapsed).count();

    estimate.secondRunSeconds = (tokens + remainingTokens) / speed;
    estimate.remainingSeconds = firstRunSpeed > 0 ? remainingTokens / firstRunSpeed : std::numeric_limits<double>::infinity();
    if (running.sinceProgress <= stallTimeout && firstRunSpeed == 0)
        return estimate;
    estimate.minimumSpeed = isStalled ? 0 : (tokens + remainingTokens) / (worthwhileTimeFraction * estimate.remainingSeconds);
    // The first run is cancelled as soon as the second run has overtaken it.
    const auto overtakenSeconds = speed > firstRunSpeed ? tokens / (speed - firstRunSpeed) : estimate.secondRunSeconds;
    estimate.duplicatedTokens = tokens + firstRunSpeed * std::min(overtakenSeconds, estimate.secondRunSeconds);
    estimate.isWorthwhile = estimate.secondRunSeconds < worthwhileTimeFraction * estimate.remainingSeconds;
    return estimate;
}

} // namespace cicadalb
