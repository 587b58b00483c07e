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

/// @brief Scheduling options of a step, from the operators' tables for its trainer.
struct StepSchedulingOptions {
    /// Pool of the trainer's route.
    PoolName pool;
    /// The trainer's share of the pool's engines, relative to the other trainers'.
    double share = 1.0;
    /// Trade-off between idle time (0) and staleness (1). @see StepOptions
    double stalenessWeight = 0.5;
};

struct StepServiceOptions {
    StepOptions step;
    /// Time limit for acquiring an engine, and again for running the generation on it.
    std::chrono::milliseconds attemptTimeout { 120000 };
    /// A step is dropped if this time has passed since its last pull and since its deadline.
    std::chrono::milliseconds abandonTimeout { 600000 };
    std::chrono::milliseconds tickInterval { 100 };
};

/// @brief Coordinates steps: runs their generations and hands samples over. Thread-safe: steps are divided into shards, each with its own mutex.
class StepService {
public:
    /// @p engines, @p selector and @p clock outlive the service and its executor's work.
    StepService(boost::asio::any_io_executor, EngineClient& engines, EngineSelector& selector, const Clock& clock, StepServiceOptions = {});
    ~StepService();
    StepService(const StepService&) = delete;
    StepService& operator=(const StepService&) = delete;

    /// @brief Starts a step; submitting the same step again has no effect. Errors: StepConflict, HostStopping.
    Result<SubmitReceipt> submit(StepSpec, StepSchedulingOptions);

    /// @brief Waits until a sample can be handed over, the step is done, or the request's maximum wait has passed (then an empty batch).
    /// Errors: StepUnknown (submit it again), CursorInvalid, HostStopping.
    Task<Result<Batch>> pull(StepKey, PullRequest);

    /// @brief Records an engine's own report of its weights, which may lag; the versions in its generations take precedence.
    void reportWeights(const PoolName&, const TargetId&, WeightVersion);

    /// @brief Starts the generations that can start now and drops abandoned steps. run() calls it; tests may call it directly.
    void tick();
    /// @brief Calls tick() until stop().
    Task<void> run();
    /// @brief Ends waiting pulls, cancels generations and refuses new work; trainers resubmit their steps to other hosts.
    void stop();

    std::vector<StepProgress> progress() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
