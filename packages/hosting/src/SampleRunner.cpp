#include "SampleRunner.h"

#include "Pause.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnprocessable = 422;
    constexpr unsigned statusServerError = 500;
    /// Longest time between two events of a run; the scheduler moves silent runs sooner.
    constexpr milliseconds stallTimeout { 5000 };
    /// Items are given up so much later than allowed, for clocks of hosts that differ.
    constexpr milliseconds clockMargin { 3000 };
    /// Time for a reward call where its route names none.
    constexpr milliseconds assumedRewardTimeout { 2000 };
    /// Pause between reward calls that found no target or no answer.
    constexpr milliseconds rewardPause { 200 };
    /// Pause after a failed call to the store.
    constexpr milliseconds storePause { 200 };
    /// Shorter texts are made again sooner than they are worth storing.
    constexpr std::size_t fewestStoredEvents = 12;
    /// A value of the store holds a megabyte, of which base64 takes a quarter.
    constexpr std::size_t storedTextBytes = std::size_t { 600 } << 10U;
    /// Old submissions are looked for so often, and kept for so much longer than promised.
    constexpr std::chrono::seconds discardInterval { 10 };
    constexpr std::chrono::seconds discardMargin { 60 };
    /// Most keys in one change of the store.
    constexpr std::size_t keysInTransaction = 32;

    UnixTime unixNow()
    {
        return std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
    }

    /// Pools that a route sends to; none for a route that is gone.
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

    /// A number in [0, 1) that belongs to a request, so that its attempts go to one pool of a split route.
    double drawOf(const RequestId& id)
    {
        constexpr std::uint64_t steps = 1000;
        return static_cast<double>(placementHash(id.value()) % steps) / static_cast<double>(steps);
    }

    std::string versionsText(const std::set<WeightVersion>& versions)
    {
        std::string text;
        for (const auto version : versions)
            text += (text.empty() ? "" : " ") + std::to_string(version);
        return text;
    }

} // namespace

RunEnd runEndOf(AnswerKind kind, unsigned status) noexcept
{
    if (kind == AnswerKind::NotRun || kind == AnswerKind::Misdirected)
        return RunEnd::NotRun;
    if (kind != AnswerKind::Answered)
        return RunEnd::Broken;
    if (status == statusUnprocessable)
        return RunEnd::Impossible;
    // Any other error, such as a target's own timeout, says nothing of the item.
    if (status == statusServerError)
        return RunEnd::ServerError;
    return status == statusOk ? RunEnd::Complete : RunEnd::Broken;
}

SampleRunner::SampleRunner(asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, SiteDirectory& directory, TargetClients& clients, const Clock& clock, SampleRunnerSettings settings)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_protocol(protocol)
    , m_directory(directory)
    , m_clients(clients)
    , m_clock(clock)
    , m_settings(settings)
    , m_forwarder(directory, protocol, clients, clock)
    , m_discardAt(clock.now() + discardInterval)
{
}

void SampleRunner::start()
{
    updateEngines();
    const auto take = [weak = weak_from_this()](const WatchResult& result, bool) {
        if (const auto self = weak.lock())
            self->takeRecords(result.entries);
    };
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_clock, RecordWatchSettings { std::string(submissionPrefix) }, RecordWatchHandler { take, take });
    asio::co_spawn(m_executor, takeOver(), asio::detached);
}

/// Adopts what the last coordinator's engines had made, then follows the submissions.
Task<void> SampleRunner::takeOver()
{
    const auto self = shared_from_this();
    const auto record = co_await m_store.read(std::string(textsKey));
    if (m_isStopped)
        co_return;
    if (record && record.value())
        adoptTexts(*record.value());
    else if (!record)
        recordIgnored(std::string(textsKey), 0, record.error());
    m_watch->start();
}

void SampleRunner::adoptTexts(const KeyValueEntry& record)
{
    auto texts = decodeTexts(record.value);
    if (!texts)
        return recordIgnored(record.key, record.revision, texts.error());
    m_scheduler.adopt(std::move(texts.value()));
}

Task<void> SampleRunner::storeTexts(std::vector<ItemText> texts)
{
    const auto self = shared_from_this();
    Transaction write;
    write.writes.push_back({ std::string(textsKey), encodeTexts(texts) });
    const auto written = co_await m_store.commit(std::move(write));
    m_isStoringTexts = false;
    // It costs a successor some work and nothing else; the next time is soon.
    if (!written)
        recordIgnored(std::string(textsKey), 0, written.error());
}

void SampleRunner::stop()
{
    m_isStopped = true;
    m_watch->stop();
    for (const auto& [key, run] : m_runs)
        run->cancellation->cancel();
    for (const auto& [id, open] : m_open)
        open->isClosed = true;
    m_open.clear();
}

void SampleRunner::updateEngines()
{
    std::vector<SchedulableEngine> engines;
    for (const auto& [id, target] : m_directory.registry().targets()) {
        if (!target.isLeaving && !target.models.empty())
            engines.push_back({ id, target.pool, target.slots, target.models });
    }
    m_scheduler.setEngines(engines);
    if (const auto view = m_directory.view()) {
        for (const auto& [id, entry] : m_open)
            m_scheduler.setPools(id, poolsOf(view->routes.find(entry->submission.authority, entry->submission.path)));
    }
    poke();
}

void SampleRunner::takeRecords(const std::vector<KeyValueEntry>& entries)
{
    // Ends first, so that a snapshot does not open what is over.
    for (const auto& entry : entries) {
        const auto key = parseSubmissionKey(entry.key);
        if (key.kind != SubmissionKeyKind::End || entry.isDeleted)
            continue;
        m_stored[key.id].isEnded = true;
        close(key.id, "ended by its trainer");
    }
    for (const auto& entry : entries) {
        const auto key = parseSubmissionKey(entry.key);
        if (key.kind != SubmissionKeyKind::Text)
            continue;
        if (entry.isDeleted)
            m_stored.erase(key.id);
        else if (!isRefusalRecord(entry.value))
            takeText(entry);
    }
    poke();
}

void SampleRunner::takeText(const KeyValueEntry& entry)
{
    auto submission = decodeSubmission(entry.value);
    if (!submission) {
        recordIgnored(entry.key, entry.revision, submission.error());
        return;
    }
    auto& stored = m_stored[submission.value().id];
    stored.submittedAt = submission.value().submittedAt;
    if (!stored.isEnded && !m_open.contains(submission.value().id))
        asio::co_spawn(
            m_executor, [self = shared_from_this(), submission = std::move(submission.value()), revision = entry.revision]() mutable { return self->open(std::move(submission), revision); }, asio::detached);
}

Task<void> SampleRunner::open(Submission submission, Revision revision)
{
    const auto self = shared_from_this();
    const auto id = submission.id;
    auto entry = std::make_shared<Open>();
    m_open.emplace(id, entry);
    entry->log = std::make_shared<ResultLog>(m_store, id);
    while (!m_isStopped && !entry->isClosed) {
        const auto loaded = co_await entry->log->load();
        if (loaded && m_directory.isReady())
            break;
        co_await pause(m_executor, storePause);
    }
    if (m_isStopped || entry->isClosed)
        co_return;
    entry->view = m_directory.view();
    entry->route = entry->view->routes.find(submission.authority, submission.path);
    if (!entry->route) {
        m_open.erase(id);
        recordClosed(id, "its route is gone", 0);
        co_return;
    }
    const auto age = std::max(UnixTime(0), unixNow() - submission.submittedAt);
    const auto submittedAt = m_clock.now() - age;
    entry->terms.due = submittedAt + entry->route->finishWithin;
    entry->terms.giveUpAt = submittedAt + entry->route->itemTimeToLive + clockMargin;
    entry->terms.requiresSingleVersion = entry->route->requiresSingleVersion;
    entry->terms.maximumServerErrors = std::max(1U, entry->route->maximumAttempts);
    entry->terms.priority = entry->route->priority;
    entry->terms.pools = poolsOf(entry->route);
    entry->submission = std::move(submission);
    entry->revision = revision;
    m_scheduler.add(entry->submission, entry->terms, entry->log->stored());
    recordOpened(*entry, age);
    if (entry->log->stored().size() >= entry->submission.items.size())
        close(id, "all results are stored");
    poke();
}

void SampleRunner::close(const SubmissionId& id, std::string_view reason)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    const auto entry = found->second;
    entry->isClosed = true;
    m_open.erase(found);
    for (const auto& key : m_scheduler.remove(id))
        stopRun(key);
    recordClosed(id, reason, entry->log->stored().size());
    poke();
}

void SampleRunner::stopRun(const ItemKey& key)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end())
        return;
    const auto run = found->second;
    m_runs.erase(found);
    run->cancellation->cancel();
}

void SampleRunner::poke()
{
    if (m_isPoked || m_isStopped)
        return;
    m_isPoked = true;
    asio::post(m_executor, [self = shared_from_this()] {
        self->m_isPoked = false;
        if (self->m_isStopped)
            return;
        for (const auto& placement : self->m_scheduler.place(self->m_clock.now()))
            asio::co_spawn(self->m_executor, self->runItem(placement.item, placement.engine), asio::detached);
    });
}

void SampleRunner::tick()
{
    const auto now = m_clock.now();
    for (const auto& key : m_scheduler.expired(now)) {
        const auto found = m_open.find(key.submission);
        stopRun(key);
        if (found != m_open.end())
            settle(found->second, key, ResultState::GivenUp, {}, "its time is up");
    }
    for (const auto& key : m_scheduler.misplaced(now)) {
        const auto found = m_runs.find(key);
        if (found != m_runs.end())
            found->second->cancellation->cancel();
    }
    if (now >= m_textsAt && !m_isStoringTexts) {
        m_textsAt = now + m_settings.textsInterval;
        auto texts = m_scheduler.texts(fewestStoredEvents, storedTextBytes);
        m_isStoringTexts = !texts.empty();
        if (m_isStoringTexts)
            asio::co_spawn(m_executor, storeTexts(std::move(texts)), asio::detached);
    }
    if (now >= m_discardAt) {
        m_discardAt = now + discardInterval;
        asio::co_spawn(
            m_executor, [self = shared_from_this()]() { return self->discardOld(); }, asio::detached);
    }
    poke();
}

Task<void> SampleRunner::runItem(ItemKey key, TargetId engine)
{
    const auto self = shared_from_this();
    const auto found = m_open.find(key.submission);
    if (found == m_open.end())
        co_return;
    const auto entry = found->second;
    const auto run = std::make_shared<Run>();
    m_runs[key] = run;
    const auto begun = m_clock.now();
    auto end = RunEnd::NotRun;
    std::string cause = "the engine left the registry";
    if (const auto* registered = m_directory.registry().find(engine)) {
        const auto target = *registered;
        end = co_await stream(entry, key, target, run->cancellation, cause);
    }
    if (const auto own = m_runs.find(key); own != m_runs.end() && own->second == run)
        m_runs.erase(own);
    if (m_isStopped || entry->isClosed)
        co_return;
    const auto* text = m_scheduler.text(key);
    const auto events = text ? text->events : 0;
    std::string versions;
    if (text)
        versions = versionsText(text->versions);
    const auto step = m_scheduler.finished(key, end, m_clock.now());
    recordRun(*entry, key, engine, end, events, versions, m_clock.now() - begun, cause);
    if (step == ItemStep::Judge)
        asio::co_spawn(m_executor, judge(entry, key), asio::detached);
    else if (step == ItemStep::GiveUp)
        settle(entry, key, ResultState::GivenUp, {}, name(end));
    poke();
}

RunEnd SampleRunner::takeEvents(const ItemKey& key, std::string_view bytes, EventStreamReader& reader, WeightVersion& version, WeightVersion oldest)
{
    for (const auto& event : reader.read(bytes)) {
        if (const auto changed = m_protocol.eventWeights(event))
            version = *changed;
        if (version < oldest)
            return RunEnd::WrongWeights;
        const auto* text = m_scheduler.text(key);
        if (!text)
            return RunEnd::Abandoned;
        if (text->lastEvent && event.id != *text->lastEvent + 1)
            return RunEnd::Broken;
        m_scheduler.progressed(key, event.id, event.data, version, m_clock.now());
    }
    return RunEnd::Complete;
}

Task<RunEnd> SampleRunner::stream(const OpenPointer& entry, ItemKey key, const RegisteredTarget& target, std::shared_ptr<HttpCancellation> cancellation, std::string& cause)
{
    const auto& item = entry->submission.items[key.index];
    SampleAttempt attempt;
    attempt.terms.expectedTarget = target.id;
    attempt.terms.remaining = std::chrono::duration_cast<milliseconds>(entry->terms.giveUpAt - m_clock.now());
    attempt.priority = std::min(9U, entry->terms.priority);
    if (const auto* text = m_scheduler.text(key))
        attempt.lastEvent = text->lastEvent;

    EventStreamReader reader;
    WeightVersion version = 0;
    auto kind = AnswerKind::Unusable;
    auto state = RunEnd::Complete;
    unsigned status = 0;
    HttpStreamHandler handler;
    handler.stallTimeout = stallTimeout;
    handler.onHead = [&](const HttpResponse& head) -> Task<bool> {
        status = head.status;
        kind = m_protocol.judge(head, RequestId(item.id.value()));
        version = m_protocol.answerWeights(head.fields).value_or(0);
        co_return true;
    };
    handler.onPart = [&](std::string_view part) -> Task<bool> {
        if (kind == AnswerKind::Answered && status == statusOk)
            state = takeEvents(key, part, reader, version, entry->submission.oldestVersion);
        co_return state == RunEnd::Complete;
    };
    const auto client = m_clients.client(0, target.endpoint);
    auto request = m_protocol.sampleRequest(entry->submission, item, attempt);
    request.mayRepeat = true;
    const auto response = co_await client->stream(std::move(request), entry->terms.giveUpAt, std::move(handler), cancellation);
    cause.clear();
    if (cancellation->isCancelled())
        co_return RunEnd::Abandoned;
    if (state != RunEnd::Complete)
        co_return state;
    if (!response) {
        cause = response.error().message;
        co_return response.error().code == ErrorCode::NotSent ? RunEnd::NotRun : RunEnd::Broken;
    }
    cause = "status " + std::to_string(status) + " " + std::string(name(kind));
    co_return runEndOf(kind, status);
}

Task<void> SampleRunner::judge(OpenPointer entry, ItemKey key)
{
    const auto self = shared_from_this();
    const auto& item = entry->submission.items[key.index];
    if (!item.reward) {
        settle(entry, key, ResultState::Succeeded, {}, "complete");
        co_return;
    }
    const auto& reward = *item.reward;
    unsigned failures = 0;
    while (!m_isStopped && !entry->isClosed && m_scheduler.isOpen(key)) {
        const auto view = m_directory.view();
        const auto* route = view->routes.find(reward.authority, reward.path);
        if (!route) {
            co_await pause(m_executor, rewardPause);
            continue;
        }
        // One attempt at a time, so that each failure counts.
        SiteRoute single = *route;
        single.maximumAttempts = 1;
        ForwardRequest request;
        request.id = reward.id;
        request.route = &single;
        request.pool = choosePool(*route, drawOf(reward.id));
        const auto timeout = route->timeout.count() > 0 ? route->timeout : assumedRewardTimeout;
        request.deadline = m_clock.now() + timeout;
        request.message = [&](const AttemptTerms& terms) { return m_protocol.rewardRequest(reward, terms); };
        const auto outcome = co_await m_forwarder.run(std::move(request));
        const auto isSuccess = outcome.state == ForwardState::Answered && outcome.answer.status >= 200 && outcome.answer.status < 300;
        recordReward(reward, item, key, outcome);
        if (m_isStopped || entry->isClosed)
            co_return;
        if (isSuccess) {
            settle(entry, key, ResultState::Succeeded, m_protocol.signature(outcome.answer.fields), "judged");
            co_return;
        }
        const bool hasFailed = outcome.state == ForwardState::Answered && outcome.answer.status == statusServerError;
        if (hasFailed && ++failures >= std::max(1U, route->maximumAttempts)) {
            settle(entry, key, ResultState::GivenUp, {}, "its reward call failed");
            co_return;
        }
        if (!hasFailed)
            co_await pause(m_executor, std::max<Duration>(rewardPause, outcome.retryAfter));
    }
}

void SampleRunner::settle(const OpenPointer& entry, const ItemKey& key, ResultState state, std::string rewardSignature, std::string_view reason)
{
    const auto& item = entry->submission.items[key.index];
    SampleResult result;
    result.item = item.id;
    result.state = state;
    if (const auto* text = m_scheduler.text(key); text && state == ResultState::Succeeded) {
        result.text = text->text;
        result.versions.assign(text->versions.begin(), text->versions.end());
        result.rewardSignature = std::move(rewardSignature);
    }
    logEvent(Event::SampleSettled, { { "id", item.id.value() }, { "submission", key.submission.value() }, { "succeeded", state == ResultState::Succeeded ? "yes" : "no" }, { "reason", std::string(reason) } });
    m_scheduler.settle(key);
    entry->log->add(std::move(result));
    if (!entry->isAppending) {
        entry->isAppending = true;
        asio::co_spawn(m_executor, append(entry), asio::detached);
    }
}

Task<void> SampleRunner::append(OpenPointer entry)
{
    const auto self = shared_from_this();
    while (entry->log->hasPending() && !m_isStopped && !entry->isClosed) {
        co_await pause(m_executor, m_settings.appendInterval);
        if (m_isStopped || entry->isClosed)
            break;
        const auto appended = co_await entry->log->append();
        if (!appended) {
            recordAppend(*entry, 0, appended.error().message);
            co_await pause(m_executor, storePause);
            continue;
        }
        recordAppend(*entry, appended.value(), {});
    }
    entry->isAppending = false;
    if (!entry->isClosed && entry->log->stored().size() >= entry->submission.items.size())
        close(entry->submission.id, "all results are stored");
}

Task<void> SampleRunner::discardOld()
{
    const auto self = shared_from_this();
    const auto oldest = unixNow() - m_settings.keepTime - discardMargin;
    std::vector<SubmissionId> old;
    for (const auto& [id, stored] : m_stored) {
        if (stored.isEnded && stored.submittedAt.count() > 0 && stored.submittedAt < oldest)
            old.push_back(id);
    }
    for (const auto& id : old) {
        const auto segments = co_await m_store.snapshot(resultKeys(id), {});
        if (!segments || m_isStopped)
            co_return;
        Transaction removal;
        for (const auto& entry : segments.value().entries) {
            if (removal.removals.size() + 2 < keysInTransaction)
                removal.removals.push_back(entry.key);
        }
        // The text goes last, so that a removal that was cut short goes on at the next look.
        const bool isLast = removal.removals.size() == segments.value().entries.size();
        if (isLast) {
            removal.removals.push_back(textKey(id));
            removal.removals.push_back(endKey(id));
        }
        const auto removed = co_await m_store.commit(std::move(removal));
        if (!removed || m_isStopped)
            co_return;
        if (isLast)
            m_stored.erase(id);
    }
}

void SampleRunner::recordIgnored(const std::string& key, Revision revision, const Error& error)
{
    logEvent(Event::RecordIgnored, { { "key", key }, { "revision", std::to_string(revision) }, { "cause", error.message } });
}

void SampleRunner::recordOpened(const Open& entry, UnixTime age) const
{
    const auto& submission = entry.submission;
    logEvent(Event::SubmissionOpened, { { "id", submission.id.value() }, { "revision", std::to_string(entry.revision) }, { "model", submission.model.value() }, { "step", std::to_string(submission.step) }, { "items", std::to_string(submission.items.size()) }, { "stored", std::to_string(entry.log->stored().size()) }, { "oldest-version", std::to_string(submission.oldestVersion) }, { "age-ms", std::to_string(age.count()) } });
}

void SampleRunner::recordClosed(const SubmissionId& id, std::string_view reason, std::size_t results) const
{
    logEvent(Event::SubmissionClosed, { { "id", id.value() }, { "reason", std::string(reason) }, { "results", std::to_string(results) } });
}

void SampleRunner::recordRun(const Open& entry, const ItemKey& key, const TargetId& engine, RunEnd end, std::size_t events, const std::string& versions, Duration time, const std::string& cause) const
{
    logEvent(Event::SampleRunEnded, { { "id", entry.submission.items[key.index].id.value() }, { "submission", key.submission.value() }, { "engine", engine.value() }, { "registry", std::to_string(m_directory.registryRevision()) }, { "end", std::string(name(end)) }, { "events", std::to_string(events) }, { "versions", versions }, { "ms", std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) }, { "cause", cause } });
}

void SampleRunner::recordReward(const RewardCall& reward, const SampleItem& item, const ItemKey& key, const ForwardOutcome& outcome) const
{
    logEvent(Event::RewardCallEnded, { { "id", reward.id.value() }, { "item", item.id.value() }, { "submission", key.submission.value() }, { "state", std::string(name(outcome.state)) }, { "status", std::to_string(outcome.answer.status) }, { "attempts", std::to_string(outcome.attempts) }, { "cause", outcome.cause } });
}

void SampleRunner::recordAppend(const Open& entry, std::size_t results, const std::string& failure) const
{
    logEvent(Event::ResultsAppended, { { "submission", entry.submission.id.value() }, { "results", std::to_string(results) }, { "segments", std::to_string(entry.log->segments()) }, { "stored", std::to_string(entry.log->stored().size()) }, { "failure", failure } });
}

} // namespace cicadalb
