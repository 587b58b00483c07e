#pragma once

#include "KeyChecks.h"
#include "RelayMessages.h"
#include "RunningRequests.h"

#include "cicadalb/transport/HttpListener.h"

#include <functional>
#include <memory>
#include <vector>

/// @file
/// Requests of a host that is cut off from the targets go through another host.

namespace cicadalb {

/// @brief Sends a request to one helper. Errors: NotSent (the helper did not receive it), Unavailable (it answered with an error status and did not forward it), others (it may have run).
using RelayExchange = std::function<Task<Result<RelayReply>>(std::size_t helper, RelayRequest, std::shared_ptr<HttpCancellation>)>;

/// @brief The sender's side: selects a helper. Bound to one event loop.
class RequestRelay {
public:
    /// Time allowed for a connection to a helper.
    static constexpr std::chrono::milliseconds connectTimeout { 100 };
    /// Number of helpers that a request is sent to, one after the other, until one of them forwards it.
    static constexpr std::size_t maximumHelpers = 3;
    /// Delay after which a caller may return if no helper forwards its request.
    static constexpr std::chrono::milliseconds retryAfter { 500 };

    /// @param firstHelper index of the helper to ask first, so that hosts spread over the helpers
    RequestRelay(std::size_t helperCount, std::size_t firstHelper, RelayExchange, const Clock&);

    /// @brief Has a request forwarded. @return the outcome, or nothing if no helper has replied, so that the request has not run
    Task<std::optional<ForwardOutcome>> send(RelayRequest, TimePoint deadline, std::shared_ptr<HttpCancellation>);

private:
    std::size_t m_helperCount;
    std::size_t m_nextHelper;
    RelayExchange m_exchange;
    const Clock& m_clock;
};

/// @brief Returns an exchange that asks the hosts at these endpoints over HTTP.
RelayExchange makeHttpRelayExchange(const boost::asio::any_io_executor&, const std::vector<Endpoint>&);

/// @brief The helper's side: forwards requests of hosts that are cut off. It never sends them on to another helper. Bound to one event loop.
class RelayEndpoint {
public:
    /// Requests that are forwarded at the same time; more are left to other helpers, so that the work of this host does not suffer.
    static constexpr std::size_t maximumRequests = 64;

    RelayEndpoint(SiteDirectory&, const SiteProtocol&, RequestForwarder&, const TargetReachability&, KeyValidity = KeyValidity({}));

    Task<void> serve(ServerRequest&, ServerResponder&);
    /// @brief Makes the endpoint leave further requests to other helpers, before the host stops.
    void beginStopping() noexcept { m_isStopping = true; }
    /// @brief Replies to the requests that still wait for their targets.
    void endRequests() { m_running.cancelAll(); }
    std::size_t requestsInFlight() const noexcept { return m_running.size(); }

private:
    /// Why this host cannot forward the request, or an empty text.
    std::string obstacle(const RelayRequest&) const;
    /// The organisation that the sender names, or that holds the key if the sender has not checked it.
    KeyCheck checkKeys(const SiteView&, const SiteRoute&, RelayRequest&) const;
    Task<RelayReply> forward(RelayRequest, TimePoint receivedAt, ServerResponder&);

    SiteDirectory& m_directory;
    const SiteProtocol& m_protocol;
    RequestForwarder& m_forwarder;
    const TargetReachability& m_reachability;
    KeyChecks m_keyChecks;
    RunningRequests m_running;
    bool m_isStopping = false;
};

} // namespace cicadalb
