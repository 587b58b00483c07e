#include "cicadalb/routing/TargetRateLimits.h"

#include <algorithm>

namespace cicadalb {

namespace {

    /// Interval of a process that has no share of the limits.
    constexpr std::chrono::hours unboundedInterval { 1 };

} // namespace

Duration TargetRateLimits::intervalOf(double requestsPerSecond) const
{
    const auto rate = m_share * std::clamp(requestsPerSecond, lowestRequestsPerSecond, highestRequestsPerSecond);
    const std::chrono::duration<double> longest = unboundedInterval;
    const auto seconds = rate > 0 ? std::min(longest.count(), 1 / rate) : longest.count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

TargetRateLimits::Change TargetRateLimits::apply(const TargetStart& target, const RateStatement& statement, TimePoint sentAt, TimePoint now)
{
    const auto found = m_limits.find(target.id);
    const bool isKnown = found != m_limits.end() && found->second.startedAt == target.startedAt;
    if (statement.kind == RateStatementKind::Invalid || (found != m_limits.end() && found->second.startedAt > target.startedAt))
        return Change::None;
    if (statement.kind == RateStatementKind::Unlimited) {
        if (!isKnown || sentAt < found->second.statedAt)
            return Change::None;
        m_limits.erase(found);
        return Change::Lifted;
    }
    const auto interval = intervalOf(statement.requestsPerSecond);
    if (!isKnown) {
        m_limits.insert_or_assign(target.id, Limit { target.startedAt, statement.requestsPerSecond, now, RequestSpacing(interval, now) });
        return Change::Stated;
    }
    auto& limit = found->second;
    limit.statedAt = now;
    if (limit.requestsPerSecond == statement.requestsPerSecond)
        return Change::None;
    limit.requestsPerSecond = statement.requestsPerSecond;
    limit.spacing.setInterval(interval, now);
    return Change::Stated;
}

std::optional<double> TargetRateLimits::requestsPerSecond(const TargetStart& target) const
{
    const auto found = m_limits.find(target.id);
    if (found == m_limits.end() || found->second.startedAt != target.startedAt)
        return std::nullopt;
    return found->second.requestsPerSecond;
}

std::map<TargetId, double> TargetRateLimits::all() const
{
    std::map<TargetId, double> limits;
    for (const auto& [id, limit] : m_limits)
        limits.emplace(id, limit.requestsPerSecond);
    return limits;
}

void TargetRateLimits::setShare(double share, TimePoint now)
{
    if (share == m_share)
        return;
    m_share = share;
    for (auto& [id, limit] : m_limits)
        limit.spacing.setInterval(intervalOf(limit.requestsPerSecond), now);
}

void TargetRateLimits::restartSpacing(TimePoint now)
{
    for (auto& [id, limit] : m_limits)
        limit.spacing = RequestSpacing(intervalOf(limit.requestsPerSecond), now);
}

std::optional<Duration> TargetRateLimits::reserve(const TargetId& id, Duration maximumWait, TimePoint now)
{
    const auto found = m_limits.find(id);
    return found == m_limits.end() ? std::optional(Duration::zero()) : found->second.spacing.reserve(maximumWait, now);
}

void TargetRateLimits::record(const TargetId& id, TimePoint now)
{
    if (const auto found = m_limits.find(id); found != m_limits.end())
        found->second.spacing.record(now);
}

Duration TargetRateLimits::untilNext(const TargetId& id, TimePoint now) const
{
    const auto found = m_limits.find(id);
    return found == m_limits.end() ? Duration::zero() : found->second.spacing.untilNext(now);
}

void TargetRateLimits::retain(const std::function<bool(const TargetId&)>& isPresent)
{
    std::erase_if(m_limits, [&](const auto& entry) { return !isPresent(entry.first); });
}

} // namespace cicadalb
