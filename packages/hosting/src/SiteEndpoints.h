#pragma once

#include "KeyChecks.h"
#include "KeyRefusalLog.h"
#include "RequestForwarder.h"
#include "RequestRelay.h"
#include "ResultReader.h"
#include "RunningRequests.h"
#include "SiteDirectory.h"
#include "StreamOrigins.h"
#include "SubmissionIntake.h"

#include "cicadalb/base/Random.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/Metrics.h"

/// @file
/// HTTP endpoints of a host for callers and trainers.

namespace cicadalb {

struct SiteEndpointsOptions {
    HostId host;
    std::uint64_t seed = 0;
    KeyValidity keyValidity = KeyValidity({});
};

/// @brief Bound to one event loop.
class SiteEndpoints {
public:
    /// @param relay null: requests are not sent through other hosts
    SiteEndpoints(SiteEndpointsOptions, SiteDirectory&, const SiteProtocol&, RequestForwarder&, SubmissionIntake&, ResultReader&, StreamOrigins&, Metrics&, const Clock&, RequestRelay* relay = nullptr);

    Task<void> serve(ServerRequest&, ServerResponder&);
    /// @brief Makes the host report itself as not ready, before it stops. Requests that could last beyond @p endsAt are refused from now on, unless they may be
    /// repeated and usually end before it.
    void beginStopping(TimePoint endsAt) noexcept { m_endsAt = endsAt; }
    /// @brief Answers the requests that still wait for their targets.
    void endRequests() { m_running.cancelAll(); }
    bool isReady() const noexcept { return !m_endsAt && m_directory.isReady(); }

private:
    struct EndpointResult {
        HttpResponse response;
        RouteName route;
        RunState runState = RunState::NotSent;
        std::string reason;
        unsigned attempts = 0;
    };

    Task<EndpointResult> dispatch(HttpRequest&, const CallerRequest&, TimePoint receivedAt, ServerResponder&);
    Task<EndpointResult> handleRouted(HttpRequest&, TimePoint receivedAt, ServerResponder&);
    Task<EndpointResult> handleSubmissionCall(HttpRequest&, const CallerRequest&);
    Task<EndpointResult> forward(const HttpRequest&, std::shared_ptr<const SiteView>, const SiteRoute&, const KeyCheck&, TimePoint receivedAt, ServerResponder&);
    /// Limits the time of a request while this host stops. @return whether the request can end before the host does
    bool fitsBeforeEnd(ForwardRequest&) const;
    std::chrono::milliseconds timeUntilEnd(std::chrono::milliseconds maximum) const;
    EndpointResult makeUnanswered(const ForwardOutcome&, bool isTimeout) const;
    /// The route's default release if all registered targets run it.
    Task<Result<std::optional<SoftwareRelease>>> onlyRelease(const SiteRoute&);
    /// Makes a request that continues a stream go to the software that began it. @return why it cannot be continued, or nothing
    Task<std::optional<EndpointResult>> requireOrigin(ForwardRequest&, const ContinuedStream&);
    Task<EndpointResult> submit(const HttpRequest&, const SiteView&, const SiteRoute&, const KeyCheck&);
    Task<EndpointResult> readResults(const CallerRequest&, const KeyCheck&);
    Task<EndpointResult> readItem(const CallerRequest&, const KeyCheck&);
    Task<EndpointResult> endSubmission(const CallerRequest&, const KeyCheck&);
    /// Takes the keys out of the request and decides on them. @return why the request is refused, or nothing
    std::optional<EndpointResult> checkKeys(const SiteView&, bool isPublic, HttpFields&, KeyCheck&);
    /// Whether the submission belongs to another organisation than the caller.
    bool isOfOther(const SubmissionId&, const OrganisationName& owner, const KeyCheck&) const;
    void recordAnswer(const HttpRequest&, const CallerRequest&, const EndpointResult&, Duration latency);
    void logKeyRefusal(const KeyCheck&, std::uint64_t configuration);
    void logIntake(const Submission&, const SiteRoute&, IntakeOutcome) const;
    EndpointResult makeRefusal(unsigned status, std::string reason, Duration retryAfter) const;

    SiteEndpointsOptions m_options;
    SiteDirectory& m_directory;
    const SiteProtocol& m_protocol;
    RequestForwarder& m_forwarder;
    SubmissionIntake& m_intake;
    ResultReader& m_reader;
    StreamOrigins& m_streamOrigins;
    Metrics& m_metrics;
    const Clock& m_clock;
    RequestRelay* m_relay;
    KeyChecks m_keyChecks;
    KeyRefusalLog m_keyRefusalLog;
    Random m_random;
    RunningRequests m_running;
    /// When this host has to have answered all requests, if it stops.
    std::optional<TimePoint> m_endsAt;
};

} // namespace cicadalb
