#pragma once

#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/Metrics.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>

/// @file
/// Pages of the admin port: /healthz, /readyz and /metrics, and /state for operators that prove the operators' secret.

namespace cicadalb {

/// @brief Functions that supply the content of the pages.
struct AdminSources {
    std::function<bool()> isReady;
    std::function<std::string()> metricsText;
    std::function<nlohmann::json()> state;
    /// Whether a request carries a valid proof of the operators' secret.
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
