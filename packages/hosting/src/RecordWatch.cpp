#include "RecordWatch.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/site/TargetRegistry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Pause after the first call that failed.
    constexpr std::chrono::milliseconds firstRetry { 100 };
    /// Longest wait of a call where a mirror is asked again soon anyway: a store that does not answer is noticed by its deadline.
    constexpr std::chrono::milliseconds patienceBesideMirrors { 1000 };
    /// The pause grows no more after so many failures.
    constexpr unsigned mostDoublings = 8;

    Duration retryPause(unsigned failures, Duration longest)
    {
        const auto doublings = std::min(mostDoublings, std::max(1U, failures) - 1);
        return std::min<Duration>(longest, firstRetry * (1U << doublings));
    }

} // namespace

RecordWatch::RecordWatch(asio::any_io_executor executor, TransactionalStore& store, const Clock& clock, RecordWatchSettings settings, RecordWatchHandler handler)
    : m_store(store)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_handler(std::move(handler))
    , m_executor(std::move(executor))
    , m_timer(m_executor)
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

Task<void> RecordWatch::makeCall(TransactionalStore& store, std::string prefix, Revision after, std::chrono::milliseconds patience, std::shared_ptr<PendingCall> pending)
{
    auto result = co_await store.watch(std::move(prefix), after, patience);
    pending->result.emplace(std::move(result));
    pending->done.cancel();
}

Task<Result<WatchResult>> RecordWatch::awaitChanges()
{
    const auto pending = std::make_shared<PendingCall>(m_executor);
    m_pending = pending;
    const bool hasMirrors = m_settings.mirror && m_settings.mirror->mirrors() > 0;
    const auto patience = hasMirrors ? std::min(m_settings.patience, patienceBesideMirrors) : m_settings.patience;
    asio::co_spawn(m_executor, makeCall(m_store, m_settings.prefix, m_revision, patience, pending), asio::detached);
    // It may have ended before this coroutine waits.
    if (!pending->result) {
        boost::system::error_code error;
        co_await pending->done.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    m_pending.reset();
    if (!pending->result) {
        WatchResult unchanged;
        unchanged.revision = m_revision;
        co_return unchanged;
    }
    co_return std::move(*pending->result);
}

void RecordWatch::setPause(std::chrono::milliseconds pause)
{
    m_settings.pause = pause;
    m_timer.cancel();
}

Task<void> RecordWatch::wait(Duration duration)
{
    boost::system::error_code error;
    m_timer.expires_after(duration);
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

Task<void> RecordWatch::run()
{
    const auto self = shared_from_this();
    while (!m_isStopped) {
        const auto outcome = co_await step();
        if (m_isStopped)
            co_return;
        recordOutcome(outcome);
        if (!outcome)
            co_await wait(retryPause(m_failures, m_settings.longestRetry));
    }
}

Task<Result<void>> RecordWatch::step()
{
    const bool usesMirror = m_settings.mirror && m_settings.mirror->isUsable();
    if (usesMirror && co_await stepFromMirror())
        co_return success();
    if (usesMirror && m_settings.mirror->isStarting()) {
        co_await wait(MirrorClient::startPause);
        co_return success();
    }
    auto outcome = co_await stepFromStore();
    if (!outcome && m_settings.mirror)
        m_settings.mirror->storeFailed();
    co_return outcome;
}

Task<bool> RecordWatch::stepFromMirror()
{
    std::optional<Revision> after;
    if (m_hasSnapshot)
        after = m_revision;
    const auto reply = co_await m_settings.mirror->follow(m_settings.prefix, after);
    if (m_isStopped)
        co_return true;
    // A mirror may lag behind what the store told this host.
    if (!reply || (reply.value().isSnapshot && reply.value().records.revision < m_revision))
        co_return false;
    const auto& [records, isSnapshot, isAfterItsOutage, age] = reply.value();
    recordOutcome(success());
    m_hasSnapshot = true;
    m_revision = std::max(m_revision, records.revision);
    const bool isAfterAnOutage = isAfterItsOutage || isAfterOutage();
    if (isSnapshot)
        m_handler.onSnapshot(records, isAfterAnOutage);
    else if (!records.entries.empty())
        m_handler.onChanges(records, isAfterAnOutage);
    co_return true;
}

Task<Result<void>> RecordWatch::stepFromStore()
{
    if (!m_hasSnapshot) {
        auto snapshot = co_await m_store.snapshot(m_settings.prefix, {});
        if (!snapshot)
            co_return snapshot.as_failure();
        if (m_isStopped)
            co_return success();
        recordOutcome(success());
        m_hasSnapshot = true;
        m_revision = snapshot.value().revision;
        m_handler.onSnapshot(snapshot.value(), isAfterOutage());
        co_return success();
    }
    auto changes = co_await awaitChanges();
    if (!changes) {
        if (changes.error().code == ErrorCode::HistoryLost) {
            m_hasSnapshot = false;
            co_return success();
        }
        co_return changes.as_failure();
    }
    if (m_isStopped)
        co_return success();
    recordOutcome(success());
    m_revision = std::max(m_revision, changes.value().revision);
    if (changes.value().entries.empty())
        co_return success();
    m_handler.onChanges(changes.value(), isAfterOutage());
    if (m_settings.pause.count() > 0)
        co_await wait(m_settings.pause);
    co_return success();
}

void RecordWatch::recordOutcome(const Result<void>& outcome)
{
    const auto now = m_clock.now();
    if (!outcome) {
        ++m_failures;
        if (!m_hasFailed) {
            m_hasFailed = true;
            m_failedAt = now;
            logEvent(Event::WatchLost, { { "prefix", m_settings.prefix }, { "revision", std::to_string(m_revision) }, { "cause", outcome.error().message } });
        }
        m_isCurrent = false;
        return;
    }
    if (m_hasFailed) {
        const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_failedAt);
        logEvent(Event::WatchRestored, { { "prefix", m_settings.prefix }, { "revision", std::to_string(m_revision) }, { "milliseconds", std::to_string(away.count()) } });
        m_restoredAt = now;
    }
    m_hasFailed = false;
    m_failures = 0;
    m_isCurrent = true;
}

bool RecordWatch::isAfterOutage() const
{
    return m_restoredAt != TimePoint() && m_clock.now() < m_restoredAt + TargetRegistry::returnTime;
}

} // namespace cicadalb
