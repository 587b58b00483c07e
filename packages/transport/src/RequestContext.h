#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Tables.h"
#include "cicadalb/routing/RunState.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/RoutingTable.h"
#include "cicadalb/transport/SharedPoolBalancer.h"

#include <memory>
#include <optional>

/// @file
/// State of a request while it is served.

namespace cicadalb {

/// @brief A caller's request with its route. Lives as long as the coroutine that serves it.
struct RequestContext {
    ServerRequest& request;
    ServerResponder& responder;
    std::shared_ptr<const RoutingSnapshot> snapshot;
    const Route& route;
    std::shared_ptr<SharedPoolBalancer> balancer;
    CallerName caller;
    RequestId id;
    TimePoint deadline;
};

/// @brief How one attempt on a target ended.
struct AttemptResult {
    CompletionKind kind = CompletionKind::Succeeded;
    /// Response relayed to the caller, if any. A streamed response has no body here; a generation has only its status.
    HttpResponse response;
    /// Set unless a response was relayed.
    Error error { ErrorCode::OutcomeUnknown, {}, {} };
};

/// @brief Runs the attempts of one request on targets. Each kind of target has its own implementation.
class TargetCall {
public:
    virtual ~TargetCall() = default;
    /// @brief Validates the request before it is admitted. Errors: RequestInvalid.
    virtual Result<void> check(const RequestContext&) = 0;
    /// @brief Hash that is equal for requests that should go to the same target, such as those with the same prompt prefix. Called after check().
    virtual std::optional<std::uint64_t> affinity() const { return std::nullopt; }
    /// @brief Makes one attempt and abandons it at @p deadline. On success the response has been relayed to the caller.
    virtual Task<AttemptResult> attempt(const RequestContext&, const Target&, TimePoint deadline) = 0;
};

} // namespace cicadalb
