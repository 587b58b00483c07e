#include "cicadalb/site/CapacityPlan.h"

#include "cicadalb/base/EnumTable.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <tuple>

namespace cicadalb {

namespace {

    constexpr auto orderCauseNames = std::to_array<EnumName<OrderCause>>({
        { OrderCause::Need, "need" },
        { OrderCause::Missing, "missing" },
        { OrderCause::Cost, "cost" },
    });

    /// A source by the price of one of its engines.
    struct PricedSource {
        double price = 0;
        EngineSource source;
        auto operator<=>(const PricedSource&) const = default;
    };

    /// All sources, the cheapest first.
    std::vector<PricedSource> sourcesByPrice(const PoolScaling& scaling)
    {
        std::vector<PricedSource> sources;
        for (const auto& [failureDomain, price] : scaling.prices) {
            sources.push_back({ price, { failureDomain, false } });
            if (scaling.reclaimablePriceShare > 0)
                sources.push_back({ price * scaling.reclaimablePriceShare, { failureDomain, true } });
        }
        std::sort(sources.begin(), sources.end());
        return sources;
    }

    unsigned presentAt(const Fleet& fleet, const EngineSource& source)
    {
        const auto found = fleet.find(source.failureDomain);
        return found == fleet.end() ? 0 : found->second.of(source.isReclaimable);
    }

    /// A change of the fleet for its cost alone has to save this share of it.
    constexpr double minimumSaving = 0.05;
    /// At most one in this many engines is given up at a time: fewer engines with more samples each generate more slowly, so that the need may rise.
    constexpr unsigned enginesPerReduction = 3;

    /// Adds engines to a fleet within the limits.
    class FleetBuilder {
    public:
        FleetBuilder(const PoolScaling& scaling, Fleet kept, unsigned reclaimableLimit, const std::set<EngineSource>& unavailable, const Fleet& present)
            : m_scaling(scaling)
            , m_fleet(std::move(kept))
            , m_reclaimableLimit(reclaimableLimit)
            , m_unavailable(unavailable)
            , m_present(present)
        {
        }

        /// @return number of engines added
        unsigned add(const EngineSource& source, unsigned engines)
        {
            const auto added = std::min(engines, room(source));
            m_fleet[source.failureDomain].of(source.isReclaimable) += added;
            return added;
        }

        /// Spreads engines over sources of the same price. @return number of engines added
        unsigned spread(std::span<const PricedSource> sources, unsigned engines)
        {
            unsigned total = 0;
            for (unsigned added = 1; added > 0 && total < engines;) {
                added = 0;
                const auto share = std::max(1U, (engines - total) / static_cast<unsigned>(sources.size()));
                for (const auto& [price, source] : sources)
                    added += add(source, std::min(share, engines - total - added));
                total += added;
            }
            return total;
        }

        void addMinimum(const EngineSource& source)
        {
            const auto count = m_fleet[source.failureDomain].total();
            add(source, m_scaling.minimum > count ? m_scaling.minimum - count : 0);
        }

        unsigned count() const { return engineCount(m_fleet); }
        Fleet take() { return std::move(m_fleet); }

    private:
        unsigned room(const EngineSource& source)
        {
            const auto& counts = m_fleet[source.failureDomain];
            const auto own = counts.of(source.isReclaimable);
            auto limit = source.isReclaimable ? m_reclaimableLimit : m_scaling.maximum;
            if (m_unavailable.contains(source))
                limit = std::min(limit, presentAt(m_present, source));
            return std::min(limit > own ? limit - own : 0, m_scaling.maximum > counts.total() ? m_scaling.maximum - counts.total() : 0);
        }

        const PoolScaling& m_scaling;
        Fleet m_fleet;
        unsigned m_reclaimableLimit;
        const std::set<EngineSource>& m_unavailable;
        const Fleet& m_present;
    };

} // namespace

std::string_view name(OrderCause cause) noexcept { return nameIn(orderCauseNames, cause); }

unsigned engineCount(const Fleet& fleet)
{
    unsigned count = 0;
    for (const auto& [failureDomain, counts] : fleet)
        count += counts.total();
    return count;
}

unsigned remainingEngines(const Fleet& fleet)
{
    unsigned most = 0;
    for (const auto& [failureDomain, counts] : fleet)
        most = std::max(most, counts.reclaimable);
    return engineCount(fleet) - most;
}

double costPerSecond(const Fleet& fleet, const PoolScaling& scaling)
{
    double cost = 0;
    for (const auto& [failureDomain, counts] : fleet) {
        const auto price = scaling.prices.find(failureDomain);
        if (price != scaling.prices.end())
            cost += price->second * (counts.plain + scaling.reclaimablePriceShare * counts.reclaimable);
    }
    return cost;
}

/// With a given limit on the reclaimable engines of each failure domain, the cheapest sources are filled first; the limits are tried in turn.
Fleet planFleet(const PoolScaling& scaling, unsigned needed, const std::set<EngineSource>& unavailable, const Fleet& present, KeepPresent keep)
{
    const auto sources = sourcesByPrice(scaling);
    Fleet best;
    auto bestKey = std::tuple(std::numeric_limits<unsigned>::max(), 0.0, 0U);
    const auto highestLimit = scaling.reclaimablePriceShare > 0 ? scaling.maximum : 0;
    for (unsigned limit = 0; limit <= highestLimit; ++limit) {
        FleetBuilder builder(scaling, keep == KeepPresent::Yes ? present : Fleet {}, limit, unavailable, present);
        for (const auto& [price, source] : sources)
            builder.addMinimum(source);
        for (auto first = sources.begin(); first != sources.end();) {
            const auto last = std::find_if(first, sources.end(), [&](const auto& other) { return other.price > first->price; });
            const auto count = builder.count();
            if (count < needed + limit)
                builder.spread({ first, last }, needed + limit - count);
            first = last;
        }
        auto fleet = builder.take();
        const auto remaining = remainingEngines(fleet);
        const auto key = std::tuple(needed > remaining ? needed - remaining : 0, costPerSecond(fleet, scaling), engineCount(fleet));
        if (key < bestKey) {
            bestKey = key;
            best = std::move(fleet);
        }
    }
    return best;
}

void EngineNeed::observe(const EngineUse& use, TimePoint now)
{
    if (use.engines == 0 || use.slots == 0)
        return;
    if (!m_firstUseAt) {
        if (use.running == 0)
            return;
        m_firstUseAt = now;
    }
    m_samples.push_back({ now, use });
    while (m_samples.front().at + averagingTime < now)
        m_samples.pop_front();
    if (now < *m_firstUseAt + averagingTime)
        return;
    double running = 0;
    double share = 0;
    double lateShare = 0;
    for (const auto& sample : m_samples) {
        running += static_cast<double>(sample.use.running) * sample.use.engines / sample.use.slots;
        share += static_cast<double>(sample.use.running) / sample.use.slots;
        lateShare += sample.use.lateShare;
    }
    const auto count = static_cast<double>(m_samples.size());
    auto need = running / count / targetUse;
    if (share / count >= busyUse)
        need = std::max(need, use.engines / std::max(1.0 / maximumRise, 1.0 - lateShare / count));
    need = std::max(need, static_cast<double>(m_floor));
    while (!m_peaks.empty() && m_peaks.back().engines <= need)
        m_peaks.pop_back();
    m_peaks.push_back({ now, need });
    while (m_peaks.front().at + memory < now)
        m_peaks.pop_front();
    const auto highest = m_peaks.front().engines;
    if (!m_engines || highest > *m_engines || highest < fallShare * *m_engines)
        m_engines = static_cast<unsigned>(std::ceil(highest * riseMargin));
}

std::vector<CapacityDecision> decideOrders(const PoolScaling& scaling, const CapacityState& state)
{
    std::vector<CapacityDecision> decisions;
    const bool isNeedMet = remainingEngines(state.present) >= state.needed;
    const auto desired = planFleet(scaling, state.needed, state.unavailable, state.present, state.isNeedKnown ? KeepPresent::No : KeepPresent::Yes);
    const bool isCheaper = costPerSecond(desired, scaling) < (1 - minimumSaving) * costPerSecond(state.present, scaling);
    if (isNeedMet && !isCheaper)
        return {};
    // Where engines are not to be had for a moment decides about the need, but not about the price of the fleet.
    const bool mayRaiseForCost = state.isNeedKnown && state.unavailable.empty();
    // Engines that are there and will stay.
    Fleet staying = state.present;
    std::vector<CapacityDecision> reductions;
    for (const auto& [failureDomain, counts] : desired) {
        for (const bool isReclaimable : { false, true }) {
            const EngineSource source { failureDomain, isReclaimable };
            const auto wanted = counts.of(isReclaimable);
            const auto there = presentAt(state.present, source);
            const auto found = state.ordered.find(source);
            const auto ordered = found == state.ordered.end() ? there : found->second;
            auto& stays = staying[failureDomain].of(isReclaimable);
            stays = std::min(stays, ordered);
            const bool isSettling = state.settling.contains(source);
            if (wanted > ordered) {
                if (!state.unavailable.contains(source) && (!isNeedMet || mayRaiseForCost))
                    decisions.push_back({ source, wanted, isNeedMet ? OrderCause::Cost : OrderCause::Need, ordered });
            } else if (wanted > there && !isSettling && !state.unavailable.contains(source))
                decisions.push_back({ source, wanted, OrderCause::Missing, there });
            else if (wanted < ordered && !isSettling && !state.unavailable.contains(source))
                reductions.push_back({ source, wanted, OrderCause::Cost, ordered });
        }
    }
    if (!state.mayReduce || !state.changing.empty() || std::any_of(decisions.begin(), decisions.end(), [](const auto& decision) { return decision.cause != OrderCause::Missing; }))
        return decisions;
    const auto priceOf = [&](const EngineSource& source) { return scaling.prices.at(source.failureDomain) * (source.isReclaimable ? scaling.reclaimablePriceShare : 1); };
    std::stable_sort(reductions.begin(), reductions.end(), [&](const auto& left, const auto& right) { return priceOf(left.source) > priceOf(right.source); });
    auto budget = std::max(1U, engineCount(state.present) / enginesPerReduction);
    for (auto& reduction : reductions) {
        reduction.engines = std::max(reduction.engines, reduction.from - std::min(budget, reduction.from));
        auto& stays = staying[reduction.source.failureDomain].of(reduction.source.isReclaimable);
        const auto before = stays;
        stays = std::min(stays, reduction.engines);
        if (remainingEngines(staying) < state.needed)
            stays = before;
        else if (reduction.engines < reduction.from) {
            budget -= reduction.from - reduction.engines;
            decisions.push_back(reduction);
        }
    }
    return decisions;
}

} // namespace cicadalb
