#include "LoadEstimate.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr double otherRequestsAverageWeight = 0.1;
    constexpr double parallelismAverageWeight = 0.3;

} // namespace

void LoadEstimate::record(const LoadReport& report, double ownInFlight, TimePoint now)
{
    const double running = report.running;
    m_lastOtherRequests = std::max(0.0, running + report.queued - ownInFlight);
    m_averageOtherRequests = m_hasReports
        ? m_averageOtherRequests + otherRequestsAverageWeight * (m_lastOtherRequests - m_averageOtherRequests)
        : m_lastOtherRequests;
    if (report.queued > 0 && m_parallelism > 0)
        m_parallelism += parallelismAverageWeight * (running - m_parallelism);
    else
        m_parallelism = std::max(m_parallelism, running);
    m_measuredAt = now - report.age;
    m_hasReports = true;
    m_refreshedAt = {};
    refresh(now);
}

} // namespace cicadalb
