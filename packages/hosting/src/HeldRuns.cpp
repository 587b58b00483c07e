#include "HeldRuns.h"

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    milliseconds millisecondsSince(TimePoint time, TimePoint now) { return std::chrono::duration_cast<milliseconds>(now - time); }

} // namespace

HeldRuns::Run* HeldRuns::find(const RunId& id)
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : &found->second;
}

void HeldRuns::setUrgent(Run& run, bool isUrgent)
{
    if (run.isUrgent == isUrgent)
        return;
    run.isUrgent = isUrgent;
    m_urgentRuns = isUrgent ? m_urgentRuns + 1 : m_urgentRuns - 1;
}

bool HeldRuns::add(RunAssignment assignment, std::uint64_t owner, TimePoint now)
{
    const auto [found, isNew] = m_runs.try_emplace(assignment.id);
    if (!isNew)
        return false;
    auto& run = found->second;
    run.owner = owner;
    run.startedAt = now;
    run.expiresAt = now + assignment.remainingTime;
    run.text = assignment.text;
    if (run.text.eventCount == 0)
        run.text.release = assignment.release;
    run.eventsAtStart = run.text.eventCount;
    run.assignment = std::move(assignment);
    return true;
}

void HeldRuns::recordAnswer(const RunId& id, const RateStatement& rate, bool isEngineLeaving)
{
    auto* run = find(id);
    if (!run)
        return;
    const bool isRateNews = rate.kind == RateStatementKind::Limited || run->assignment.isLimited;
    if (isRateNews)
        run->rate = rate;
    run->isEngineLeaving = isEngineLeaving;
    run->hasAnswerNews = isRateNews || isEngineLeaving;
}

void HeldRuns::recordEvent(const RunId& id, const StreamEvent& event, WeightVersion version, TimePoint now)
{
    auto* run = find(id);
    if (!run)
        return;
    run->text.append(event.id, event.data, version);
    run->unacknowledged.push_back({ event, version, now });
}

bool HeldRuns::recordEnd(const RunId& id, RunEnd end, bool isReleaseCertain)
{
    auto* run = find(id);
    if (!run)
        return false;
    const bool hasSeveralVersions = run->text.versions.size() > 1;
    const bool isWhole = end.outcome == RunOutcome::Complete && run->text.eventCount > 0;
    const bool isAllowed = isReleaseCertain && !(run->assignment.requiresSingleVersion && hasSeveralVersions);
    end.isRequestingReward = isWhole && isAllowed && run->assignment.item().reward.has_value();
    const auto isRequestingReward = end.isRequestingReward;
    run->end = std::move(end);
    setUrgent(*run, true);
    return isRequestingReward;
}

void HeldRuns::recordReward(const RunId& id, RewardOutcome reward)
{
    auto* run = find(id);
    if (!run)
        return;
    run->reward = std::move(reward);
    setUrgent(*run, true);
}

void HeldRuns::remove(const RunId& id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    setUrgent(found->second, false);
    m_runs.erase(found);
}

std::vector<RunId> HeldRuns::ids() const
{
    std::vector<RunId> ids;
    ids.reserve(m_runs.size());
    for (const auto& [id, run] : m_runs)
        ids.push_back(id);
    return ids;
}

std::vector<RunId> HeldRuns::runningIds() const
{
    std::vector<RunId> ids;
    for (const auto& [id, run] : m_runs) {
        if (!run.end)
            ids.push_back(id);
    }
    return ids;
}

std::vector<RunId> HeldRuns::expiredIds(TimePoint now) const
{
    std::vector<RunId> ids;
    for (const auto& [id, run] : m_runs) {
        if (run.expiresAt <= now)
            ids.push_back(id);
    }
    return ids;
}

const RunAssignment* HeldRuns::assignment(const RunId& id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : &found->second.assignment;
}

bool HeldRuns::hasNews(const Run& run, std::uint64_t owner) const
{
    return run.owner != owner || !run.unacknowledged.empty() || run.hasAnswerNews || (run.end && !run.isEndKnown) || (run.reward && !run.isRewardKnown);
}

RunReport HeldRuns::report(const RunId& id, Run& run, std::uint64_t owner, TimePoint now) const
{
    RunReport report;
    report.id = id;
    report.isEngineLeaving = run.isEngineLeaving;
    report.rate = run.rate;
    report.end = run.end;
    report.reward = run.reward;
    report.eventsBefore = run.text.eventCount;
    if (run.owner != owner) {
        const auto& assignment = run.assignment;
        report.origin = RunOrigin { assignment.submission.id, assignment.index, assignment.engine, assignment.engineStartedAt, assignment.release, run.eventsAtStart, millisecondsSince(run.startedAt, now), run.text };
        return report;
    }
    report.eventsBefore -= run.unacknowledged.size();
    report.events.reserve(run.unacknowledged.size());
    for (const auto& event : run.unacknowledged)
        report.events.push_back({ event.event.id, event.event.data, event.version, millisecondsSince(event.receivedAt, now) });
    return report;
}

std::vector<RunReport> HeldRuns::reports(std::uint64_t owner, bool isUrgentOnly, TimePoint now)
{
    std::vector<RunReport> reports;
    for (auto& [id, run] : m_runs) {
        if (isUrgentOnly ? !run.isUrgent : !hasNews(run, owner))
            continue;
        reports.push_back(report(id, run, owner, now));
        setUrgent(run, false);
    }
    return reports;
}

void HeldRuns::apply(const RunReceipt& receipt, std::uint64_t owner)
{
    auto* run = find(receipt.id);
    if (!run)
        return;
    run->owner = owner;
    auto acknowledged = run->text.eventCount - run->unacknowledged.size();
    for (; acknowledged < receipt.events && !run->unacknowledged.empty(); ++acknowledged)
        run->unacknowledged.pop_front();
    run->isEndKnown = receipt.hasEnd;
    run->isRewardKnown = receipt.hasReward;
    run->hasAnswerNews = false;
}

} // namespace cicadalb
