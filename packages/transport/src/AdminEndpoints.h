#pragma once

#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/Metrics.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>

/// @file
/// The admin port: /healthz, /readyz, /metrics, and for operators with proof /state.

namespace cicadalb {

struct AdminSources {
    std::function<bool()> isReady;
    std::function<std::string()> metricsText;
    std::function<nlohmann::json()> state;
    /// Whether a request proves the operators' secret.
    std::function<bool(const ServerRequest&)> hasProof;
};

class AdminEndpoints {
public:
    explicit AdminEndpoints(AdminSources sources)
        : m_sources(std::move(sources))
    {
    }
    Task<void> serve(ServerRequest&, ServerResponder&);

private:
    HttpResponse respond(const ServerRequest&) const;
    HttpResponse health(const ServerRequest&) const;
    HttpResponse readiness(const ServerRequest&) const;
    HttpResponse metrics(const ServerRequest&) const;
    HttpResponse state(const ServerRequest&) const;

    AdminSources m_sources;
};

} // namespace cicadalb
