#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/rollout/EngineSelector.h"
#include "cicadalb/rollout/Step.h"
#include "cicadalb/rollout/StepCoordinator.h"
#include "cicadalb/rollout/StepJson.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

/// @file
/// All steps that one host coordinates.

namespace cicadalb {

/// @brief What the operators' tables say of a trainer.
struct StepTerms {
    /// Pool of the trainer's route.
    PoolName pool;
    /// Relative share of the engines.
    double share = 1.0;
    /// 0 weighs idle time alone, 1 staleness alone.
    double stalenessWeight = 0.5;
};

struct StepServiceOptions {
    StepOptions step;
    /// Longest run of one generation before it is given up.
    std::chrono::milliseconds attemptTimeout { 120000 };
    /// A step without a pull for so long after its deadline is dropped.
    std::chrono::milliseconds abandonedAfter { 600000 };
    std::chrono::milliseconds tickInterval { 100 };
};

/// @brief Coordinates steps: runs their generations and hands samples over. Thread-safe: steps sit in shards, each under its own lock.
class StepService {
public:
    /// @p engines, @p selector and @p clock outlive the service and its executor's work.
    StepService(boost::asio::any_io_executor, EngineClient& engines, EngineSelector& selector, const Clock& clock, StepServiceOptions = {});
    ~StepService();
    StepService(const StepService&) = delete;
    StepService& operator=(const StepService&) = delete;

    /// @brief Starts a step; the same step again changes nothing. Errors: StepConflict, HostStopping.
    Result<SubmitReceipt> submit(StepSpec, StepTerms);

    /// @brief Waits until a sample can be handed over, the step is done, or the request's patience ends (then an empty batch).
    /// Errors: StepUnknown (submit it again), CursorInvalid, HostStopping.
    Task<Result<Batch>> pull(StepKey, PullRequest);

    /// @brief An engine's own report of its weights, which may lag; what its generations are labelled with takes precedence.
    void reportWeights(const PoolName&, const TargetId&, WeightVersion);

    /// @brief Starts what can be started now and drops abandoned steps. run() calls it; tests call it themselves.
    void tick();
    /// @brief Calls tick() until stop().
    Task<void> run();
    /// @brief Ends waiting pulls, cancels generations and refuses new work; trainers submit their steps again elsewhere.
    void stop();

    std::vector<StepProgress> progress() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
