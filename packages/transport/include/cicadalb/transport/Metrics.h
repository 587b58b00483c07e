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

/// @file
/// The process's metrics (prometheus-cpp). Thread-safe.

namespace cicadalb {

/// @brief How a request ended, as a metric label.
struct RequestOutcome {
    RouteName route;
    /// HTTP status told to the caller.
    unsigned status = 0;
    RunState runState = RunState::NotSent;
    Duration latency {};
};

class Metrics {
public:
    Metrics();

    void countRequest(const RequestOutcome&);
    void countAttempt(const RouteName&);
    void setGauge(const std::string& name, const std::string& help, double value);

    /// @brief The page in the text exposition format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Histogram>& m_latency;
};

} // namespace cicadalb
