#include "LoadView.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr double usualGain = 0.1;
    constexpr double parallelismGain = 0.3;

} // namespace

void LoadView::record(const LoadReport& report, double ownInFlight, TimePoint now)
{
    const double running = report.running;
    m_lastOthers = std::max(0.0, running + report.queued - ownInFlight);
    m_usualOthers = m_hasReports ? m_usualOthers + usualGain * (m_lastOthers - m_usualOthers) : m_lastOthers;
    if (report.queued > 0 && m_parallelism > 0)
        m_parallelism += parallelismGain * (running - m_parallelism);
    else
        m_parallelism = std::max(m_parallelism, running);
    m_measuredAt = now - report.age;
    m_hasReports = true;
    m_refreshedAt = {};
    refresh(now);
}

} // namespace cicadalb
