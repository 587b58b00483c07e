#pragma once

#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/KeyedRequests.h"
#include "cicadalb/transport/Metrics.h"
#include "cicadalb/transport/RoutingTable.h"
#include "cicadalb/transport/TargetClients.h"

#include <atomic>
#include <memory>

/// @file
/// Processing of a caller's request: authentication, routing, admission, attempts and response.

namespace cicadalb {

struct RequestContext;
class TargetCall;

/// @brief Outcome of a request.
struct ServedRequest {
    RunState runState = RunState::NotSent;
    /// Response sent to the caller. A streamed response has no body here; a generation or an error has only its status.
    HttpResponse response;
};

struct DispatcherOptions {
    HostId host;
    Incarnation incarnation = 0;
    std::size_t maximumInFlight = 2000;
};

/// @brief Serves callers' requests. Thread-safe.
class RequestDispatcher {
public:
    RequestDispatcher(DispatcherOptions, RoutingTable&, TargetClients&, KeyedRequests&, Metrics&, const Clock&);
    ~RequestDispatcher();
    RequestDispatcher(const RequestDispatcher&) = delete;
    RequestDispatcher& operator=(const RequestDispatcher&) = delete;

    Task<void> serve(ServerRequest&, ServerResponder&);

    std::size_t inFlight() const noexcept { return m_inFlight; }

private:
    struct Progress;

    RequestId requestIdFor(const ServerRequest&);
    Task<void> serveRouted(RequestContext&);
    /// @brief Serves a non-idempotent request with an Idempotency-Key, which may run at most once.
    Task<void> serveKeyed(RequestContext&, TargetCall&, std::string key);
    Task<void> respondWithoutRunning(RequestContext&, KeyedDecision);
    Task<ServedRequest> attemptUntilAnswered(RequestContext&, TargetCall&);
    Task<void> attemptOnce(RequestContext&, TargetCall&, const Admission&, Progress&);
    /// @brief Sends the error response of a request that got no response from a target.
    Task<void> sendFailure(RequestContext&, Progress&);
    Task<void> refuse(ServerRequest&, ServerResponder&, const RequestId&, const Error&, Duration retryAfter);
    std::unique_ptr<TargetCall> makeTargetCall(const RequestContext&);

    DispatcherOptions m_options;
    RoutingTable& m_routing;
    TargetClients& m_clients;
    KeyedRequests& m_keyedRequests;
    Metrics& m_metrics;
    const Clock& m_clock;
    std::atomic<std::uint64_t> m_nextRequestNumber { 1 };
    std::atomic<std::size_t> m_inFlight { 0 };
};

/// @brief The bearer token of a request, or an empty string.
std::string_view bearerToken(const ServerRequest&) noexcept;

} // namespace cicadalb
