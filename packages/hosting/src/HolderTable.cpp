#include "HolderTable.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    /// Added to the load of a holder in another failure domain, so that it is chosen only if those of the engine's domain have no room.
    constexpr double otherDomainPenalty = 10;
    /// Loads within the same part of the capacity are alike.
    constexpr double loadStepsInCapacity = 2;

} // namespace

std::chrono::milliseconds HolderTable::interval() const
{
    return std::clamp(intervalPerHolder * static_cast<int>(m_holders.size()), shortestInterval, longestInterval);
}

std::optional<HostId> HolderTable::choose(const TargetId& engine, const FailureDomain& domain, TimePoint now) const
{
    std::optional<HostId> chosen;
    std::pair<double, std::uint64_t> lowest;
    for (const auto& [id, holder] : m_holders) {
        if (holder.isCutOff || holder.running >= holder.capacity || now - holder.lastCallAt > interval() + silenceLimit)
            continue;
        const auto load = std::floor(loadStepsInCapacity * holder.running / holder.capacity) + (holder.failureDomain == domain ? 0 : otherDomainPenalty);
        const std::pair cost(load, static_cast<std::uint64_t>(placementHash(engine.value() + " " + id.value())));
        if (chosen && cost >= lowest)
            continue;
        chosen = id;
        lowest = cost;
    }
    return chosen;
}

HeldRun& HolderTable::assign(const HostId& host, const RunId& id, const ItemKey& item, TimePoint now)
{
    auto& run = m_runs[id];
    run.id = id;
    run.item = item;
    run.holder = host;
    run.lastEventAt = now;
    m_runOfItem[item] = id;
    auto& holder = m_holders[host];
    ++holder.running;
    holder.unconfirmed.insert(id);
    return run;
}

HeldRun* HolderTable::present(const HostId& host, const RunId& id, RunOrigin origin)
{
    const ItemKey item { origin.submission, origin.index };
    const auto holder = m_holders.find(host);
    if (holder == m_holders.end() || m_runOfItem.contains(item))
        return nullptr;
    auto& run = m_runs[id];
    run.id = id;
    run.item = item;
    run.holder = host;
    run.isConfirmed = true;
    run.origin = std::move(origin);
    m_runOfItem[item] = id;
    ++holder->second.running;
    return &run;
}

void HolderTable::recordEnd(HeldRun& run)
{
    if (run.hasEnd)
        return;
    run.hasEnd = true;
    if (const auto holder = m_holders.find(run.holder); holder != m_holders.end())
        --holder->second.running;
}

void HolderTable::erase(const RunId& id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    recordEnd(found->second);
    if (const auto holder = m_holders.find(found->second.holder); holder != m_holders.end())
        holder->second.unconfirmed.erase(id);
    if (const auto own = m_runOfItem.find(found->second.item); own != m_runOfItem.end() && own->second == id)
        m_runOfItem.erase(own);
    m_runs.erase(found);
}

void HolderTable::release(const RunId& id, bool isUrgent)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    if (const auto holder = m_holders.find(found->second.holder); holder != m_holders.end() && isUrgent)
        holder->second.hasUrgentStop = true;
    erase(id);
}

void HolderTable::releaseIf(const std::function<bool(const HeldRun&)>& isReleased)
{
    std::vector<RunId> released;
    for (const auto& [id, run] : m_runs) {
        if (isReleased(run))
            released.push_back(id);
    }
    for (const auto& id : released)
        erase(id);
}

HeldRun* HolderTable::find(const RunId& id)
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : &found->second;
}

HeldRun* HolderTable::findByItem(const ItemKey& item)
{
    const auto found = m_runOfItem.find(item);
    return found == m_runOfItem.end() ? nullptr : find(found->second);
}

std::vector<RunId> HolderTable::presentedRuns(const SubmissionId& submission) const
{
    std::vector<RunId> ids;
    for (auto own = m_runOfItem.lower_bound({ submission, 0 }); own != m_runOfItem.end() && own->first.submission == submission; ++own) {
        if (m_runs.at(own->second).origin)
            ids.push_back(own->second);
    }
    return ids;
}

std::vector<HeldRun> HolderTable::removeRunsOf(const HostId& host)
{
    std::vector<HeldRun> removed;
    for (const auto& [id, run] : m_runs) {
        if (run.holder == host)
            removed.push_back(run);
    }
    for (const auto& run : removed)
        erase(run.id);
    return removed;
}

std::vector<HeldRun> HolderTable::recordCall(const RunCall& call, TimePoint now)
{
    auto& holder = m_holders[call.host];
    std::vector<HeldRun> lost;
    if (holder.process != call.process) {
        lost = removeRunsOf(call.host);
        holder = {};
        holder.process = call.process;
    }
    holder.lastCallAt = now;
    if (call.isComplete)
        holder.lastNewsAt = now;
    // Calls overtake each other.
    if (call.number < holder.lastCall)
        return lost;
    holder.lastCall = call.number;
    holder.failureDomain = call.failureDomain;
    holder.capacity = call.capacity;
    holder.isCutOff = call.isCutOff;
    holder.stated = call.held;
    for (const auto& id : call.held) {
        if (holder.unconfirmed.erase(id) > 0)
            m_runs.at(id).isConfirmed = true;
    }
    // A reply that was lost has started nothing.
    for (const auto& id : holder.unconfirmed) {
        if (auto& run = m_runs.at(id); call.lastReply >= run.startReply)
            run.startReply = 0;
    }
    return lost;
}

std::vector<HeldRun> HolderTable::removeLost(TimePoint now)
{
    std::vector<HeldRun> lost;
    for (auto holder = m_holders.begin(); holder != m_holders.end();) {
        if (now - holder->second.lastCallAt <= interval() + lossTimeout) {
            ++holder;
            continue;
        }
        for (auto& run : removeRunsOf(holder->first))
            lost.push_back(std::move(run));
        holder = m_holders.erase(holder);
    }
    return lost;
}

bool HolderTable::hasWork(const HostId& host) const
{
    const auto holder = m_holders.find(host);
    if (holder == m_holders.end() || holder->second.hasUrgentStop)
        return true;
    const auto& unconfirmed = holder->second.unconfirmed;
    return std::any_of(unconfirmed.begin(), unconfirmed.end(), [this](const auto& id) { return m_runs.at(id).startReply == 0; });
}

HolderTable::Work HolderTable::takeWork(const HostId& host)
{
    Work work;
    const auto found = m_holders.find(host);
    if (found == m_holders.end())
        return work;
    auto& holder = found->second;
    work.replyNumber = ++holder.repliesSent;
    holder.hasUrgentStop = false;
    for (const auto& id : holder.unconfirmed) {
        auto& run = m_runs.at(id);
        if (run.startReply > 0)
            continue;
        run.startReply = work.replyNumber;
        work.starts.push_back(id);
    }
    for (const auto& id : holder.stated) {
        const auto* run = find(id);
        if (!run || run->holder != host)
            work.stops.push_back(id);
    }
    return work;
}

bool HolderTable::hasRecentNews(const HostId& host, Duration age, TimePoint now) const
{
    const auto holder = m_holders.find(host);
    return holder != m_holders.end() && now - holder->second.lastNewsAt <= age;
}

} // namespace cicadalb
