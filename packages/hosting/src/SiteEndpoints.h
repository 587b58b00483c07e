#pragma once

#include "RequestForwarder.h"
#include "ResultReader.h"
#include "SiteDirectory.h"
#include "SubmissionIntake.h"

#include "cicadalb/base/Random.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/Metrics.h"

/// @file
/// What callers and trainers may ask of a host.

namespace cicadalb {

struct SiteEndpointsOptions {
    HostId host;
    std::uint64_t seed = 0;
};

/// @brief Bound to one event loop.
class SiteEndpoints {
public:
    SiteEndpoints(SiteEndpointsOptions, SiteDirectory&, const SiteProtocol&, RequestForwarder&, SubmissionIntake&, ResultReader&, Metrics&, const Clock&);

    Task<void> serve(ServerRequest&, ServerResponder&);
    /// @brief Called when the host is about to stop: it reports itself as not ready.
    void beginStopping() noexcept { m_isStopping = true; }
    bool isReady() const noexcept { return !m_isStopping && m_directory.isReady(); }

private:
    struct Served {
        HttpResponse response;
        RouteName route;
        RunState runState = RunState::NotSent;
        std::string reason;
        unsigned attempts = 0;
    };

    Task<Served> answer(const HttpRequest&, const CallerCall&, TimePoint receivedAt, ServerResponder&);
    Task<Served> routed(const HttpRequest&, TimePoint receivedAt, ServerResponder&);
    Task<Served> forward(const HttpRequest&, std::shared_ptr<const SiteView>, const SiteRoute&, TimePoint receivedAt, ServerResponder&);
    Task<Served> submit(const HttpRequest&, const SiteRoute&);
    Task<Served> readResults(const CallerCall&);
    Task<Served> readItem(const CallerCall&);
    Task<Served> endSubmission(const CallerCall&);
    void recordAnswer(const HttpRequest&, const CallerCall&, const Served&, Duration latency);
    void recordIntake(const Submission&, const SiteRoute&, IntakeOutcome) const;
    Served refused(unsigned status, std::string reason, Duration retryAfter) const;

    SiteEndpointsOptions m_options;
    SiteDirectory& m_directory;
    const SiteProtocol& m_protocol;
    RequestForwarder& m_forwarder;
    SubmissionIntake& m_intake;
    ResultReader& m_reader;
    Metrics& m_metrics;
    const Clock& m_clock;
    Random m_random;
    bool m_isStopping = false;
};

} // namespace cicadalb
