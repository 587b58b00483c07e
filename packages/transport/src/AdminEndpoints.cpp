#include "AdminEndpoints.h"

#include "Problem.h"

#include <algorithm>
#include <array>

namespace cicadalb {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnauthorized = 401;
    constexpr unsigned statusServiceUnavailable = 503;

    HttpResponse textResponse(unsigned status, std::string body, std::string_view type)
    {
        HttpResponse response;
        response.status = status;
        response.fields.emplace_back("Content-Type", type);
        response.body = std::move(body);
        return response;
    }

} // namespace

Task<void> AdminEndpoints::serve(ServerRequest& request, ServerResponder& responder)
{
    co_await responder.send(respond(request));
}

HttpResponse AdminEndpoints::respond(const ServerRequest& request) const
{
    struct Row {
        std::string_view path;
        HttpResponse (AdminEndpoints::*handler)(const ServerRequest&) const;
    };
    static constexpr auto rows = std::to_array<Row>({
        { "/healthz", &AdminEndpoints::health },
        { "/readyz", &AdminEndpoints::readiness },
        { "/metrics", &AdminEndpoints::metrics },
        { "/state", &AdminEndpoints::state },
    });
    const auto row = std::find_if(rows.begin(), rows.end(), [&request](const auto& candidate) { return candidate.path == request.path; });
    if (row == rows.end() || request.method != "GET")
        return problemResponse(Error { ErrorCode::RouteUnknown, "no such page", request.path }, {});
    return (this->*row->handler)(request);
}

HttpResponse AdminEndpoints::health(const ServerRequest& /*request*/) const
{
    return textResponse(statusOk, "ok\n", "text/plain");
}

HttpResponse AdminEndpoints::readiness(const ServerRequest& /*request*/) const
{
    const bool isReady = m_sources.isReady();
    return textResponse(isReady ? statusOk : statusServiceUnavailable, isReady ? "ready\n" : "unready\n", "text/plain");
}

HttpResponse AdminEndpoints::metrics(const ServerRequest& /*request*/) const
{
    return textResponse(statusOk, m_sources.metricsText(), "text/plain; version=0.0.4");
}

HttpResponse AdminEndpoints::state(const ServerRequest& request) const
{
    if (!m_sources.hasProof(request)) {
        ProblemDetails details;
        details.status = statusUnauthorized;
        return problemResponse(Error { ErrorCode::CallerUnknown, "the proof of the operators' secret is missing or invalid", "X-Cicadalb-Proof" }, details);
    }
    return textResponse(statusOk, m_sources.state().dump(), "application/json");
}

} // namespace cicadalb
