#include "PickStrategy.h"

#include "cicadalb/base/EnumTable.h"
#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cicadalb {

namespace {

    constexpr auto policyNames = std::to_array<EnumName<PickPolicy>>({
        { PickPolicy::LeastDelay, "least-delay" },
        { PickPolicy::TwoChoices, "two-choices" },
        { PickPolicy::LeastInFlight, "least-in-flight" },
        { PickPolicy::RoundRobin, "round-robin" },
        { PickPolicy::UniformRandom, "random" },
    });

    /// Factor on the delay of a target in another failure domain, on top of the latency that is measured anyway.
    constexpr double foreignDomainFactor = 1.02;
    /// A target with the wanted affinity may be so many times slower than the best one.
    constexpr double affinityPatience = 2;

    std::size_t randomCandidate(const PickContext& context)
    {
        return context.candidates[randomIndex(context.random, context.candidates.size())];
    }

    std::optional<std::size_t> pickRandom(const PickContext& context)
    {
        return randomCandidate(context);
    }

    std::optional<std::size_t> pickRoundRobin(const PickContext& context)
    {
        return context.candidates[context.turn % context.candidates.size()];
    }

    std::optional<std::size_t> pickTwoChoices(const PickContext& context)
    {
        const auto first = randomCandidate(context);
        const auto second = randomCandidate(context);
        return context.targets[first].inFlight <= context.targets[second].inFlight ? first : second;
    }

    std::optional<std::size_t> pickLeastInFlight(const PickContext& context)
    {
        // Starts at a random candidate, so that equal ones share the work.
        const auto size = context.candidates.size();
        const auto start = randomIndex(context.random, size);
        auto best = context.candidates[start];
        for (std::size_t i = 1; i < size; ++i) {
            const auto index = context.candidates[(start + i) % size];
            if (context.targets[index].inFlight < context.targets[best].inFlight)
                best = index;
        }
        return best;
    }

    /// The two targets that an affinity hash prefers, by rendezvous.
    std::pair<std::optional<std::size_t>, std::optional<std::size_t>> affineTargets(const PickContext& context)
    {
        std::optional<std::size_t> first;
        std::optional<std::size_t> second;
        std::uint64_t firstScore = 0;
        std::uint64_t secondScore = 0;
        const auto affinity = *context.demand.affinity;
        for (const auto index : context.serving) {
            const auto score = placementHash({ reinterpret_cast<const char*>(&affinity), sizeof affinity }, context.targets[index].seed);
            if (!first || score > firstScore) {
                second = std::exchange(first, index);
                secondScore = std::exchange(firstScore, score);
            } else if (!second || score > secondScore) {
                second = index;
                secondScore = score;
            }
        }
        return { first, second };
    }

    /// Candidates and their delays, as pickLeastDelay needs them.
    struct DelayScan {
        std::optional<std::size_t> best;
        double bestDelay = std::numeric_limits<double>::infinity();
        /// Least delay of all serving targets, also of those without room.
        double leastDelay = std::numeric_limits<double>::infinity();
    };

    DelayScan scanDelays(const PickContext& context, double bestService)
    {
        DelayScan scan;
        const auto size = context.serving.size();
        const auto start = randomIndex(context.random, size);
        for (std::size_t i = 0; i < size; ++i) {
            const auto index = context.serving[start + i < size ? start + i : start + i - size];
            const auto& target = context.targets[index];
            const auto delay = expectedDelay(target, context.ownFailureDomain, bestService, context.now);
            scan.leastDelay = std::min(scan.leastDelay, delay);
            if (delay < scan.bestDelay && target.hasRoom(context.now)) {
                scan.bestDelay = delay;
                scan.best = index;
            }
        }
        return scan;
    }

    std::optional<std::size_t> pickAffine(const PickContext& context, double bestService, double leastDelay)
    {
        const auto secondsLeft = std::chrono::duration<double>(context.demand.deadline - context.now).count();
        const auto [first, second] = affineTargets(context);
        for (const auto index : { first, second }) {
            if (!index || !context.targets[*index].hasRoom(context.now))
                continue;
            const auto delay = expectedDelay(context.targets[*index], context.ownFailureDomain, bestService, context.now);
            if (delay <= affinityPatience * leastDelay && delay <= secondsLeft)
                return index;
        }
        return std::nullopt;
    }

    /// Expected seconds until one of the faster targets without room has answered the request, if it waits for that.
    double delayByWaiting(const PickContext& context, const DelayScan& scan, double bestService)
    {
        double freedPerSecond = 0;
        for (const auto index : context.serving) {
            const auto& target = context.targets[index];
            const auto latency = target.speed.latencySeconds();
            if (latency <= 0 || target.hasRoom(context.now))
                continue;
            if (expectedDelay(target, context.ownFailureDomain, bestService, context.now) < scan.bestDelay)
                freedPerSecond += target.inFlight / latency;
        }
        return scan.leastDelay + static_cast<double>(context.waiting + 1) / freedPerSecond;
    }

    std::optional<std::size_t> pickLeastDelay(const PickContext& context)
    {
        const auto bestService = bestServiceSeconds(context.targets, context.serving);
        const auto scan = scanDelays(context, bestService);
        if (context.demand.affinity) {
            if (const auto affine = pickAffine(context, bestService, scan.leastDelay))
                return affine;
        }
        if (scan.bestDelay > scan.leastDelay && scan.bestDelay > delayByWaiting(context, scan, bestService))
            return std::nullopt;
        return scan.best;
    }

    constexpr std::array<PickStrategy, 5> strategies = { {
        { PickPolicy::LeastDelay, pickLeastDelay, true },
        { PickPolicy::TwoChoices, pickTwoChoices, false },
        { PickPolicy::LeastInFlight, pickLeastInFlight, false },
        { PickPolicy::RoundRobin, pickRoundRobin, false },
        { PickPolicy::UniformRandom, pickRandom, false },
    } };

} // namespace

std::string_view name(PickPolicy policy) noexcept
{
    return nameIn(policyNames, policy);
}

const PickStrategy& pickStrategy(PickPolicy policy)
{
    return *std::find_if(strategies.begin(), strategies.end(), [policy](const auto& row) { return row.policy == policy; });
}

double expectedDelay(const TargetState& target, const FailureDomain& own, double bestServiceSeconds, TimePoint now)
{
    const auto service = target.speed.isKnown() ? target.speed.agedServiceSeconds(bestServiceSeconds, now) : bestServiceSeconds;
    return service * target.crowding(now) * (target.target.failureDomain == own ? 1 : foreignDomainFactor);
}

double bestServiceSeconds(const std::vector<TargetState>& targets, const std::vector<std::size_t>& indexes)
{
    double best = 0;
    for (const auto index : indexes) {
        const auto& speed = targets[index].speed;
        if (speed.isKnown() && (best == 0 || speed.serviceSeconds() < best))
            best = speed.serviceSeconds();
    }
    return best;
}

} // namespace cicadalb
