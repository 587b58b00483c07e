#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/config/Tables.h"
#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/rollout/WeightLoadLimiter.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Decides which engines of a pool load which weights, and when.

namespace cicadalb {

/// @brief State of an engine with respect to the desired weight version.
enum class SwapState : std::uint8_t {
    /// The engine holds another version, or its version is unknown.
    Pending,
    /// An order was planned and has not ended.
    Swapping,
    /// The engine holds the desired version.
    InForce,
    /// The swaps to this version failed too often; the engine gets no order until the desired version changes.
    SetAside,
};

/// @brief Name of @p state in kebab case, as in metrics and the state dump.
std::string_view name(SwapState state) noexcept;

struct WeightRolloutOptions {
    std::string model;
    /// Minimum share of the engines that keeps serving. One engine at a time is swapped in any case, so that a rollout ends.
    double servingShare = 0.5;
    FenceCheck fenceCheck = FenceCheck::Ignored;
    /// An order takes effect within this time of being sent, or never.
    std::chrono::milliseconds orderTimeout { 30000 };
    std::chrono::milliseconds retryBackoff { 500 };
    std::chrono::milliseconds maximumRetryBackoff { 8000 };
    /// Failed swaps of one engine to one version after which it is set aside.
    unsigned maximumFailures = 5;
    /// An engine's report may describe its state this long ago; reports are ignored for this time after an order has ended.
    std::chrono::milliseconds maximumReportAge { 5000 };
};

/// @brief An order to send now.
struct PlannedOrder {
    TargetId engine;
    WeightOrder order;
    TimePoint deadline {};
};

/// @brief Snapshot of an engine's swap for the state dump.
struct EngineSwapStatus {
    TargetId engine;
    SwapState state = SwapState::Pending;
    WeightVersion version = 0;
    unsigned failures = 0;
};

/// @brief The rollout of one pool. Performs no I/O and reads no clock. Not thread-safe.
class WeightRollout {
public:
    explicit WeightRollout(WeightRolloutOptions);

    /// @brief Sets the version that all engines shall hold: the newest announced, or an older one that an operator rolled back to.
    void setDesiredVersion(WeightVersion);
    WeightVersion desiredVersion() const noexcept { return m_desiredVersion; }
    /// @brief Sets the pool's engines: adds new ones and removes those that are not listed.
    void setEngines(const std::vector<TargetId>&);
    /// @brief Records an engine's own report, which may lag.
    void onStatus(const TargetId&, const EngineStatus&, TimePoint now);

    /// @brief Orders to send now under fencing number @p fence, which comes from an OrderPermit. The owner reports the end of each by one onOrderResult().
    /// Complexity: linear in the number of engines.
    std::vector<PlannedOrder> nextOrders(FencingNumber fence, WeightLoadLimiter&, TimePoint now);
    /// @brief Records the end of an order. @return true if the engine has now been set aside
    bool onOrderResult(const TargetId&, const WeightOrder&, const Result<void>&, TimePoint now);

    /// @brief True if every engine holds the desired version or is set aside.
    bool isSettled() const;
    std::vector<EngineSwapStatus> engines() const;

private:
    struct Engine {
        SwapState state = SwapState::Pending;
        WeightVersion version = 0;
        unsigned failures = 0;
        TimePoint notBefore {};
        TimePoint orderEndedAt {};
    };

    std::size_t maximumConcurrentSwaps() const;
    std::size_t runningSwaps() const;

    WeightRolloutOptions m_options;
    WeightVersion m_desiredVersion = 0;
    /// Highest fencing number that an engine rejected as outdated.
    FencingNumber m_highestRejectedFence = 0;
    std::map<TargetId, Engine> m_engines;
};

} // namespace cicadalb
