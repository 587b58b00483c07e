#pragma once

#include "cicadalb/routing/PoolBalancer.h"

/// @file
/// What a target's reports say of the work that other hosts gave it.

namespace cicadalb {

class LoadView {
public:
    /// @param ownInFlight own requests in flight on the target, averaged over the last while
    void record(const LoadReport&, double ownInFlight, TimePoint now);
    /// @brief Expected requests of other hosts on the target: the last report, aged towards the usual value.
    double others(TimePoint now) const noexcept;
    /// @brief Requests that the target serves at a time, as far as it is known; 0 if it is not.
    double parallelism() const noexcept { return m_parallelism; }
    bool hasReports() const noexcept { return m_hasReports; }

private:
    /// Age at which a report counts half.
    static constexpr std::chrono::duration<double> halfAge { 0.5 };

    bool m_hasReports = false;
    double m_lastOthers = 0;
    double m_usualOthers = 0;
    double m_parallelism = 0;
    TimePoint m_measuredAt {};
};

inline double LoadView::others(TimePoint now) const noexcept
{
    const std::chrono::duration<double> age = now - m_measuredAt;
    const auto trust = halfAge / (halfAge + age);
    return trust * m_lastOthers + (1 - trust) * m_usualOthers;
}

} // namespace cicadalb
