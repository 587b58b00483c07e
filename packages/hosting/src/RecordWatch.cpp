#include "RecordWatch.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/site/TargetRegistry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Delay after the first failed call.
    constexpr std::chrono::milliseconds initialRetryDelay { 100 };
    /// Longest wait of a call to the store where mirrors exist: a store that does not answer has to be noticed in time to query a mirror.
    constexpr std::chrono::milliseconds maximumWaitWithMirrors { 600 };
    /// Shortest wait of a call.
    constexpr std::chrono::milliseconds minimumWait { 50 };
    /// Time that an answer has to stand before the revision that it states counts: a watch may hear nothing for a second while changes are made, until the
    /// store drops its history and cuts the watch, or refuses the next one.
    constexpr std::chrono::milliseconds revisionProofTime { 1500 };
    /// Time after the wait of a call at which the watch gives it up. The store's client has a shorter limit, which does not count the time in which the
    /// machine is suspended.
    constexpr std::chrono::seconds longestAnswerTime { 10 };
    /// Pause before, and wait of, a watch that has failed and was replaced by a read.
    constexpr std::chrono::milliseconds waitAfterFailedWatch { 300 };
    /// Limit on the doublings of the retry delay.
    constexpr unsigned maximumDoublings = 8;

    Duration retryDelay(unsigned failures, Duration maximum)
    {
        const auto doublings = std::min(maximumDoublings, std::max(1U, failures) - 1);
        return std::min<Duration>(maximum, initialRetryDelay * (1U << doublings));
    }

} // namespace

RecordWatch::RecordWatch(asio::any_io_executor executor, TransactionalStore& store, const Clock& clock, RecordWatchSettings settings, RecordWatchHandler handler)
    : m_store(store)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_handler(std::move(handler))
    , m_executor(std::move(executor))
    , m_timer(m_executor, clock)
{
}

void RecordWatch::start()
{
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->run(); }, asio::detached);
}

void RecordWatch::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void RecordWatch::restart()
{
    if (m_pending)
        m_pending->done.cancel();
}

Task<void> RecordWatch::watchStore(TransactionalStore& store, std::string prefix, Revision after, std::chrono::milliseconds maximumWait, std::shared_ptr<PendingCall> pending)
{
    try {
        pending->result.emplace(co_await store.watch(prefix, after, maximumWait));
    } catch (const std::exception& error) {
        pending->result.emplace(failure(ErrorCode::Unavailable, error.what(), prefix));
    }
    pending->done.cancel();
}

std::chrono::milliseconds RecordWatch::timeUntilAge(std::chrono::milliseconds maximum) const
{
    if (!m_completeAsOf)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(*m_completeAsOf + maximum - m_clock.now());
}

std::chrono::milliseconds RecordWatch::nextWait() const
{
    const bool hasMirrors = m_settings.mirror && m_settings.mirror->mirrorCount() > 0;
    auto wait = hasMirrors ? std::min(m_settings.maximumWait, maximumWaitWithMirrors) : m_settings.maximumWait;
    if (m_hasWatchFailed && m_settings.readsAfterFailure)
        wait = std::min(wait, waitAfterFailedWatch);
    const auto shortestWait = m_needsProof ? std::min(wait, waitAfterFailedWatch) : minimumWait;
    return m_settings.keepsCurrent ? std::clamp(timeUntilAge(wait), shortestWait, wait) : wait;
}

Task<Result<WatchResult>> RecordWatch::awaitChanges()
{
    const auto pending = std::make_shared<PendingCall>(m_executor, m_clock);
    m_pending = pending;
    const auto maximumWait = nextWait();
    const auto requestedAt = m_clock.now();
    asio::co_spawn(m_executor, watchStore(m_store, m_settings.prefix, m_revision, maximumWait, pending), asio::detached);
    // The call may have ended before this coroutine waits.
    const bool isOverdue = !pending->result && co_await pending->done.waitUntil(requestedAt + maximumWait + longestAnswerTime);
    m_pending.reset();
    if (!pending->result && isOverdue)
        co_return failure(ErrorCode::Unavailable, "the call has not returned within its time limit", m_settings.prefix);
    if (!pending->result)
        co_return failure(ErrorCode::Cancelled, "the call was abandoned", m_settings.prefix);
    auto& result = *pending->result;
    if (result) {
        // The store sends an answer without entries only after the whole wait.
        const bool hasWaited = result.value().entries.empty() && m_clock.now() >= requestedAt + maximumWait;
        accept(result.value(), hasWaited ? requestedAt + maximumWait : requestedAt);
    }
    co_return std::move(result);
}

/// @param answeredAt time at which the store gave the answer, or an earlier one
void RecordWatch::accept(WatchResult& answer, TimePoint answeredAt)
{
    // An answer that repeats earlier changes must not replace later ones.
    std::erase_if(answer.entries, [this](const auto& entry) { return entry.revision <= m_revision; });
    for (const auto& entry : answer.entries)
        m_revision = std::max(m_revision, entry.revision);
    if (m_unproven && answeredAt >= m_unproven->statedAt + revisionProofTime) {
        m_revision = std::max(m_revision, m_unproven->revision);
        raiseCompleteAsOf(m_unproven->statedAt);
        m_needsProof = false;
        m_unproven.reset();
    }
    if (!m_unproven)
        m_unproven = StatedRevision { answer.revision, m_clock.now() };
    answer.revision = m_revision;
    // A watch that hears nothing does not report changes that were made while earlier calls failed either.
    m_needsProof = m_needsProof && answer.entries.empty();
    if (!m_needsProof)
        raiseCompleteAsOf(answeredAt);
}

void RecordWatch::setCoalescingDelay(std::chrono::milliseconds coalescingDelay)
{
    m_settings.coalescingDelay = coalescingDelay;
    m_timer.cancel();
}

Task<void> RecordWatch::wait(Duration duration)
{
    co_await m_timer.waitFor(duration);
}

Task<void> RecordWatch::run()
{
    const auto self = shared_from_this();
    while (!m_isStopped) {
        Result<void> outcome = success();
        bool hasThrown = false;
        try {
            outcome = co_await poll();
        } catch (const std::exception& error) {
            outcome = failure(ErrorCode::Unavailable, error.what(), m_settings.prefix);
            hasThrown = true;
        }
        if (m_isStopped)
            co_return;
        if (outcome)
            continue;
        recordOutcome(outcome);
        if (hasThrown) {
            // Which records have been applied is unknown: all are read again.
            m_hasSnapshot = false;
            m_unproven.reset();
            m_completeAsOf.reset();
            co_await wait(m_settings.maximumRetryDelay);
            continue;
        }
        const bool isFirstFailure = m_consecutiveFailures == 1;
        m_shouldReadAll = m_settings.readsAfterFailure;
        if (!m_shouldReadAll || !isFirstFailure)
            co_await wait(retryDelay(m_consecutiveFailures, m_settings.maximumRetryDelay));
    }
}

Task<Result<void>> RecordWatch::poll()
{
    if (m_settings.mirror && m_settings.mirror->isUsable()) {
        const auto outcome = co_await pollMirror();
        if (outcome == MirrorOutcome::Applied)
            co_return success();
        if (m_settings.mirror->isInStartupGracePeriod()) {
            co_await wait(MirrorClient::startupRetryDelay);
            co_return success();
        }
        m_shouldReadAll = m_shouldReadAll || (outcome == MirrorOutcome::Failed && m_settings.readsAfterFailure);
    }
    auto outcome = co_await pollStore();
    if (!outcome && m_settings.mirror)
        m_settings.mirror->endStoreFallback();
    co_return outcome;
}

Task<RecordWatch::MirrorOutcome> RecordWatch::pollMirror()
{
    std::optional<Revision> after;
    if (m_hasSnapshot)
        after = m_revision;
    const auto sentAt = m_clock.now();
    const auto wait = std::clamp(timeUntilAge(MirrorClient::maximumAge), minimumWait, MirrorClient::maximumWait);
    const auto reply = co_await m_settings.mirror->waitForChanges(m_settings.prefix, after, wait);
    if (m_isStopped)
        co_return MirrorOutcome::Applied;
    if (!reply)
        co_return MirrorOutcome::Failed;
    if (reply.value().isSnapshot && reply.value().records.revision < m_revision)
        co_return MirrorOutcome::Lagging;
    const auto& [records, isSnapshot, mirrorReturnTime, age, waited, suspects, coordination] = reply.value();
    raiseCompleteAsOf(sentAt + waited - age);
    const bool wasFailing = m_hasFailed;
    recordOutcome(success());
    // The mirror may have reached the store before this process reached the mirror.
    if (wasFailing && m_restoredAt && mirrorReturnTime.count() > 0)
        m_restoredAt = m_clock.now() + mirrorReturnTime - TargetRegistry::reregistrationGracePeriod;
    m_hasSnapshot = true;
    m_revision = std::max(m_revision, records.revision);
    const auto mayReturnWithin = std::max<Duration>(mirrorReturnTime, remainingReturnTime());
    if (isSnapshot)
        m_handler.onSnapshot(records, mayReturnWithin);
    else if (!records.entries.empty())
        m_handler.onChanges(records, mayReturnWithin);
    co_return MirrorOutcome::Applied;
}

Task<Result<void>> RecordWatch::pollStore()
{
    return !m_hasSnapshot || m_shouldReadAll ? readSnapshot() : readChanges();
}

Task<Result<void>> RecordWatch::readSnapshot()
{
    const auto requestedAt = m_clock.now();
    auto snapshot = co_await m_store.snapshot(m_settings.prefix, {});
    if (!snapshot)
        co_return snapshot.as_failure();
    if (m_isStopped)
        co_return success();
    raiseCompleteAsOf(requestedAt);
    recordOutcome(success());
    m_hasSnapshot = true;
    m_shouldReadAll = false;
    m_unproven.reset();
    m_needsProof = false;
    m_revision = std::max(m_revision, snapshot.value().revision);
    m_handler.onSnapshot(snapshot.value(), remainingReturnTime());
    if (m_hasWatchFailed)
        co_await wait(waitAfterFailedWatch);
    co_return success();
}

Task<Result<void>> RecordWatch::readChanges()
{
    auto changes = co_await awaitChanges();
    if (!changes && changes.error().code == ErrorCode::Cancelled)
        co_return success();
    m_hasWatchFailed = !changes;
    if (!changes) {
        m_unproven.reset();
        m_needsProof = true;
        if (changes.error().code == ErrorCode::HistoryLost) {
            m_hasSnapshot = false;
            m_hasWatchFailed = false;
            recordOutcome(success());
            co_return success();
        }
        co_return changes.as_failure();
    }
    if (m_isStopped)
        co_return success();
    recordOutcome(success());
    if (changes.value().entries.empty())
        co_return success();
    m_handler.onChanges(changes.value(), remainingReturnTime());
    auto delay = m_settings.coalescingDelay;
    if (m_settings.keepsCurrent)
        delay = std::min(delay, timeUntilAge(m_settings.maximumWait));
    if (delay.count() > 0)
        co_await wait(delay);
    co_return success();
}

void RecordWatch::raiseCompleteAsOf(TimePoint time) { m_completeAsOf = std::max(time, m_completeAsOf.value_or(time)); }

void RecordWatch::recordOutcome(const Result<void>& outcome)
{
    const auto now = m_clock.now();
    if (!outcome) {
        ++m_consecutiveFailures;
        if (!m_hasFailed) {
            m_hasFailed = true;
            m_failedAt = now;
            m_outageSince = m_completeAsOf.value_or(TimePoint::min());
            logEvent(Event::WatchLost, { { "prefix", m_settings.prefix }, { "revision", std::to_string(m_revision) }, { "cause", outcome.error().message } });
        }
        m_isConnected = false;
        return;
    }
    if (m_hasFailed) {
        const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_failedAt);
        if (now - m_settings.minimumOutage >= m_outageSince)
            m_restoredAt = now;
        logEvent(Event::WatchRestored, { { "prefix", m_settings.prefix }, { "revision", std::to_string(m_revision) }, { "milliseconds", std::to_string(outage.count()) } });
    }
    const bool wasRestored = std::exchange(m_hasFailed, false);
    m_consecutiveFailures = 0;
    m_isConnected = true;
    if (wasRestored && m_handler.onRestored)
        m_handler.onRestored();
}

Duration RecordWatch::remainingReturnTime() const
{
    if (!m_restoredAt)
        return Duration::zero();
    return std::max(Duration::zero(), *m_restoredAt + TargetRegistry::reregistrationGracePeriod - m_clock.now());
}

} // namespace cicadalb
