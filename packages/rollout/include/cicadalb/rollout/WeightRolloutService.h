#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/rollout/OrderPermit.h"
#include "cicadalb/rollout/WeightLoadLimiter.h"
#include "cicadalb/rollout/WeightRollout.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

/// @file
/// Carries out the weight rollout of one pool.

namespace cicadalb {

/// @brief Polls engines, sends orders while they are permitted and records their results. Thread-safe: one mutex guards its state.
class WeightRolloutService {
public:
    /// The references outlive the service and its executor's work.
    WeightRolloutService(boost::asio::any_io_executor, EngineClient&, const OrderPermit&, std::shared_ptr<WeightLoadLimiter>, const Clock&, WeightRolloutOptions);
    ~WeightRolloutService();
    WeightRolloutService(const WeightRolloutService&) = delete;
    WeightRolloutService& operator=(const WeightRolloutService&) = delete;

    /// @brief Sets the version that all engines shall hold. @see WeightRegistry
    void setDesiredVersion(WeightVersion);
    void setEngines(const std::vector<TargetId>&);
    /// @brief Runs until stop().
    Task<void> run();
    void stop();
    std::vector<EngineSwapStatus> engines() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
