#include "SampleRunner.h"

#include "cicadalb/base/ClockTimer.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/services/StreamProgress.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnprocessable = 422;
    constexpr unsigned statusServerError = 500;
    /// Longest time between two events of a run; the scheduler moves stalled runs sooner.
    constexpr milliseconds stallTimeout { 5000 };
    /// Added to the time to live of items, since the clocks of hosts differ.
    constexpr milliseconds clockSkewMargin { 3000 };
    /// Interval at which a submission that waits for a newer configuration is looked at.
    constexpr milliseconds configurationPollInterval { 25 };
    /// Delay after a failed call to the store.
    constexpr milliseconds storeRetryDelay { 200 };
    /// Texts with fewer events are not stored, since generating them again is cheaper.
    constexpr std::size_t minimumStoredEvents = 12;
    /// A longer text could not be stored as a result: a value of the store holds at most 1 MB in base64.
    constexpr std::size_t maximumTextBytes = std::size_t { 700 } << 10U;
    /// Interval between searches for expired submissions ...
    constexpr std::chrono::seconds expirySearchInterval { 10 };
    /// ... and the time for which these are kept beyond resultRetention.
    constexpr std::chrono::seconds expiryMargin { 60 };
    /// Limit on the keys in one transaction.
    constexpr std::size_t maximumTransactionKeys = 32;

    UnixTime unixNow()
    {
        return std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
    }

    /// The route of a submission, or null if the configuration has none. A route of another kind that matches the path is another route.
    const SiteRoute* routeOf(const SiteView& view, const Submission& submission)
    {
        const auto* route = view.routes.find(submission.authority, submission.path);
        return route && route->kind == RequestKind::Submission ? route : nullptr;
    }

    /// Pools that a route sends to; none if the route no longer exists.
    std::vector<PoolName> poolsOf(const SiteRoute* route)
    {
        std::vector<PoolName> pools;
        if (!route)
            return pools;
        pools.reserve(route->pools.size());
        for (const auto& share : route->pools)
            pools.push_back(share.pool);
        return pools;
    }

    std::string versionsText(const std::set<WeightVersion>& versions)
    {
        std::string text;
        for (const auto version : versions)
            text += (text.empty() ? "" : " ") + std::to_string(version);
        return text;
    }

} // namespace

RunOutcome runOutcomeOf(AnswerKind kind, unsigned status) noexcept
{
    if (kind == AnswerKind::NotRun || kind == AnswerKind::Misdirected)
        return RunOutcome::NotRun;
    if (kind != AnswerKind::Answered)
        return RunOutcome::Interrupted;
    if (status == statusUnprocessable)
        return RunOutcome::Impossible;
    // Any other error, such as a timeout of the target, is not caused by the item.
    if (status == statusServerError)
        return RunOutcome::ServerError;
    return status == statusOk ? RunOutcome::Complete : RunOutcome::Interrupted;
}

SampleRunner::SampleRunner(asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, SiteDirectory& directory, TargetClients& clients, RequestPermits& permits, CrashGuard& crashGuard, const Clock& clock, SampleRunnerSettings settings)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_protocol(protocol)
    , m_directory(directory)
    , m_clients(clients)
    , m_permits(permits)
    , m_clock(clock)
    , m_settings(settings)
    , m_forwarder(directory, protocol, clients, permits, crashGuard, clock, settings.reachability)
    , m_nextExpirySearchAt(clock.now() + expirySearchInterval)
    , m_placementGate(settings.endTime)
{
    m_scheduler.setRateLimits(&permits.limits());
}

void SampleRunner::start()
{
    updateEngines();
    const auto apply = [weak = weak_from_this()](const WatchResult& result, Duration) {
        if (const auto self = weak.lock())
            self->applyRecords(result.entries);
    };
    RecordWatchSettings watch { std::string(submissionPrefix) };
    if (const auto interval = std::chrono::duration_cast<milliseconds>(m_placementGate.recordInterval()); interval.count() > 0) {
        watch.maximumWait = std::min(watch.maximumWait, interval);
        watch.keepsCurrent = true;
    }
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_clock, std::move(watch), RecordWatchHandler { apply, apply, {} });
    asio::co_spawn(m_executor, takeOver(), asio::detached);
}

/// Restores the incomplete texts that the previous coordinator stored, then watches the submissions.
Task<void> SampleRunner::takeOver()
{
    const auto self = shared_from_this();
    const auto record = co_await m_store.read(std::string(partialTextsKey));
    if (m_isStopped)
        co_return;
    if (record && record.value())
        restorePartialTexts(*record.value());
    else if (!record)
        logIgnoredRecord(std::string(partialTextsKey), 0, record.error());
    m_watch->start();
}

void SampleRunner::stop()
{
    m_isStopped = true;
    m_watch->stop();
    cancelRuns();
    for (const auto& [id, open] : m_openSubmissions)
        open->isClosed = true;
    m_openSubmissions.clear();
}

Task<void> SampleRunner::wait(Duration duration) const
{
    ClockTimer timer(m_executor, m_clock);
    (void)co_await timer.waitFor(duration);
}

void SampleRunner::updateEngines()
{
    std::vector<SchedulableEngine> engines;
    for (const auto& [id, target] : m_directory.registry().targets()) {
        if (!target.isDraining && !target.models.empty())
            engines.push_back({ id, target.pool, target.slots, target.models, target.softwareVersion, target.startedAt });
    }
    m_scheduler.setEngines(engines);
    for (const auto& [id, target] : m_directory.registry().targets()) {
        if (target.isDraining && target.leavesWithin)
            m_scheduler.setLeaving(id, m_clock.now() + *target.leavesWithin);
    }
    if (const auto view = m_directory.view()) {
        for (const auto& [id, entry] : m_openSubmissions)
            m_scheduler.setPools(id, poolsOf(routeOf(*view, entry->submission)));
    }
    schedulePlacement();
}

void SampleRunner::applyRecords(const std::vector<KeyValueEntry>& entries)
{
    // End records first, so that ended submissions in a snapshot are not opened.
    for (const auto& entry : entries) {
        const auto key = parseSubmissionKey(entry.key);
        if (key.kind != SubmissionKeyKind::End || entry.isDeleted)
            continue;
        applyEnd(key.id, entry.revision);
    }
    std::vector<NewSubmission> added;
    for (const auto& entry : entries) {
        const auto key = parseSubmissionKey(entry.key);
        if (key.kind != SubmissionKeyKind::Submission)
            continue;
        if (entry.isDeleted)
            m_storedSubmissions.erase(key.id);
        else if (!isRefusalRecord(entry.value))
            applySubmissionRecord(entry, added);
    }
    // A new coordinator opens many at once, one after the other, and places items meanwhile.
    std::stable_sort(added.begin(), added.end(), [](const auto& left, const auto& right) { return left.dueAt < right.dueAt; });
    for (auto& entry : added) {
        asio::co_spawn(
            m_executor, [self = shared_from_this(), submission = std::move(entry.submission), revision = entry.revision]() mutable { return self->open(std::move(submission), revision); }, asio::detached);
    }
    schedulePlacement();
}

void SampleRunner::applySubmissionRecord(const KeyValueEntry& entry, std::vector<NewSubmission>& added)
{
    // Most records of a snapshot are of submissions that have ended; their items are not decoded.
    const auto id = parseSubmissionKey(entry.key).id;
    auto& known = m_storedSubmissions[id];
    if (known.isEnded || m_openSubmissions.contains(id)) {
        const auto submittedAt = decodeSubmissionTime(entry.value);
        if (submittedAt)
            known.submittedAt = submittedAt.value();
        else
            logIgnoredRecord(entry.key, entry.revision, submittedAt.error());
        return;
    }
    auto submission = decodeSubmission(entry.value);
    if (!submission) {
        logIgnoredRecord(entry.key, entry.revision, submission.error());
        return;
    }
    known.submittedAt = submission.value().submittedAt;
    const auto dueAt = dueTime(submission.value());
    added.push_back({ std::move(submission.value()), entry.revision, dueAt });
}

/// When the submission has to be finished, by the terms that are known now.
UnixTime SampleRunner::dueTime(const Submission& submission) const
{
    const auto terms = m_directory.view() ? termsOf(submission) : submission.acceptedTerms;
    return submission.submittedAt + (terms ? std::chrono::duration_cast<UnixTime>(terms->finishWithin) : UnixTime(0));
}

/// Whether the configuration in force is at least as new as the one under which the submission was accepted: an older one may lack its
/// route, or send it to other pools.
bool SampleRunner::hasConfigurationFor(const Submission& submission) const
{
    return m_directory.isReady() && m_directory.view()->configuration.version >= submission.acceptedUnder;
}

/// Terms of the submission's route or, while the configuration lacks the route, those under which the submission was accepted.
std::optional<SubmissionTerms> SampleRunner::termsOf(const Submission& submission) const
{
    const auto* route = routeOf(*m_directory.view(), submission);
    return route ? route->submissionTerms() : submission.acceptedTerms;
}

Task<void> SampleRunner::open(Submission submission, Revision revision)
{
    const auto self = shared_from_this();
    const auto id = submission.id;
    auto entry = std::make_shared<OpenSubmission>();
    m_openSubmissions.emplace(id, entry);
    ++m_openings;
    m_endsCheckedAsOf.reset();
    entry->log = std::make_shared<ResultLog>(m_store, id);
    while (!m_isStopped && !entry->isClosed && !hasConfigurationFor(submission))
        co_await wait(configurationPollInterval);
    while (!m_isStopped && !entry->isClosed) {
        if (co_await entry->log->load())
            break;
        co_await wait(storeRetryDelay);
    }
    // A record of an earlier build has no terms, so that its submission waits for the route.
    auto accepted = m_isStopped || entry->isClosed ? std::nullopt : termsOf(submission);
    while (!m_isStopped && !entry->isClosed && !accepted) {
        co_await wait(configurationPollInterval);
        accepted = termsOf(submission);
    }
    if (m_isStopped || entry->isClosed)
        co_return;
    const auto view = m_directory.view();
    const auto& terms = *accepted;
    const auto age = std::max(UnixTime(0), unixNow() - submission.submittedAt);
    const auto submittedAt = m_clock.now() - age;
    entry->policy.softDeadline = submittedAt + terms.finishWithin;
    entry->policy.expiresAt = submittedAt + terms.itemTimeToLive + clockSkewMargin;
    entry->policy.requiresSingleVersion = terms.requiresSingleVersion;
    entry->policy.maximumServerErrors = std::max(1U, terms.maximumAttempts);
    const auto* organisation = view->configuration.organisation(submission.organisation);
    entry->policy.priority = organisation ? organisation->priority.value_or(terms.priority) : terms.priority;
    entry->policy.firstEventWithin = terms.firstEventWithin;
    // Without a route the items wait, until it is back or their time to live ends.
    entry->policy.pools = poolsOf(routeOf(*view, submission));
    for (auto& item : submission.items)
        item.prompt = m_protocol.prompt(item.fields);
    entry->submission = std::move(submission);
    entry->revision = revision;
    m_scheduler.add(entry->submission, entry->policy, entry->log->stored());
    logSubmissionOpened(*entry, age);
    if (entry->log->stored().size() >= entry->submission.items.size())
        close(id, "all results are stored");
    schedulePlacement();
}

void SampleRunner::close(const SubmissionId& id, std::string_view reason, Revision revision)
{
    const auto found = m_openSubmissions.find(id);
    if (found == m_openSubmissions.end())
        return;
    const auto entry = found->second;
    entry->isClosed = true;
    m_openSubmissions.erase(found);
    for (const auto& key : m_scheduler.remove(id))
        stopRun(key);
    stopRewardCalls(id);
    m_textMemory.erase(m_textMemory.lower_bound({ id, 0 }), m_textMemory.upper_bound({ id, std::numeric_limits<std::size_t>::max() }));
    logSubmissionClosed(id, reason, entry->log->stored().size(), revision);
    schedulePlacement();
}

void SampleRunner::schedulePlacement()
{
    if (m_isPlacementScheduled || m_isStopped || m_isFinishing)
        return;
    m_isPlacementScheduled = true;
    asio::post(m_executor, [self = shared_from_this(), requestedAt = m_clock.now()] { self->placeItems(requestedAt); });
}

void SampleRunner::placeItems(TimePoint requestedAt)
{
    m_isPlacementScheduled = false;
    // During a pause, tick() requests the next placement.
    if (m_isStopped || m_isFinishing || !updatePlacementPause(requestedAt))
        return;
    for (const auto& placement : m_scheduler.place(m_clock.now()))
        asio::co_spawn(m_executor, runItem(placement), asio::detached);
}

void SampleRunner::tick()
{
    if (m_isFinishing)
        return;
    const auto now = m_clock.now();
    for (const auto& key : m_scheduler.expiredItems(now)) {
        const auto found = m_openSubmissions.find(key.submission);
        stopRun(key);
        if (found != m_openSubmissions.end())
            settle(found->second, key, ResultState::GivenUp, {}, "its time to live has ended");
    }
    // A run that is moved during a pause could not be placed again.
    if (!isPlacementPaused()) {
        for (const auto& key : m_scheduler.itemsToMove(now)) {
            const auto found = m_runs.find(key);
            if (found != m_runs.end())
                found->second->cancellation->cancel();
        }
    }
    if (now >= m_nextPartialTextsAt && !m_isStoringPartialTexts) {
        m_nextPartialTextsAt = now + m_settings.partialTextsInterval;
        auto texts = m_scheduler.partialTexts(minimumStoredEvents, maximumStoredTextBytes);
        m_isStoringPartialTexts = !texts.empty();
        if (m_isStoringPartialTexts)
            asio::co_spawn(m_executor, storePartialTexts(std::move(texts)), asio::detached);
    }
    if (shouldCheckEnds(now))
        checkEnds();
    if (now >= m_nextExpirySearchAt) {
        m_nextExpirySearchAt = now + expirySearchInterval;
        asio::co_spawn(
            m_executor, [self = shared_from_this()]() { return self->deleteExpiredSubmissions(); }, asio::detached);
    }
    schedulePlacement();
}

Task<void> SampleRunner::runItem(Placement placement)
{
    const auto self = shared_from_this();
    const auto& key = placement.item;
    const auto found = m_openSubmissions.find(key.submission);
    if (m_isStopped || m_isFinishing || found == m_openSubmissions.end() || !m_scheduler.isOpen(key))
        co_return;
    const auto entry = found->second;
    const auto run = std::make_shared<Run>();
    m_runs[key] = run;
    auto end = RunOutcome::NotRun;
    const auto* initialText = m_scheduler.partialText(key);
    RunRecord record { placement.engine, {}, initialText ? initialText->eventCount : 0, m_clock.now() };
    record.cause = "the engine left the registry or has restarted";
    const auto* registered = m_directory.registry().find(placement.engine);
    if (registered && registered->startedAt == placement.engineStartedAt) {
        const auto target = *registered;
        record.softwareVersion = target.softwareVersion;
        record.cause.clear();
        end = co_await stream(entry, key, target, run->cancellation, record);
    }
    if (const auto own = m_runs.find(key); own != m_runs.end() && own->second == run)
        m_runs.erase(own);
    if (entry->isClosed && !m_isStopped && record.sent.delay)
        logRunEnded(*entry, key, record, RunOutcome::Cancelled, 0, {});
    if (m_isStopped || entry->isClosed)
        co_return;
    const auto* text = m_scheduler.partialText(key);
    const auto events = text ? text->eventCount : 0;
    std::string versions;
    if (text)
        versions = versionsText(text->versions);
    const auto nextAction = m_scheduler.onRunEnd(key, end, m_clock.now());
    if (!m_scheduler.partialText(key) || m_scheduler.partialText(key)->eventCount == 0)
        m_textMemory.erase(key);
    logRunEnded(*entry, key, record, end, events, versions);
    if (nextAction == ItemAction::RequestReward)
        asio::co_spawn(m_executor, runRewardCall(entry, key), asio::detached);
    else if (nextAction == ItemAction::GiveUp)
        settle(entry, key, ResultState::GivenUp, {}, name(end));
    schedulePlacement();
}

RunOutcome SampleRunner::processEvents(const ItemKey& key, std::string_view bytes, EventStreamParser& parser, WeightVersion& version, WeightVersion oldest, std::size_t& eventCount)
{
    for (const auto& event : parser.parse(bytes)) {
        ++eventCount;
        if (const auto changed = m_protocol.eventWeightVersion(event))
            version = *changed;
        if (version < oldest)
            return RunOutcome::WrongWeights;
        const auto* text = m_scheduler.partialText(key);
        if (!text)
            return RunOutcome::Cancelled;
        if (text->lastEventId && event.id != *text->lastEventId + 1)
            return RunOutcome::Interrupted;
        m_scheduler.onEvent(key, event.id, event.data, version, m_clock.now());
    }
    return RunOutcome::Complete;
}

/// Whether the item's text, and the event that is being read, may be kept.
bool SampleRunner::hasMemoryFor(const ItemKey& key, const EventStreamParser& parser)
{
    const auto* text = m_scheduler.partialText(key);
    if (!text)
        return true;
    if (text->text.size() > maximumTextBytes)
        return false;
    const auto share = m_textMemory.try_emplace(key, MessageMemory::ofProcess()).first;
    return share->second.resize(text->text.capacity() + parser.memoryBytes());
}

Task<RunOutcome> SampleRunner::stream(const OpenSubmissionPointer& entry, ItemKey key, const RegisteredTarget& target, std::shared_ptr<HttpCancellation> cancellation, RunRecord& record)
{
    auto& cause = record.cause;
    const auto& item = entry->submission.items[key.index];
    SampleAttempt attempt;
    attempt.context.expectedTarget = target.id;
    attempt.context.organisation = entry->submission.organisation;
    attempt.context.remainingTime = std::chrono::duration_cast<milliseconds>(entry->policy.expiresAt - m_clock.now());
    attempt.priority = std::min(9U, entry->policy.priority);
    if (const auto* text = m_scheduler.partialText(key))
        attempt.lastEventId = text->lastEventId;

    const auto sentAt = m_clock.now();
    EventStreamParser parser;
    StreamProgress progress(stallTimeout);
    WeightVersion version = 0;
    auto kind = AnswerKind::Unusable;
    auto runOutcome = RunOutcome::Complete;
    unsigned status = 0;
    HttpStreamHandler handler;
    handler.stallTimeout = stallTimeout;
    handler.onHead = [&](const HttpResponse& head) -> Task<bool> {
        status = head.status;
        kind = m_protocol.classifyAnswer(head, RequestId(item.id.value()));
        m_permits.observe(target, kind, head.fields, sentAt);
        version = m_protocol.answerWeightVersion(head.fields).value_or(0);
        if (kind != AnswerKind::Misdirected && m_protocol.isLeaving(head.fields))
            m_directory.markLeaving(target);
        co_return true;
    };
    handler.onPart = [&](std::string_view part) -> Task<bool> {
        std::size_t events = 0;
        if (kind == AnswerKind::Answered && status == statusOk)
            runOutcome = processEvents(key, part, parser, version, entry->submission.oldestVersion, events);
        if (runOutcome == RunOutcome::Complete && !hasMemoryFor(key, parser)) {
            cause = "the text is too long, or the texts of all runs exceed their memory";
            runOutcome = RunOutcome::Oversized;
        }
        if (runOutcome == RunOutcome::Complete && !progress.onPart(part.size(), events > 0, m_clock.now())) {
            cause = "the answer goes on without events";
            runOutcome = RunOutcome::Interrupted;
        }
        co_return runOutcome == RunOutcome::Complete;
    };
    const auto client = m_clients.client(0, target.endpoint);
    auto request = m_protocol.sampleRequest(entry->submission, item, attempt);
    // A repeat on another connection would be a second request to the engine, which the scheduler has not counted.
    request.mayRepeat = !m_permits.isLimited(target);
    bool isWithheld = false;
    request.mayBeSent = [&isWithheld, mayBeSent = sendCondition(record.placedAt, record.sent)] {
        isWithheld = !mayBeSent();
        return !isWithheld;
    };
    const auto response = co_await client->stream(std::move(request), entry->policy.expiresAt, std::move(handler), cancellation);
    if (cancellation->isCancelled()) {
        cause.clear();
        co_return RunOutcome::Cancelled;
    }
    if (runOutcome != RunOutcome::Complete)
        co_return runOutcome;
    if (m_settings.reachability && status != 0)
        m_settings.reachability->recordAnswer();
    if (!response) {
        cause = response.error().message;
        // This says nothing about the engine.
        if (isWithheld)
            co_return RunOutcome::Cancelled;
        if (m_settings.reachability && status == 0)
            (void)co_await m_settings.reachability->examineFailure(target.id);
        co_return response.error().code == ErrorCode::NotSent ? RunOutcome::NotRun : RunOutcome::Interrupted;
    }
    if (status == statusOk && parser.isWithinEvent()) {
        cause = "the answer ends within an event";
        co_return RunOutcome::Interrupted;
    }
    cause = "status " + std::to_string(status) + " " + std::string(name(kind));
    co_return runOutcomeOf(kind, status);
}

void SampleRunner::settle(const OpenSubmissionPointer& entry, const ItemKey& key, ResultState state, std::string rewardSignature, std::string_view reason)
{
    const auto& item = entry->submission.items[key.index];
    SampleResult result;
    result.item = item.id;
    result.state = state;
    if (const auto* text = m_scheduler.partialText(key); text && state == ResultState::Succeeded) {
        result.text = text->text;
        result.versions.assign(text->versions.begin(), text->versions.end());
        result.rewardSignature = std::move(rewardSignature);
    }
    logEvent(Event::SampleSettled, { { "id", item.id.value() }, { "submission", key.submission.value() }, { "succeeded", state == ResultState::Succeeded ? "yes" : "no" }, { "reason", std::string(reason) } });
    m_scheduler.settle(key);
    m_textMemory.erase(key);
    entry->log->add(std::move(result));
    if (!entry->isAppending) {
        entry->isAppending = true;
        asio::co_spawn(m_executor, append(entry), asio::detached);
    }
}

Task<void> SampleRunner::append(OpenSubmissionPointer entry)
{
    const auto self = shared_from_this();
    while (entry->log->hasPending() && !m_isStopped && !entry->isClosed) {
        co_await wait(m_settings.appendInterval);
        if (m_isStopped || m_isFinishing || entry->isClosed)
            break;
        const auto appended = co_await appendOnce(entry);
        if (!appended) {
            logAppend(*entry, 0, appended.error().message);
            co_await wait(storeRetryDelay);
            continue;
        }
        logAppend(*entry, appended.value(), {});
    }
    entry->isAppending = false;
    if (!entry->isClosed && entry->log->stored().size() >= entry->submission.items.size())
        close(entry->submission.id, "all results are stored");
}

Task<void> SampleRunner::deleteExpiredSubmissions()
{
    const auto self = shared_from_this();
    const auto oldest = unixNow() - m_settings.resultRetention - expiryMargin;
    std::vector<SubmissionId> expiredIds;
    for (const auto& [id, stored] : m_storedSubmissions) {
        if (stored.isEnded && stored.submittedAt.count() > 0 && stored.submittedAt < oldest)
            expiredIds.push_back(id);
    }
    for (const auto& id : expiredIds) {
        const auto segments = co_await m_store.snapshot(resultKeyPrefix(id), {});
        if (!segments || m_isStopped)
            co_return;
        Transaction removal;
        for (const auto& entry : segments.value().entries) {
            if (removal.removals.size() + 2 < maximumTransactionKeys)
                removal.removals.push_back(entry.key);
        }
        // The text is removed last, so that an incomplete removal is continued at the next search.
        const bool isLast = removal.removals.size() == segments.value().entries.size();
        if (isLast) {
            removal.removals.push_back(submissionKey(id));
            removal.removals.push_back(endKey(id));
        }
        const auto removed = co_await m_store.commit(std::move(removal));
        if (!removed || m_isStopped)
            co_return;
        if (isLast)
            m_storedSubmissions.erase(id);
    }
}

} // namespace cicadalb
