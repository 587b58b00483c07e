#include "SampleRunner.h"

#include "Pause.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Added to the time to live of items, since the clocks of hosts differ.
    constexpr milliseconds clockSkewMargin { 3000 };
    /// Interval at which a submission that waits for a newer configuration is looked at.
    constexpr milliseconds configurationPollInterval { 25 };
    /// Delay after a failed call to the store.
    constexpr milliseconds storeRetryDelay { 200 };
    /// Whether a run makes too little progress is judged by news of at most this age.
    constexpr milliseconds maximumNewsAge { 150 };
    /// Texts with fewer events are not stored, since generating them again is cheaper.
    constexpr std::size_t minimumStoredEvents = 12;
    /// A value of the store holds at most 1 MB, a quarter of which is base64 overhead.
    constexpr std::size_t maximumStoredTextBytes = std::size_t { 600 } << 10U;
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

SampleRunner::SampleRunner(asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, SiteDirectory& directory, TargetClients& clients, RequestPermits& permits, CrashGuard& crashGuard, const Clock& clock, SampleRunnerSettings settings)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_protocol(protocol)
    , m_directory(directory)
    , m_permits(permits)
    , m_clock(clock)
    , m_settings(settings)
    , m_ownHolder(std::make_shared<RunHolder>(m_executor, protocol, directory, clients, permits, crashGuard, clock, settings.reachability, static_cast<RunObserver&>(*this)))
    , m_nextExpirySearchAt(clock.now() + expirySearchInterval)
    , m_placementGate(settings.endTime)
{
    m_scheduler.setRateLimits(&permits.limits());
}

SampleRunner::~SampleRunner() { m_ownHolder->stopAll(); }

void SampleRunner::start()
{
    if (m_settings.ownerId != 0)
        m_placesFrom = m_clock.now() + m_settings.presentationTime;
    updateEngines();
    const auto apply = [weak = weak_from_this()](bool isSnapshot) {
        return [weak, isSnapshot](const WatchResult& result, bool) {
            if (const auto self = weak.lock())
                self->applyRecords(result.entries, isSnapshot);
        };
    };
    RecordWatchSettings watch { std::string(submissionPrefix) };
    if (const auto interval = std::chrono::duration_cast<milliseconds>(m_placementGate.recordInterval()); interval.count() > 0) {
        watch.maximumWait = std::min(watch.maximumWait, interval);
        watch.keepsCurrent = true;
    }
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_clock, std::move(watch), RecordWatchHandler { apply(true), apply(false), {} });
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

void SampleRunner::restorePartialTexts(const KeyValueEntry& record)
{
    auto texts = decodePartialTexts(record.value);
    if (!texts)
        return logIgnoredRecord(record.key, record.revision, texts.error());
    m_scheduler.addPartialTexts(std::move(texts.value()));
}

Task<void> SampleRunner::storePartialTexts(std::vector<ItemText> texts)
{
    const auto self = shared_from_this();
    Transaction write;
    write.writes.push_back({ std::string(partialTextsKey), encodePartialTexts(texts) });
    const auto written = co_await m_store.commit(std::move(write));
    m_isStoringPartialTexts = false;
    // A missing record only costs the next coordinator some work, and the next write follows soon.
    if (!written)
        logIgnoredRecord(std::string(partialTextsKey), 0, written.error());
}

void SampleRunner::stop()
{
    m_isStopped = true;
    m_watch->stop();
    m_ownHolder->stopAll();
    wakeHolders();
    for (const auto& [id, open] : m_openSubmissions)
        open->isClosed = true;
    m_openSubmissions.clear();
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
            m_scheduler.setPools(id, poolsOf(view->routes.find(entry->submission.authority, entry->submission.path)));
    }
    schedulePlacement();
}

void SampleRunner::applyRecords(const std::vector<KeyValueEntry>& entries, bool isSnapshot)
{
    // End records first, so that ended submissions in a snapshot are not opened.
    for (const auto& entry : entries) {
        const auto key = parseSubmissionKey(entry.key);
        if (key.kind != SubmissionKeyKind::End || entry.isDeleted)
            continue;
        m_storedSubmissions[key.id].isEnded = true;
        close(key.id, "ended by its trainer");
    }
    for (const auto& entry : entries) {
        const auto key = parseSubmissionKey(entry.key);
        if (key.kind != SubmissionKeyKind::Submission)
            continue;
        if (entry.isDeleted)
            m_storedSubmissions.erase(key.id);
        else if (!isRefusalRecord(entry.value))
            applySubmissionRecord(entry);
    }
    m_hasSubmissions = m_hasSubmissions || isSnapshot;
    if (m_hasSubmissions)
        m_holders.releaseIf([this](const HeldRun& run) { return !m_openSubmissions.contains(run.item.submission); });
    schedulePlacement();
}

void SampleRunner::applySubmissionRecord(const KeyValueEntry& entry)
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
    asio::co_spawn(
        m_executor, [self = shared_from_this(), submission = std::move(submission.value()), revision = entry.revision]() mutable { return self->open(std::move(submission), revision); }, asio::detached);
}

/// Whether the configuration in force is at least as new as the one under which the submission was accepted: an older one may lack its
/// route, or send it to other pools.
bool SampleRunner::hasConfigurationFor(const Submission& submission) const
{
    return m_directory.isReady() && m_directory.view()->configuration.version >= submission.acceptedUnder;
}

Task<void> SampleRunner::open(Submission submission, Revision revision)
{
    const auto self = shared_from_this();
    const auto id = submission.id;
    auto entry = std::make_shared<OpenSubmission>();
    m_openSubmissions.emplace(id, entry);
    entry->log = std::make_shared<ResultLog>(m_store, id);
    while (!m_isStopped && !entry->isClosed && !hasConfigurationFor(submission))
        co_await pause(m_executor, configurationPollInterval);
    while (!m_isStopped && !entry->isClosed) {
        if (co_await entry->log->load())
            break;
        co_await pause(m_executor, storeRetryDelay);
    }
    if (m_isStopped || entry->isClosed)
        co_return;
    entry->view = m_directory.view();
    entry->route = entry->view->routes.find(submission.authority, submission.path);
    if (!entry->route) {
        m_openSubmissions.erase(id);
        logSubmissionClosed(id, "its route no longer exists", 0);
        co_return;
    }
    const auto age = std::max(UnixTime(0), unixNow() - submission.submittedAt);
    const auto submittedAt = m_clock.now() - age;
    entry->policy.softDeadline = submittedAt + entry->route->finishWithin;
    entry->policy.expiresAt = submittedAt + entry->route->itemTimeToLive + clockSkewMargin;
    entry->policy.requiresSingleVersion = entry->route->requiresSingleVersion;
    entry->policy.maximumServerErrors = std::max(1U, entry->route->maximumAttempts);
    const auto* organisation = entry->view->configuration.organisation(submission.organisation);
    entry->policy.priority = organisation ? organisation->priority.value_or(entry->route->priority) : entry->route->priority;
    entry->policy.firstEventWithin = entry->route->latencyObjective;
    entry->policy.pools = poolsOf(entry->route);
    auto items = std::move(submission.items);
    submission.items.clear();
    entry->header = submission;
    for (auto& item : items)
        item.prompt = m_protocol.prompt(item.fields);
    entry->submission = std::move(submission);
    entry->submission.items = std::move(items);
    entry->revision = revision;
    m_scheduler.add(entry->submission, entry->policy, entry->log->stored());
    entry->isScheduled = true;
    takeOverRuns(id);
    logSubmissionOpened(*entry, age);
    if (entry->log->stored().size() >= entry->submission.items.size())
        close(id, "all results are stored");
    schedulePlacement();
}

void SampleRunner::close(const SubmissionId& id, std::string_view reason)
{
    const auto found = m_openSubmissions.find(id);
    if (found == m_openSubmissions.end())
        return;
    const auto entry = found->second;
    entry->isClosed = true;
    m_openSubmissions.erase(found);
    for (const auto& key : m_scheduler.remove(id))
        stopRun(key);
    m_holders.releaseIf([&](const HeldRun& run) { return run.item.submission == id; });
    logSubmissionClosed(id, reason, entry->log->stored().size());
    schedulePlacement();
}

SampleRunner::OpenSubmissionPointer SampleRunner::openSubmission(const SubmissionId& id) const
{
    const auto found = m_openSubmissions.find(id);
    return found == m_openSubmissions.end() || found->second->isClosed ? nullptr : found->second;
}

void SampleRunner::stopRun(const ItemKey& key)
{
    if (const auto found = m_runs.find(key); found != m_runs.end()) {
        m_ownHolder->stop(found->second.id);
        m_runs.erase(found);
    }
    if (const auto* held = m_holders.findByItem(key)) {
        const auto holder = held->holder;
        m_holders.release(held->id, true);
        wakeHolder(holder);
    }
}

void SampleRunner::schedulePlacement()
{
    if (m_isPlacementScheduled || m_isStopped)
        return;
    m_isPlacementScheduled = true;
    asio::post(m_executor, [self = shared_from_this(), requestedAt = m_clock.now()] { self->placeItems(requestedAt); });
}

void SampleRunner::placeItems(TimePoint requestedAt)
{
    m_isPlacementScheduled = false;
    // During a pause, tick() requests the next placement.
    if (m_isStopped || m_clock.now() < m_placesFrom || !updatePlacementPause(requestedAt))
        return;
    for (const auto& placement : m_scheduler.place(m_clock.now()))
        startRun(placement);
}

void SampleRunner::tick()
{
    const auto now = m_clock.now();
    for (const auto& key : m_scheduler.expiredItems(now)) {
        const auto found = m_openSubmissions.find(key.submission);
        stopRun(key);
        if (found != m_openSubmissions.end())
            settle(found->second, key, ResultState::GivenUp, {}, "its time to live has ended");
    }
    loseRuns(m_holders.removeLost(now));
    for (const auto& key : m_scheduler.itemsToMove(now))
        moveRun(key);
    if (now >= m_nextPartialTextsAt && !m_isStoringPartialTexts) {
        m_nextPartialTextsAt = now + m_settings.partialTextsInterval;
        auto texts = m_scheduler.partialTexts(minimumStoredEvents, maximumStoredTextBytes);
        m_isStoringPartialTexts = !texts.empty();
        if (m_isStoringPartialTexts)
            asio::co_spawn(m_executor, storePartialTexts(std::move(texts)), asio::detached);
    }
    if (now >= m_nextExpirySearchAt) {
        m_nextExpirySearchAt = now + expirySearchInterval;
        asio::co_spawn(
            m_executor, [self = shared_from_this()]() { return self->deleteExpiredSubmissions(); }, asio::detached);
    }
    schedulePlacement();
}

RunAssignment SampleRunner::assignmentOf(const OpenSubmission& entry, const RunId& id, const ItemKey& key, const RegisteredTarget& target) const
{
    RunAssignment assignment;
    assignment.id = id;
    assignment.index = key.index;
    assignment.submission = entry.header;
    assignment.submission.items.push_back(entry.submission.items[key.index]);
    assignment.engine = target.id;
    assignment.engineStartedAt = target.startedAt;
    assignment.release = { target.pool, target.softwareVersion };
    assignment.remainingTime = std::chrono::duration_cast<milliseconds>(entry.policy.expiresAt - m_clock.now());
    assignment.priority = entry.policy.priority;
    assignment.requiresSingleVersion = entry.policy.requiresSingleVersion;
    assignment.isLimited = m_permits.isLimited(target);
    if (const auto* text = m_scheduler.partialText(key))
        assignment.text = *text;
    return assignment;
}

void SampleRunner::startRun(const Placement& placement)
{
    const auto& key = placement.item;
    const auto entry = openSubmission(key.submission);
    if (!entry)
        return;
    const auto now = m_clock.now();
    const auto* text = m_scheduler.partialText(key);
    auto& run = m_runs[key];
    run = { { m_settings.ownerId, ++m_lastRunNumber }, {}, placement.engine, {}, text ? text->eventCount : 0, now };
    const auto* target = m_directory.registry().find(placement.engine);
    if (!target || target->startedAt != placement.engineStartedAt) {
        finishRun(entry, key, { RunOutcome::NotRun, "the engine left the registry or has restarted" });
        return;
    }
    run.softwareVersion = target->softwareVersion;
    const auto holder = m_settings.ownerId != 0 ? m_holders.choose(target->id, target->failureDomain, now) : std::nullopt;
    if (!holder) {
        m_ownHolder->begin(assignmentOf(*entry, run.id, key, *target));
        return;
    }
    run.holder = *holder;
    m_holders.assign(*holder, run.id, key, now).events = run.eventsAtStart;
    wakeHolder(*holder);
}

void SampleRunner::moveRun(const ItemKey& key)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end())
        return;
    const auto& run = found->second;
    if (run.holder.isEmpty()) {
        m_ownHolder->cancel(run.id);
        return;
    }
    const auto entry = openSubmission(key.submission);
    if (!entry || !m_holders.hasRecentNews(run.holder, maximumNewsAge, m_clock.now()))
        return;
    const auto holder = run.holder;
    m_holders.release(run.id, true);
    wakeHolder(holder);
    finishRun(entry, key, { RunOutcome::Cancelled, {} });
}

/// Applies the end of the item's current run.
void SampleRunner::finishRun(const OpenSubmissionPointer& entry, const ItemKey& key, const RunEnd& end)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end())
        return;
    const auto run = found->second;
    m_runs.erase(found);
    const auto* text = m_scheduler.partialText(key);
    const auto events = text ? text->eventCount : 0;
    std::string versions;
    if (text)
        versions = versionsText(text->versions);
    const auto nextAction = m_scheduler.onRunEnd(key, end.outcome, m_clock.now());
    logRunEnded(*entry, key, run, end.outcome, events, versions, end.cause);
    const bool isJudgedByHolder = nextAction == ItemAction::RequestReward && end.isRequestingReward;
    const bool isKeptByHolder = nextAction == ItemAction::RequestReward && (isJudgedByHolder || !entry->submission.items[key.index].reward);
    if (!run.holder.isEmpty() && !isKeptByHolder)
        m_holders.release(run.id, false);
    if (nextAction == ItemAction::RequestReward && !isJudgedByHolder)
        requestReward(entry, key);
    else if (nextAction == ItemAction::GiveUp)
        settle(entry, key, ResultState::GivenUp, {}, name(end.outcome));
    schedulePlacement();
}

/// Requests the reward of a complete text from this process.
void SampleRunner::requestReward(const OpenSubmissionPointer& entry, const ItemKey& key)
{
    const auto& item = entry->submission.items[key.index];
    if (!item.reward) {
        settle(entry, key, ResultState::Succeeded, {}, "complete");
        return;
    }
    RunAssignment assignment;
    assignment.id = { m_settings.ownerId, ++m_lastRunNumber };
    assignment.index = key.index;
    assignment.submission = entry->header;
    assignment.submission.items.push_back(item);
    m_ownHolder->requestReward(std::move(assignment));
}

SampleRunner::OpenSubmissionPointer SampleRunner::openSubmissionOf(const RunAssignment& assignment) const
{
    const auto run = m_runs.find(assignment.key());
    return run == m_runs.end() || run->second.id != assignment.id ? nullptr : openSubmission(assignment.submission.id);
}

void SampleRunner::onRunAnswered(const RunAssignment&, const RateStatement&, bool) { }

void SampleRunner::onRunEvent(const RunAssignment& assignment, const StreamEvent& event, WeightVersion version)
{
    if (openSubmissionOf(assignment))
        m_scheduler.onEvent(assignment.key(), event.id, event.data, version, m_clock.now());
}

void SampleRunner::onRunEnded(const RunAssignment& assignment, RunEnd end)
{
    if (const auto entry = openSubmissionOf(assignment))
        finishRun(entry, assignment.key(), end);
}

void SampleRunner::onRewardEnded(const RunAssignment& assignment, RewardOutcome outcome)
{
    const auto entry = openSubmission(assignment.submission.id);
    if (entry && m_scheduler.isOpen(assignment.key()))
        settle(entry, assignment.key(), outcome.hasSucceeded ? ResultState::Succeeded : ResultState::GivenUp, std::move(outcome.signature), outcome.hasSucceeded ? "judged" : "its reward call failed");
}

bool SampleRunner::mayRequestReward(const RunAssignment&) const { return true; }

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
    if (const auto* held = m_holders.findByItem(key); held && state != ResultState::Succeeded)
        m_holders.release(held->id, false);
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
        co_await pause(m_executor, m_settings.appendInterval);
        if (m_isStopped || entry->isClosed)
            break;
        const auto appended = co_await entry->log->append();
        if (!appended) {
            logAppend(*entry, 0, appended.error().message);
            co_await pause(m_executor, storeRetryDelay);
            continue;
        }
        logAppend(*entry, appended.value(), {});
        m_holders.releaseIf([&](const HeldRun& run) {
            return run.hasEnd && run.item.submission == entry->submission.id && entry->log->stored().contains(entry->submission.items[run.item.index].id);
        });
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
