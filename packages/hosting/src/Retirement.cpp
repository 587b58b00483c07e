#include "Retirement.h"

#include "cicadalb/base/ClockTimer.h"
#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds statusRetryDelay { 300 };

} // namespace

Retirement::Retirement(asio::any_io_executor executor, TransactionalStore& store, const SiteProtocol& protocol, std::shared_ptr<Coordination> coordination, const Clock& clock, HostId host)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_protocol(protocol)
    , m_coordination(std::move(coordination))
    , m_clock(clock)
    , m_host(std::move(host))
{
}

void Retirement::start()
{
    const auto apply = [this](const WatchResult& result, Duration) { applyOrders(result.entries); };
    m_watch = std::make_shared<RecordWatch>(m_executor, m_store, m_clock, RecordWatchSettings { m_protocol.keys().retirements }, RecordWatchHandler { apply, apply, {} });
    m_watch->start();
}

void Retirement::restartWatch()
{
    if (m_watch)
        m_watch->restart();
}

void Retirement::applyOrders(const std::vector<KeyValueEntry>& entries)
{
    const auto own = m_protocol.keys().retirements + m_host.value();
    for (const auto& entry : entries) {
        if (entry.key != own || entry.isDeleted || std::exchange(m_isRetiring, true))
            continue;
        asio::co_spawn(
            m_executor, [self = shared_from_this()]() { return self->retire(); }, asio::detached);
    }
}

Task<void> Retirement::retire()
{
    const auto begunAt = m_clock.now();
    logEvent(Event::RetirementBegun, { { "host", m_host.value() }, { "coordinating", m_coordination->isCoordinating() ? "yes" : "no" } });
    // The hand-over does not wait for the store's answer to this write.
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->writeBegun(); }, asio::detached);
    auto retryInterval = firstRetryInterval;
    while (!co_await m_coordination->retire(maximumWait)) {
        logEvent(Event::RetirementDelayed, { { "host", m_host.value() }, { "cause", "no other process has begun to coordinate" } });
        co_await wait(retryInterval);
        retryInterval = std::min(2 * retryInterval, longestRetryInterval);
    }
    m_isDone = true;
    co_await writeDone();
    const auto successor = m_coordination->holder();
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - begunAt);
    logEvent(Event::RetirementDone, { { "host", m_host.value() }, { "successor", successor ? successor->host.value() : "" }, { "milliseconds", std::to_string(time.count()) } });
}

Task<void> Retirement::writeBegun()
{
    while (!m_isDone) {
        Transaction begun;
        begun.writes.push_back(m_protocol.retirementStatus(m_host, false));
        // The store may carry this write out late, when the retirement is done.
        begun.conditions.push_back({ begun.writes.front().key, 0 });
        const auto written = co_await m_store.commit(std::move(begun));
        if (written || written.error().code == ErrorCode::Conflict)
            break;
        co_await wait(statusRetryDelay);
    }
}

Task<void> Retirement::writeDone()
{
    while (true) {
        Transaction done;
        done.writes.push_back(m_protocol.retirementStatus(m_host, true));
        const auto written = co_await m_store.commit(std::move(done));
        if (written)
            break;
        co_await wait(statusRetryDelay);
    }
}

Task<void> Retirement::wait(Duration duration) const
{
    ClockTimer timer(m_executor, m_clock);
    (void)co_await timer.waitFor(duration);
}

} // namespace cicadalb
