#include "cicadalb/site/TargetRegistry.h"

#include <set>
#include <utility>

namespace cicadalb {

void TargetRegistry::replace(std::vector<RegisteredTarget> targets, const RegistryReading& reading)
{
    std::set<TargetId> present;
    for (auto& target : targets) {
        present.insert(target.id);
        put(std::move(target), reading.now);
    }
    std::vector<TargetId> absent;
    for (const auto& [id, target] : m_targets) {
        if (!present.contains(id))
            absent.push_back(id);
    }
    for (const auto& id : absent)
        remove(id, reading);
}

bool TargetRegistry::isOutdated(const RegisteredTarget& target, TimePoint now) const
{
    const auto found = m_newestReports.find(target.id);
    if (found == m_newestReports.end() || found->second.knownSince + reportRetention <= now)
        return false;
    const auto& newest = found->second;
    if (target.revision != 0 && target.revision < newest.revision)
        return true;
    const bool statesStart = target.startedAt != 0 && newest.startedAt != 0;
    if (statesStart && target.startedAt != newest.startedAt)
        return target.startedAt < newest.startedAt;
    if (target.startedAt != newest.startedAt || !target.reportNumber || !newest.number || *target.reportNumber >= *newest.number)
        return false;
    return statesStart || *newest.number - *target.reportNumber <= maximumLateReports;
}

void TargetRegistry::put(RegisteredTarget target, TimePoint now)
{
    if (isOutdated(target, now))
        return;
    m_newestReports.insert_or_assign(target.id, NewestReport { target.startedAt, target.reportNumber, target.revision, now });
    m_missingUntil.erase(target.id);
    const auto id = target.id;
    if (const auto mark = m_leaving.find(id); mark != m_leaving.end()) {
        if (target.startedAt > mark->second.startedAt)
            m_leaving.erase(mark);
        else
            target.isDraining = true;
    }
    m_targets.insert_or_assign(id, std::move(target));
}

bool TargetRegistry::markLeaving(const RegisteredTarget& target, TimePoint now)
{
    const auto found = m_targets.find(target.id);
    // The target may have restarted since the request was sent to it.
    if (found != m_targets.end() && found->second.startedAt > target.startedAt)
        return false;
    m_leaving.insert_or_assign(target.id, LeavingMark { target.startedAt, now });
    return found != m_targets.end() && !std::exchange(found->second.isDraining, true);
}

void TargetRegistry::remove(const TargetId& id, const RegistryReading& reading)
{
    const auto newest = m_newestReports.find(id);
    if (newest != m_newestReports.end() && reading.revision != 0) {
        if (reading.revision < newest->second.revision)
            return;
        newest->second.revision = reading.revision;
    }
    if (reading.mayReturnWithin > Duration::zero() && m_targets.contains(id)) {
        m_missingUntil.try_emplace(id, reading.now + reading.mayReturnWithin);
        return;
    }
    if (newest != m_newestReports.end())
        newest->second.knownSince = reading.now;
    erase(id);
}

void TargetRegistry::erase(const TargetId& id)
{
    m_missingUntil.erase(id);
    m_targets.erase(id);
}

bool TargetRegistry::expire(TimePoint now)
{
    std::erase_if(m_leaving, [now](const auto& entry) { return entry.second.markedAt + leavingMarkRetention <= now; });
    std::erase_if(m_newestReports, [&](const auto& entry) { return !m_targets.contains(entry.first) && entry.second.knownSince + reportRetention <= now; });
    std::vector<TargetId> expired;
    for (const auto& [id, until] : m_missingUntil) {
        if (until <= now)
            expired.push_back(id);
    }
    for (const auto& id : expired)
        erase(id);
    return !expired.empty();
}

const RegisteredTarget* TargetRegistry::find(const TargetId& id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::vector<const RegisteredTarget*> TargetRegistry::usableTargets(const PoolName& pool) const
{
    std::vector<const RegisteredTarget*> targets;
    for (const auto& [id, target] : m_targets) {
        if (target.pool == pool && !target.isDraining)
            targets.push_back(&target);
    }
    return targets;
}

} // namespace cicadalb
