#include "PickStrategy.h"

#include "cicadalb/base/EnumTable.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <array>
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

    /// A target preferred by affinity may have up to this many times the cost of the best target.
    constexpr double maximumAffinityCostRatio = 2;

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
        return context.candidates[context.pickCount % context.candidates.size()];
    }

    std::optional<std::size_t> pickTwoChoices(const PickContext& context)
    {
        const auto first = randomCandidate(context);
        const auto second = randomCandidate(context);
        return context.targets[first].inFlight <= context.targets[second].inFlight ? first : second;
    }

    std::optional<std::size_t> pickLeastInFlight(const PickContext& context)
    {
        // Starts at a random candidate, so that candidates with equal load are picked equally often.
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

    /// A target with its rendezvous score for an affinity hash.
    struct RankedTarget {
        std::size_t index = 0;
        std::uint64_t score = 0;
        bool hasFreeSlot = false;
    };

    /// The two targets with the highest rendezvous scores for an affinity hash, best first.
    using PreferredTargets = std::array<RankedTarget, 2>;

    std::uint64_t rendezvousScore(std::uint64_t affinity, std::uint64_t seed)
    {
        std::size_t score = seed;
        boost::hash_combine(score, affinity);
        return score;
    }

    void insertIfBetter(PreferredTargets& best, const RankedTarget& target)
    {
        if (target.score > best[0].score)
            best[1] = std::exchange(best[0], target);
        else if (target.score > best[1].score)
            best[1] = target;
    }

    PreferredTargets preferredTargets(const PickContext& context)
    {
        PreferredTargets best;
        const auto affinity = *context.requirements.affinity;
        for (const auto index : context.candidates)
            insertIfBetter(best, { index, rendezvousScore(affinity, context.targets[index].seed), true });
        for (const auto index : context.full)
            insertIfBetter(best, { index, rendezvousScore(affinity, context.targets[index].seed), false });
        return best;
    }

    /// Result of one pass over the expected delays of the targets. Costs are marginal delays: the delay that one more request adds to all.
    struct DelayScan {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::infinity();
        /// Lowest expected delay of the targets in PickContext::full, and the service time of that target without queueing.
        double fullDelaySeconds = std::numeric_limits<double>::infinity();
        double fullServiceSeconds = 0;
    };

    DelayScan scanDelays(const PickContext& context)
    {
        DelayScan scan;
        const auto size = context.candidates.size();
        const auto start = randomIndex(context.random, size);
        for (std::size_t i = 0; i < size; ++i) {
            const auto index = context.candidates[start + i < size ? start + i : start + i - size];
            const auto& target = context.targets[index];
            if (target.expectedServiceSeconds(context.bestServiceSeconds, context.now) >= scan.bestCost)
                continue;
            const auto cost = target.expectedDelay(context.bestServiceSeconds, context.now).cost();
            if (cost < scan.bestCost) {
                scan.bestCost = cost;
                scan.best = index;
            }
        }
        for (const auto index : context.full) {
            const auto delay = context.targets[index].expectedDelay(context.bestServiceSeconds, context.now);
            if (delay.total() < scan.fullDelaySeconds) {
                scan.fullDelaySeconds = delay.total();
                scan.fullServiceSeconds = delay.serviceSeconds;
            }
        }
        return scan;
    }

    std::optional<std::size_t> pickByAffinity(const PickContext& context, const DelayScan& scan)
    {
        const auto secondsLeft = std::chrono::duration<double>(context.requirements.deadline - context.now).count();
        const auto extraSeconds = std::chrono::duration<double>(context.requirements.maximumAffinityDelay).count();
        const auto maximumCost = std::max(maximumAffinityCostRatio * scan.bestCost, scan.bestCost + extraSeconds);
        for (const auto& [index, score, hasFreeSlot] : preferredTargets(context)) {
            if (!hasFreeSlot)
                continue;
            const auto delay = context.targets[index].expectedDelay(context.bestServiceSeconds, context.now);
            if (delay.cost() <= maximumCost && delay.total() <= secondsLeft)
                return index;
        }
        return std::nullopt;
    }

    /// Marginal delay if the request waits for one of the faster targets that have reached their limit.
    double costOfWaiting(const PickContext& context, const DelayScan& scan)
    {
        double completionsPerSecond = 0;
        for (const auto index : context.full) {
            const auto& target = context.targets[index];
            if (!target.serviceTime.isKnown())
                continue;
            if (target.expectedDelay(context.bestServiceSeconds, context.now).cost() < scan.bestCost)
                completionsPerSecond += target.inFlight / target.serviceTime.latencySeconds();
        }
        const auto total = scan.fullDelaySeconds + static_cast<double>(context.waiting + 1) / completionsPerSecond;
        return total * total / scan.fullServiceSeconds;
    }

    std::optional<std::size_t> pickLeastDelay(const PickContext& context)
    {
        const auto scan = scanDelays(context);
        if (context.requirements.affinity) {
            if (const auto pickedByAffinity = pickByAffinity(context, scan))
                return pickedByAffinity;
        }
        if (scan.fullDelaySeconds < scan.bestCost && costOfWaiting(context, scan) < scan.bestCost)
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
    return *std::find_if(strategies.begin(), strategies.end(), [policy](const auto& strategy) { return strategy.policy == policy; });
}

} // namespace cicadalb
