#include "cicadalb/transport/Metrics.h"

#include <prometheus/text_serializer.h>

namespace cicadalb {

namespace {

    const prometheus::Histogram::BucketBoundaries latencyBuckets {
        0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 360
    };

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

Metrics::Metrics()
    : m_requests(prometheus::BuildCounter().Name("cicadalb_requests_total").Help("Requests by route, status and run state").Register(m_registry))
    , m_attempts(prometheus::BuildCounter().Name("cicadalb_attempts_total").Help("Attempts on targets by route").Register(m_registry))
    , m_keyDecisions(prometheus::BuildCounter().Name("cicadalb_key_decisions_total").Help("Requests by the decision on the key of their organisation").Register(m_registry))
    , m_latency(prometheus::BuildHistogram().Name("cicadalb_request_seconds").Help("Time from a request's header to the end of its answer").Register(m_registry))
{
}

void Metrics::countRequest(const RequestOutcome& outcome)
{
    m_requests.Add({ { "route", outcome.route.value() }, { "status", std::to_string(outcome.status) }, { "run_state", std::string(name(outcome.runState)) } }).Increment();
    m_latency.Add({ { "route", outcome.route.value() } }, latencyBuckets).Observe(seconds(outcome.latency));
}

void Metrics::countAttempt(const RouteName& route)
{
    m_attempts.Add({ { "route", route.value() } }).Increment();
}

void Metrics::countKeyDecision(std::string_view decision)
{
    m_keyDecisions.Add({ { "decision", std::string(decision) } }).Increment();
}

void Metrics::setGauge(const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add({}).Set(value);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace cicadalb
