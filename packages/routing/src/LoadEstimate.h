#pragma once

#include "cicadalb/routing/PoolBalancer.h"

/// @file
/// Estimate of a target's load from other hosts, based on its load reports.

namespace cicadalb {

class LoadEstimate {
public:
    /// @brief False if a report that was measured later has already been recorded.
    bool isNewer(const LoadReport& report, TimePoint now) const noexcept { return !m_hasReports || now - report.age >= m_measuredAt; }
    /// @param ownInFlight moving average of this host's requests in flight on the target
    void record(const LoadReport&, double ownInFlight, TimePoint now);
    /// @brief Updates otherRequests() for the age of the last report, at most once per refreshInterval.
    void refresh(TimePoint now) noexcept;
    /// @brief Expected number of requests of other hosts on the target: moves from the last report to the average of reports with age.
    double otherRequests() const noexcept { return m_otherRequests; }
    /// @brief Estimated number of requests that the target serves concurrently; 0 if unknown.
    double parallelism() const noexcept { return m_parallelism; }
    bool hasReports() const noexcept { return m_hasReports; }

private:
    /// Age at which the weight of the last report is one half.
    static constexpr std::chrono::duration<double> halfWeightAge { 0.5 };

    static constexpr std::chrono::milliseconds refreshInterval { 5 };

    bool m_hasReports = false;
    double m_lastOtherRequests = 0;
    double m_averageOtherRequests = 0;
    double m_parallelism = 0;
    double m_otherRequests = 0;
    TimePoint m_measuredAt {};
    TimePoint m_refreshedAt {};
};

inline void LoadEstimate::refresh(TimePoint now) noexcept
{
    if (!m_hasReports || now - m_refreshedAt < refreshInterval)
        return;
    const std::chrono::duration<double> age = now - m_measuredAt;
    const auto reportWeight = halfWeightAge / (halfWeightAge + age);
    m_otherRequests = reportWeight * m_lastOtherRequests + (1 - reportWeight) * m_averageOtherRequests;
    m_refreshedAt = now;
}

} // namespace cicadalb
