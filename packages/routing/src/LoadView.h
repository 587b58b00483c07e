#pragma once

#include "cicadalb/routing/PoolBalancer.h"

/// @file
/// What a target's reports say of the work that other hosts gave it.

namespace cicadalb {

class LoadView {
public:
    /// @brief False for a report that was overtaken by a later one.
    bool isNewer(const LoadReport& report, TimePoint now) const noexcept { return !m_hasReports || now - report.age >= m_measuredAt; }
    /// @param ownInFlight own requests in flight on the target, averaged over the last while
    void record(const LoadReport&, double ownInFlight, TimePoint now);
    /// @brief Ages the last report, at most once in refreshInterval.
    void refresh(TimePoint now) noexcept;
    /// @brief Expected requests of other hosts on the target: the last report, aged towards the usual value.
    double others() const noexcept { return m_others; }
    /// @brief Requests that the target serves at a time, as far as it is known; 0 if it is not.
    double parallelism() const noexcept { return m_parallelism; }
    bool hasReports() const noexcept { return m_hasReports; }

private:
    /// Age at which a report counts half.
    static constexpr std::chrono::duration<double> halfAge { 0.5 };

    static constexpr std::chrono::milliseconds refreshInterval { 5 };

    bool m_hasReports = false;
    double m_lastOthers = 0;
    double m_usualOthers = 0;
    double m_parallelism = 0;
    double m_others = 0;
    TimePoint m_measuredAt {};
    TimePoint m_refreshedAt {};
};

inline void LoadView::refresh(TimePoint now) noexcept
{
    if (!m_hasReports || now - m_refreshedAt < refreshInterval)
        return;
    const std::chrono::duration<double> age = now - m_measuredAt;
    const auto trust = halfAge / (halfAge + age);
    m_others = trust * m_lastOthers + (1 - trust) * m_usualOthers;
    m_refreshedAt = now;
}

} // namespace cicadalb
