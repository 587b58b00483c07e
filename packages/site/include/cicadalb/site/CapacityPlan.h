#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/site/SiteConfiguration.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// @file
/// How many engines of each kind a pool is to have in each failure domain. Decisions only; nothing here makes a call.

namespace cicadalb {

/// @brief Numbers of engines in one failure domain.
struct EngineCounts {
    unsigned plain = 0;
    /// Engines that may be taken away at short notice, all of a failure domain at once.
    unsigned reclaimable = 0;

    unsigned total() const noexcept { return plain + reclaimable; }
    unsigned& of(bool isReclaimable) noexcept { return isReclaimable ? reclaimable : plain; }
    unsigned of(bool isReclaimable) const noexcept { return isReclaimable ? reclaimable : plain; }
    bool operator==(const EngineCounts&) const = default;
};

using Fleet = std::map<FailureDomain, EngineCounts>;

/// @brief What one order concerns: a kind of engine in a failure domain.
struct EngineSource {
    FailureDomain failureDomain;
    bool isReclaimable = false;
    auto operator<=>(const EngineSource&) const = default;
};

unsigned engineCount(const Fleet&);
/// @brief Engines that remain when all reclaimable engines of the failure domain with the most of them are taken away.
unsigned remainingEngines(const Fleet&);
double costPerSecond(const Fleet&, const PoolScaling&);

/// @brief Whether a plan gives up no engine that is there.
enum class KeepPresent : std::uint8_t { No,
    Yes };

/// @brief The cheapest fleet within the pool's limits whose remainingEngines() are at least @p needed; if the limits, or sources where none are to be
/// had, do not allow it, the one with the most that they allow.
/// @param unavailable sources that get no more engines than they have
Fleet planFleet(const PoolScaling&, unsigned needed, const std::set<EngineSource>& unavailable = {}, const Fleet& present = {}, KeepPresent = KeepPresent::No);

/// @brief Observation of a pool's engines.
struct EngineUse {
    /// Engines that may run samples.
    unsigned engines = 0;
    /// Their places, and the samples that run on them.
    unsigned slots = 0;
    unsigned running = 0;
    /// Share of the open work that trainers wait for which the engines cannot finish by its due time.
    double lateShare = 0;
};

/// @brief How many engines the work needs, with hysteresis. Samples come in steps, so that the mean use over a step decides rather than its peaks. The
/// number rises at once, and falls only when the need has been lower for a minute: engines are missed for longer than they cost anything.
class EngineNeed {
public:
    /// Use is averaged over this time, about half the time in which steps are due.
    static constexpr std::chrono::seconds averagingTime { 4 };
    /// Time for which the highest need counts.
    static constexpr std::chrono::seconds memory { 60 };
    /// Time for which samples have to have run before the need counts as known.
    static constexpr std::chrono::seconds observationTime { 8 };
    /// Time for which they have to have run before engines are given up: steps that are due within 7.5 s have come and gone twice.
    static constexpr std::chrono::seconds steadyTime { 15 };
    /// Mean share of the places that are in use if steps are to be in time although engines load weights and texts differ in length.
    static constexpr double targetUse = 0.6;
    /// Use from which work that will be late shows a lack of engines, rather than one of weights or of good estimates.
    static constexpr double busyUse = 0.8;
    /// A rise includes this share beyond the need, so that a slow rise does not need an order each second.
    static constexpr double riseMargin = 1.1;
    /// The number falls if the need is below this share of it.
    static constexpr double fallShare = 0.75;
    /// Longest step of a rise: estimates of work that will be late are rough.
    static constexpr double maximumRise = 2.0;

    /// @param floor engines that are needed in any case
    explicit EngineNeed(unsigned floor = 0)
        : m_floor(floor)
    {
    }

    void setFloor(unsigned floor) noexcept { m_floor = floor; }
    void observe(const EngineUse&, TimePoint now);
    /// @brief Number of engines that the work needs; empty until samples have run.
    std::optional<unsigned> engines() const noexcept { return m_engines; }
    /// @brief Whether samples have run for steadyTime, so that engines beyond the number may be given up.
    bool isSteady(TimePoint now) const noexcept { return m_firstUseAt && now >= *m_firstUseAt + steadyTime; }
    /// @brief Whether samples have run for observationTime, so that others may be ordered for their lower price.
    bool isKnown(TimePoint now) const noexcept { return m_firstUseAt && now >= *m_firstUseAt + observationTime; }

private:
    struct Sample {
        TimePoint at;
        EngineUse use;
    };
    struct Peak {
        TimePoint at;
        double engines = 0;
    };

    unsigned m_floor;
    std::deque<Sample> m_samples;
    /// Needs in falling order, each later than the one before.
    std::deque<Peak> m_peaks;
    std::optional<TimePoint> m_firstUseAt;
    std::optional<unsigned> m_engines;
};

/// @brief Why an order is given.
enum class OrderCause : std::uint8_t {
    /// The work needs more engines than there are.
    Need,
    /// Engines that were ordered are not there.
    Missing,
    /// The same work can be done at a lower price, or with fewer engines.
    Cost,
};

std::string_view name(OrderCause) noexcept;

struct CapacityDecision {
    EngineSource source;
    unsigned engines = 0;
    OrderCause cause = OrderCause::Need;
    /// Number that was ordered before, or that is there.
    unsigned from = 0;
    auto operator<=>(const CapacityDecision&) const = default;
};

struct CapacityState {
    unsigned needed = 0;
    /// Whether the need is known well enough to order others for their lower price, and to give engines up.
    bool isNeedKnown = false;
    bool mayReduce = false;
    /// Registered engines that do not leave.
    Fleet present;
    /// Numbers that were ordered last; sources without an order count with their present engines.
    std::map<EngineSource, unsigned> ordered;
    /// Sources whose order is recent enough that its engines may still be starting or leaving.
    std::set<EngineSource> settling;
    /// Those of them whose last order was for another number than before.
    std::set<EngineSource> changing;
    /// Sources where none are to be had at the moment.
    std::set<EngineSource> unavailable;
};

/// @brief Chooses the orders to give now. They answer: a step of demand (orders at once); an engine lost for good (repeats the order); a failure
/// domain whose engines were reclaimed (orders elsewhere); none to be had (another failure domain, or the other kind); prices that differ (the cheapest
/// fleet); engines that come late (none is given up before those that replace it are there).
std::vector<CapacityDecision> decideOrders(const PoolScaling&, const CapacityState&);

} // namespace cicadalb
