#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Tables.h"
#include "cicadalb/routing/RunState.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/PoolGate.h"
#include "cicadalb/transport/RoutingTable.h"

#include <memory>
#include <optional>

/// @file
/// What is known of a request while it is served.

namespace cicadalb {

/// @brief One caller's request with its route. Lives as long as its serving coroutine.
struct RequestContext {
    ServerRequest& request;
    ServerResponder& responder;
    std::shared_ptr<const RoutingSnapshot> snapshot;
    const Route& route;
    std::shared_ptr<PoolGate> gate;
    CallerName caller;
    RequestId id;
    TimePoint deadline;
};

/// @brief How one attempt on a target ended.
struct AttemptResult {
    CompletionKind kind = CompletionKind::Succeeded;
    /// What the caller was told, if an answer was passed on; without body if it was streamed.
    HttpResponse answer;
    /// Set unless the answer was passed on.
    Error error { ErrorCode::OutcomeUnknown, {}, {} };
};

/// @brief Carries out attempts of one request on targets; a strategy for each kind of target.
class TargetCall {
public:
    virtual ~TargetCall() = default;
    /// @brief Checks the request before it is admitted. Errors: RequestInvalid.
    virtual Result<void> check(const RequestContext&) = 0;
    /// @brief Hash of what wants the same target, e.g. the prompt prefix. Called after check().
    virtual std::optional<std::uint64_t> affinity() const { return std::nullopt; }
    /// @brief One attempt, given up at @p deadline. On success the answer has been passed on to the caller.
    virtual Task<AttemptResult> attempt(const RequestContext&, const Target&, TimePoint deadline) = 0;
};

} // namespace cicadalb
