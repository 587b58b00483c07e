#pragma once

#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/KeyedRequests.h"
#include "cicadalb/transport/Metrics.h"
#include "cicadalb/transport/RoutingTable.h"
#include "cicadalb/transport/TargetClients.h"

#include <atomic>
#include <memory>

/// @file
/// The life of a caller's request: caller, route, admission, attempts, answer.

namespace cicadalb {

struct RequestContext;
class TargetCall;

/// @brief What became of a request.
struct ServedRequest {
    RunState runState = RunState::NotSent;
    /// What the caller was told; the body only of answers that were passed on whole.
    HttpResponse answer;
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
    /// @brief A request that may run at most once for its key.
    Task<void> serveKeyed(RequestContext&, TargetCall&, std::string key);
    Task<void> answerKnownKey(RequestContext&, KeyedDecision);
    Task<ServedRequest> attemptUntilAnswered(RequestContext&, TargetCall&);
    Task<void> attemptOnce(RequestContext&, TargetCall&, const Admission&, Progress&);
    /// @brief Tells the caller at once that no answer will come.
    Task<void> tellGivenUp(RequestContext&, Progress&);
    Task<void> refuse(ServerRequest&, ServerResponder&, const RequestId&, const Error&, Duration retryAfter);
    std::unique_ptr<TargetCall> callFor(const RequestContext&);

    DispatcherOptions m_options;
    RoutingTable& m_routing;
    TargetClients& m_clients;
    KeyedRequests& m_keyed;
    Metrics& m_metrics;
    const Clock& m_clock;
    std::atomic<std::uint64_t> m_nextRequest { 1 };
    std::atomic<std::size_t> m_inFlight { 0 };
};

/// @brief The bearer token of a request, or an empty text.
std::string_view bearerToken(const ServerRequest&) noexcept;

} // namespace cicadalb
