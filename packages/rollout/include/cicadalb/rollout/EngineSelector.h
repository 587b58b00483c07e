#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/routing/PoolBalancer.h"

/// @file
/// Choice of engine for one generation. The transport package implements it over PoolBalancer; tests use fakes.

namespace cicadalb {

class EngineSelector {
public:
    virtual ~EngineSelector() = default;

    /// @brief Waits for a slot on an engine of @p pool. Errors: NoTargetAvailable, Overloaded. Each success requires one call of release().
    virtual Task<Result<TargetId>> acquire(PoolName pool, RequestRequirements) = 0;
    /// @brief Frees the slot of a generation that ended. Thread-safe.
    virtual void release(const PoolName& pool, const TargetId&, const Completion&) = 0;
    /// @brief Generations that this host may run at once on @p pool. Thread-safe.
    virtual std::size_t capacity(const PoolName& pool) const = 0;
};

} // namespace cicadalb
