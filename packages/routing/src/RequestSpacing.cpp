#include "cicadalb/routing/RequestSpacing.h"

#include <algorithm>

namespace cicadalb {

void RequestSpacing::setInterval(Duration interval, TimePoint now) noexcept
{
    m_interval = interval;
    m_nextAt = std::min(m_nextAt, now + interval);
}

std::optional<Duration> RequestSpacing::reserve(Duration maximumWait, TimePoint now) noexcept
{
    const auto wait = untilNext(now);
    if (wait > maximumWait)
        return std::nullopt;
    record(now);
    return wait;
}

void RequestSpacing::record(TimePoint now) noexcept
{
    m_nextAt = std::max<TimePoint>(m_nextAt, now - maximumUnusedTime) + m_interval;
}

Duration RequestSpacing::untilNext(TimePoint now) const noexcept
{
    return std::max(Duration::zero(), m_nextAt - now);
}

} // namespace cicadalb
