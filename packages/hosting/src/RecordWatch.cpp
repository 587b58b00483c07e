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

    /// Pauses between calls while the store is away: short, since a change has to be in force within two seconds of its return.
    constexpr std::chrono::milliseconds firstRetry { 100 };
    constexpr std::chrono::milliseconds longestRetry { 500 };

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
            co_await wait(std::min<Duration>(longestRetry, firstRetry * m_failures));
    }
}

Task<Result<void>> RecordWatch::step()
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
    auto changes = co_await m_store.watch(m_settings.prefix, m_revision, m_settings.patience);
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
