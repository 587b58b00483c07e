#include "cicadalb/routing/CrashEvidence.h"

#include <algorithm>

namespace cicadalb {

void CrashEvidence::add(const CrashReport& report)
{
    auto& requests = m_reports[{ { report.target.id, report.target.startedAt }, report.host }];
    requests.insert(report.requests.begin(), report.requests.end());
    update();
}

void CrashEvidence::remove(const TargetStart& target, const HostId& host)
{
    if (m_reports.erase({ { target.id, target.startedAt }, host }) > 0)
        update();
}

void CrashEvidence::setHarmless(const RequestFingerprint& request, bool isHarmless)
{
    if (isHarmless ? m_harmless.insert(request).second : m_harmless.erase(request) > 0)
        update();
}

void CrashEvidence::removeRequest(const RequestFingerprint& request)
{
    for (auto& [key, requests] : m_reports)
        requests.erase(request);
    update();
}

void CrashEvidence::clear()
{
    m_reports.clear();
    m_harmless.clear();
    m_suspects.clear();
}

void CrashEvidence::update()
{
    std::map<RequestFingerprint, std::set<Start>> crashes;
    for (const auto& [key, requests] : m_reports) {
        for (const auto& request : requests) {
            if (!m_harmless.contains(request))
                crashes[request].insert(key.first);
        }
    }
    m_suspects.clear();
    for (const auto& [request, starts] : crashes) {
        const auto explainsAll = [&, &own = starts, &self = request](const auto& other) {
            return other.first != self && std::includes(other.second.begin(), other.second.end(), own.begin(), own.end());
        };
        const auto count = static_cast<unsigned>(starts.size());
        const bool isExplainedByOther = count >= crashesToBlock && std::any_of(crashes.begin(), crashes.end(), explainsAll);
        const bool isBlocked = count >= crashesToBlockAnyway || (count >= crashesToBlock && !isExplainedByOther);
        m_suspects[request] = { request, count, isBlocked };
    }
}

SuspectRequest CrashEvidence::suspicion(const RequestFingerprint& request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? SuspectRequest { request, 0, false } : found->second;
}

std::vector<SuspectRequest> CrashEvidence::suspects(unsigned minimumCrashes, std::size_t maximumCount) const
{
    std::vector<SuspectRequest> list;
    for (const auto& [request, suspect] : m_suspects) {
        if (suspect.crashes >= minimumCrashes)
            list.push_back(suspect);
    }
    std::sort(list.begin(), list.end(), [](const auto& left, const auto& right) { return left.crashes > right.crashes; });
    list.resize(std::min(list.size(), maximumCount));
    return list;
}

} // namespace cicadalb
