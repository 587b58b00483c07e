#include "SampleRunner.h"

#include "cicadalb/base/Event.h"

/// @file
/// Log lines of SampleRunner.

namespace cicadalb {

namespace {

    /// Shorter pauses of placement cost nothing that is worth a line.
    constexpr std::chrono::milliseconds loggedPause { 500 };

    /// @return an empty text for no duration
    std::string millisecondsText(std::optional<Duration> duration)
    {
        return duration ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count()) : std::string();
    }

} // namespace

bool SampleRunner::updatePlacementPause(TimePoint requestedAt)
{
    const auto now = m_clock.now();
    m_placementGate.recordLoopDelay(now - requestedAt);
    const auto permission = sendPermission();
    const bool isPaused = permission != PlacementPermission::Granted;
    if (isPaused && !m_placementPausedSince)
        m_placementPausedSince = now;
    if (isPaused && !m_isPlacementPauseLogged && now - *m_placementPausedSince >= loggedPause) {
        m_isPlacementPauseLogged = true;
        logEvent(Event::PlacementPaused, { { "cause", std::string(name(permission)) }, { "loop-delay-ms", millisecondsText(m_placementGate.loopDelay()) }, { "age-ms", millisecondsText(recordAge()) }, { "waiting", std::to_string(m_scheduler.waitingCount()) }, { "running", std::to_string(m_scheduler.runningCount()) } });
    }
    if (isPaused)
        return false;
    if (m_isPlacementPauseLogged)
        logEvent(Event::PlacementResumed, { { "milliseconds", millisecondsText(now - *m_placementPausedSince) } });
    m_placementPausedSince.reset();
    m_isPlacementPauseLogged = false;
    return true;
}

void SampleRunner::logIgnoredRecord(const std::string& key, Revision revision, const Error& error)
{
    logEvent(Event::RecordIgnored, { { "key", key }, { "revision", std::to_string(revision) }, { "cause", error.message } });
}

void SampleRunner::logSubmissionOpened(const OpenSubmission& entry, UnixTime age) const
{
    const auto& submission = entry.submission;
    logEvent(Event::SubmissionOpened, { { "id", submission.id.value() }, { "revision", std::to_string(entry.revision) }, { "model", submission.model.value() }, { "step", std::to_string(submission.step) }, { "items", std::to_string(submission.items.size()) }, { "stored", std::to_string(entry.log->stored().size()) }, { "oldest-version", std::to_string(submission.oldestVersion) }, { "age-ms", std::to_string(age.count()) }, { "accepted-under", std::to_string(submission.acceptedUnder) }, { "configuration", std::to_string(m_directory.view()->configuration.version) }, { "pools", std::to_string(entry.policy.pools.size()) } });
}

void SampleRunner::logSubmissionClosed(const SubmissionId& id, std::string_view reason, std::size_t results, Revision revision) const
{
    logEvent(Event::SubmissionClosed, { { "id", id.value() }, { "reason", std::string(reason) }, { "results", std::to_string(results) }, { "revision", std::to_string(revision) }, { "records-age-ms", millisecondsText(recordAge()) } });
}

void SampleRunner::logRunEnded(const OpenSubmission& entry, const ItemKey& key, const RunRecord& run, RunOutcome end, std::size_t events, const std::string& versions) const
{
    logEvent(Event::SampleRunEnded, { { "id", entry.submission.items[key.index].id.value() }, { "submission", key.submission.value() }, { "engine", run.engine.value() }, { "software", run.softwareVersion.value() }, { "from-event", std::to_string(run.eventsAtStart) }, { "registry", std::to_string(m_directory.registryRevision()) }, { "end", std::string(name(end)) }, { "events", std::to_string(events) }, { "versions", versions }, { "ms", millisecondsText(m_clock.now() - run.placedAt) }, { "sent-after-ms", millisecondsText(run.sent.delay) }, { "records-age-ms", millisecondsText(run.sent.recordAge) }, { "cause", run.cause } });
}

void SampleRunner::logRewardCall(const RewardCall& reward, const SampleItem& item, const ItemKey& key, const ForwardOutcome& outcome, const SendRecord& sent) const
{
    logEvent(Event::RewardCallEnded, { { "id", reward.id.value() }, { "item", item.id.value() }, { "submission", key.submission.value() }, { "state", std::string(name(outcome.state)) }, { "status", std::to_string(outcome.answer.status) }, { "attempts", std::to_string(outcome.attempts) }, { "sent-after-ms", millisecondsText(sent.delay) }, { "records-age-ms", millisecondsText(sent.recordAge) }, { "cause", outcome.cause } });
}

void SampleRunner::logAppend(const OpenSubmission& entry, std::size_t results, const std::string& failure) const
{
    logEvent(Event::ResultsAppended, { { "submission", entry.submission.id.value() }, { "results", std::to_string(results) }, { "segments", std::to_string(entry.log->segments()) }, { "stored", std::to_string(entry.log->stored().size()) }, { "failure", failure } });
}

} // namespace cicadalb
