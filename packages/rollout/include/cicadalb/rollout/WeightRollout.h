#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/config/Tables.h"
#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/rollout/LoadBudget.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Decides which engines of a pool load which weights, and when.

namespace cicadalb {

/// @brief Where an engine stands with the version that is wanted.
enum class SwapState : std::uint8_t {
    /// It holds another version.
    Pending,
    /// An order is on its way.
    Swapping,
    /// It holds the wanted version.
    InForce,
    /// The last swaps failed; it is tried again with the next version.
    SetAside,
};

/// @brief Name of @p state in kebab case, as in metrics and the state dump.
std::string_view name(SwapState state) noexcept;

struct WeightRolloutOptions {
    std::string model;
    /// Smallest share of the engines that keeps serving. One engine is always swapped, so that a rollout ends.
    double servingShare = 0.5;
    FenceCheck fenceCheck = FenceCheck::Ignored;
    /// An order takes effect within this time of being sent, or never.
    std::chrono::milliseconds longestOrder { 30000 };
    std::chrono::milliseconds retryBackoff { 500 };
    std::chrono::milliseconds maximumRetryBackoff { 8000 };
    /// Failures of one engine with one version before it is set aside.
    unsigned maximumFailures = 5;
    /// An engine's report may be so old.
    std::chrono::milliseconds reportLag { 5000 };
};

/// @brief An order to send now.
struct PlannedOrder {
    TargetId engine;
    WeightOrder order;
    TimePoint deadline {};
};

/// @brief Snapshot of an engine for the state dump.
struct SwapView {
    TargetId engine;
    SwapState state = SwapState::Pending;
    WeightVersion version = 0;
    unsigned failures = 0;
};

/// @brief The rollout of one pool. Values in, values out; not thread-safe.
class WeightRollout {
public:
    explicit WeightRollout(WeightRolloutOptions);

    /// @brief The version that all engines shall hold: the newest announced, or an older one on an operator's word.
    void want(WeightVersion);
    WeightVersion wanted() const noexcept { return m_wanted; }
    /// @brief The pool's engines; unknown ones are added, others go.
    void setEngines(const std::vector<TargetId>&);
    /// @brief An engine's own report, which may lag.
    void onStatus(const TargetId&, const EngineStatus&, TimePoint now);

    /// @brief Orders to send now under fencing number @p fence, which an OrderPermit gave. Each ends with one onOrderResult().
    /// Complexity: linear in the number of engines.
    std::vector<PlannedOrder> nextOrders(FencingNumber fence, LoadBudget&, TimePoint now);
    /// @brief An order ended. @return true if the engine has now been set aside
    bool onOrderResult(const TargetId&, const WeightOrder&, const Result<void>&, TimePoint now);

    /// @brief True if every engine holds the wanted version or is set aside.
    bool isSettled() const;
    std::vector<SwapView> engines() const;

private:
    struct Engine {
        SwapState state = SwapState::Pending;
        WeightVersion version = 0;
        unsigned failures = 0;
        TimePoint notBefore {};
        TimePoint orderEndedAt {};
    };

    std::size_t allowedSwaps() const;
    std::size_t swaps() const;

    WeightRolloutOptions m_options;
    WeightVersion m_wanted = 0;
    /// The highest number that an engine refused as old.
    FencingNumber m_refusedFence = 0;
    std::map<TargetId, Engine> m_engines;
};

} // namespace cicadalb
