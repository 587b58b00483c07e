#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/routing/RunState.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <string_view>

/// @file
/// Metrics of the process, kept with prometheus-cpp. Thread-safe.

namespace cicadalb {

/// @brief Result and duration of a finished request, for the metrics.
struct RequestOutcome {
    RouteName route;
    /// HTTP status sent to the caller.
    unsigned status = 0;
    RunState runState = RunState::NotSent;
    Duration latency {};
};

class Metrics {
public:
    Metrics();

    /// @brief Counts a finished request and records its latency.
    void countRequest(const RequestOutcome&);
    /// @brief Counts an attempt on a target.
    void countAttempt(const RouteName&);
    /// @brief Counts a decision on the key of a request.
    void countKeyDecision(std::string_view decision);
    void setGauge(const std::string& name, const std::string& help, double value);

    /// @brief All metrics in the Prometheus text exposition format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_keyDecisions;
    prometheus::Family<prometheus::Histogram>& m_latency;
};

} // namespace cicadalb
