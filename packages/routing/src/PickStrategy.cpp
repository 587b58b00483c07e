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

    /// A target as an affinity hash ranks it.
    struct RankedTarget {
        std::size_t index = 0;
        std::uint64_t score = 0;
        bool hasRoom = false;
    };

    /// The two targets that an affinity hash prefers, by rendezvous.
    using AffineTargets = std::array<RankedTarget, 2>;

    std::uint64_t rendezvousScore(std::uint64_t affinity, std::uint64_t seed)
    {
        std::size_t score = seed;
        boost::hash_combine(score, affinity);
        return score;
    }

    void offer(AffineTargets& best, const RankedTarget& target)
    {
        if (target.score > best[0].score)
            best[1] = std::exchange(best[0], target);
        else if (target.score > best[1].score)
            best[1] = target;
    }

    AffineTargets affineTargets(const PickContext& context)
    {
        AffineTargets best;
        const auto affinity = *context.demand.affinity;
        for (const auto index : context.candidates)
            offer(best, { index, rendezvousScore(affinity, context.targets[index].seed), true });
        for (const auto index : context.full)
            offer(best, { index, rendezvousScore(affinity, context.targets[index].seed), false });
        return best;
    }

    /// Delays of the targets, as pickLeastDelay compares them. Costs are marginal delays: the delay that one more request causes to all.
    struct DelayScan {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::infinity();
        /// Least delay of the targets without room, and what it would be without crowding.
        double fullDelay = std::numeric_limits<double>::infinity();
        double fullService = 0;
    };

    DelayScan scanDelays(const PickContext& context)
    {
        DelayScan scan;
        const auto size = context.candidates.size();
        const auto start = randomIndex(context.random, size);
        for (std::size_t i = 0; i < size; ++i) {
            const auto index = context.candidates[start + i < size ? start + i : start + i - size];
            const auto& target = context.targets[index];
            if (target.expectedService(context.bestService, context.now) >= scan.bestCost)
                continue;
            const auto cost = target.expectedDelay(context.bestService, context.now).cost();
            if (cost < scan.bestCost) {
                scan.bestCost = cost;
                scan.best = index;
            }
        }
        for (const auto index : context.full) {
            const auto delay = context.targets[index].expectedDelay(context.bestService, context.now);
            if (delay.total() < scan.fullDelay) {
                scan.fullDelay = delay.total();
                scan.fullService = delay.serviceSeconds;
            }
        }
        return scan;
    }

    std::optional<std::size_t> pickAffine(const PickContext& context, const DelayScan& scan)
    {
        const auto secondsLeft = std::chrono::duration<double>(context.demand.deadline - context.now).count();
        const auto patience = std::chrono::duration<double>(context.demand.affinityPatience).count();
        const auto largestCost = std::max(affinityPatience * scan.bestCost, scan.bestCost + patience);
        for (const auto& [index, score, hasRoom] : affineTargets(context)) {
            if (!hasRoom)
                continue;
            const auto delay = context.targets[index].expectedDelay(context.bestService, context.now);
            if (delay.cost() <= largestCost && delay.total() <= secondsLeft)
                return index;
        }
        return std::nullopt;
    }

    /// Marginal delay if the request waits for a faster target without room.
    double costOfWaiting(const PickContext& context, const DelayScan& scan)
    {
        double freedPerSecond = 0;
        for (const auto index : context.full) {
            const auto& target = context.targets[index];
            if (!target.speed.isKnown())
                continue;
            if (target.expectedDelay(context.bestService, context.now).cost() < scan.bestCost)
                freedPerSecond += target.inFlight / target.speed.latencySeconds();
        }
        const auto total = scan.fullDelay + static_cast<double>(context.waiting + 1) / freedPerSecond;
        return total * total / scan.fullService;
    }

    std::optional<std::size_t> pickLeastDelay(const PickContext& context)
    {
        const auto scan = scanDelays(context);
        if (context.demand.affinity) {
            if (const auto affine = pickAffine(context, scan))
                return affine;
        }
        if (scan.fullDelay < scan.bestCost && costOfWaiting(context, scan) < scan.bestCost)
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

} // namespace cicadalb
