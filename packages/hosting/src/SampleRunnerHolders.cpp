#include "SampleRunner.h"

#include "cicadalb/base/Event.h"

#include <algorithm>

/// @file
/// What SampleRunner does with the hosts that hold runs.

namespace cicadalb {

Task<RunReply> SampleRunner::serveHolder(RunCall call)
{
    const auto self = shared_from_this();
    RunReply identity;
    identity.owner = m_isStopped ? 0 : m_settings.ownerId;
    // The call was meant for an earlier owner, so that its reports may lack what this one does not know.
    if (identity.owner == 0 || call.owner != identity.owner)
        co_return identity;
    const auto now = m_clock.now();
    const auto holdersBefore = m_holders.holderCount();
    loseRuns(m_holders.recordCall(call, now));
    if (m_holders.holderCount() > holdersBefore)
        logEvent(Event::RunHolderFound, { { "host", call.host.value() }, { "capacity", std::to_string(call.capacity) }, { "runs", std::to_string(call.held.size()) } });
    for (auto& report : call.reports)
        applyReport(call.host, std::move(report));
    schedulePlacement();
    const auto until = now + std::min(call.maximumWait, m_holders.interval());
    ClockTimer timer(m_executor, m_clock);
    while (!m_isStopped && m_clock.now() < until && !m_holders.hasWork(call.host)) {
        m_waitingHolders[call.host].insert(&timer);
        co_await timer.waitUntil(until);
        m_waitingHolders[call.host].erase(&timer);
    }
    co_return m_isStopped ? RunReply {} : replyTo(call);
}

RunReply SampleRunner::replyTo(const RunCall& call)
{
    RunReply reply;
    reply.owner = m_settings.ownerId;
    reply.interval = m_holders.interval();
    auto work = m_holders.takeWork(call.host);
    reply.number = work.replyNumber;
    reply.stops = std::move(work.stops);
    for (const auto& id : work.starts) {
        const auto* held = m_holders.find(id);
        const auto run = m_runs.find(held->item);
        const auto entry = openSubmission(held->item.submission);
        const auto* target = run == m_runs.end() ? nullptr : m_directory.registry().find(run->second.engine);
        if (!entry || !target) {
            const auto item = held->item;
            m_holders.release(id, false);
            if (entry)
                finishRun(entry, item, { RunOutcome::NotRun, "the engine left the registry" });
            continue;
        }
        reply.starts.push_back(assignmentOf(*entry, id, held->item, *target));
    }
    for (const auto& report : call.reports) {
        const auto* held = m_holders.find(report.id);
        if (held && !held->origin && held->holder == call.host)
            reply.receipts.push_back({ held->id, held->events, held->hasEnd, held->hasReward });
    }
    return reply;
}

void SampleRunner::wakeHolder(const HostId& host)
{
    if (const auto found = m_waitingHolders.find(host); found != m_waitingHolders.end()) {
        for (auto* timer : found->second)
            timer->cancel();
    }
}

void SampleRunner::wakeHolders()
{
    for (const auto& [host, timers] : m_waitingHolders) {
        for (auto* timer : timers)
            timer->cancel();
    }
}

void SampleRunner::applyReport(const HostId& host, RunReport report)
{
    if (!m_holders.find(report.id) && report.origin)
        presentRun(host, report);
    auto* held = m_holders.find(report.id);
    if (!held || held->holder != host)
        return;
    if (held->origin && report.origin)
        held->origin = std::move(report.origin);
    // An end after events that are missing here is reported again, together with them.
    if (held->origin || report.eventsBefore > held->events)
        return;
    const auto key = held->item;
    const auto entry = openSubmission(key.submission);
    if (!entry)
        return;
    const auto run = m_runs.find(key);
    const auto* target = run == m_runs.end() ? nullptr : m_directory.registry().find(run->second.engine);
    if (target && report.isEngineLeaving)
        m_directory.markLeaving(*target);
    if (target && report.rate)
        m_permits.limits().apply({ target->id, target->startedAt }, *report.rate, held->lastEventAt, m_clock.now());
    applyEvents(*held, report);
    // Each step may release the run.
    if (report.end && !held->hasEnd) {
        m_holders.recordEnd(*held);
        finishRun(entry, key, *report.end);
        held = m_holders.find(report.id);
    }
    if (!held || !report.reward || !held->hasEnd || held->hasReward || !m_scheduler.isOpen(key))
        return;
    held->hasReward = true;
    const bool hasSucceeded = report.reward->hasSucceeded;
    settle(entry, key, hasSucceeded ? ResultState::Succeeded : ResultState::GivenUp, std::move(report.reward->signature), hasSucceeded ? "judged" : "its reward call failed");
}

void SampleRunner::applyEvents(HeldRun& held, const RunReport& report)
{
    if (held.hasEnd || report.eventsBefore > held.events)
        return;
    const auto now = m_clock.now();
    for (auto index = held.events - report.eventsBefore; index < report.events.size(); ++index) {
        const auto& event = report.events[index];
        held.lastEventAt = std::max(held.lastEventAt, now - event.age);
        m_scheduler.onEvent(held.item, event.id, event.data, event.version, held.lastEventAt);
        ++held.events;
    }
}

/// Notes a run that a host holds for an earlier coordinator, and takes it over once its submission is open.
void SampleRunner::presentRun(const HostId& host, RunReport& report)
{
    const auto submission = report.origin->submission;
    const auto entry = openSubmission(submission);
    if (m_hasSubmissions && !entry)
        return;
    const auto* presented = m_holders.present(host, report.id, std::move(*report.origin));
    report.origin.reset();
    if (presented && entry && entry->isScheduled)
        (void)takeOverRun(report.id);
}

void SampleRunner::takeOverRuns(const SubmissionId& submission)
{
    for (const auto& id : m_holders.presentedRuns(submission))
        (void)takeOverRun(id);
}

/// @return whether the item was waiting
bool SampleRunner::takeOverRun(const RunId& id)
{
    auto& held = *m_holders.find(id);
    const auto now = m_clock.now();
    auto origin = std::move(*held.origin);
    held.origin.reset();
    held.events = origin.text.eventCount;
    held.lastEventAt = now;
    const Run run { id, held.holder, origin.engine, origin.release.version, origin.eventsAtStart, now - origin.age };
    const auto events = origin.text.eventCount;
    if (!m_scheduler.adopt(held.item, { origin.engine, origin.engineStartedAt, origin.release, run.startedAt, origin.eventsAtStart, std::move(origin.text) }, now)) {
        m_holders.release(id, false);
        return false;
    }
    m_runs[held.item] = run;
    logEvent(Event::RunTakenOver, { { "submission", held.item.submission.value() }, { "index", std::to_string(held.item.index) }, { "holder", held.holder.value() }, { "engine", run.engine.value() }, { "events", std::to_string(events) } });
    return true;
}

/// Places the items of lost runs again.
void SampleRunner::loseRuns(const std::vector<HeldRun>& runs)
{
    if (runs.empty())
        return;
    logEvent(Event::RunHolderLost, { { "host", runs.front().holder.value() }, { "runs", std::to_string(runs.size()) } });
    for (const auto& held : runs) {
        const auto entry = openSubmission(held.item.submission);
        if (!entry || held.origin)
            continue;
        if (!held.hasEnd)
            finishRun(entry, held.item, { RunOutcome::Cancelled, "its holder was lost" });
        else if (!held.hasReward && m_scheduler.isOpen(held.item))
            requestReward(entry, held.item);
    }
}

} // namespace cicadalb
