#include "cicadalb/rollout/WeightLoadLimiter.h"

#include <algorithm>

namespace cicadalb {

WeightLoadLimiter::WeightLoadLimiter(double loadsPerSecond, double burst, TimePoint now)
    : m_loadsPerSecond(loadsPerSecond)
    , m_burst(std::max(1.0, burst))
    , m_available(m_burst)
    , m_refilledAt(now)
{
}

bool WeightLoadLimiter::tryAcquire(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_available = std::min(m_burst, m_available + elapsed.count() * m_loadsPerSecond);
    m_refilledAt = now;
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace cicadalb
