#include "UsageReports.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadalb {

namespace {

    Task<DutyOutcome> callPlatform(const SiteProtocol& protocol, TargetClients& clients, Endpoint endpoint, DutyHolder holder, UsageReport report)
    {
        const auto client = clients.client(0, endpoint);
        const auto answer = co_await client->send(protocol.usageReport(holder, report), std::chrono::steady_clock::now() + UsageReports::callTimeout);
        if (answer)
            co_return protocol.dutyOutcome(answer.value());
        co_return answer.error().code == ErrorCode::NotSent ? DutyOutcome::NotExecuted : DutyOutcome::Unknown;
    }

    std::uint64_t sumOf(const UsageCounts& counts)
    {
        std::uint64_t sum = 0;
        for (const auto& [organisation, count] : counts)
            sum += count;
        return sum;
    }

} // namespace

UsageReportCall makeUsageReportCall(const SiteProtocol& protocol, TargetClients& clients, Endpoint endpoint)
{
    return [&protocol, &clients, endpoint = std::move(endpoint)](DutyHolder holder, UsageReport report) { return callPlatform(protocol, clients, endpoint, std::move(holder), std::move(report)); };
}

UsageReports::UsageReports(boost::asio::any_io_executor executor, TransactionalStore& store, UsageReportCall call, const Clock& clock, UsageReportsSettings settings, UsageReportHooks hooks)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_call(std::move(call))
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_ledger(m_settings.reporting.windows)
    , m_reporting(m_ledger, m_settings.reporting, m_clock.now(), m_hooks.wallClock())
{
}

UsageReply UsageReports::collect(const UsageMessage& message)
{
    m_ledger.apply(message, m_hooks.wallClock());
    return { true, true, m_settings.collection, m_ledger.closedUpTo(), m_ledger.interval() };
}

void UsageReports::tick()
{
    if (m_isStopped || m_isCalling || !m_hooks.mayOrder())
        return;
    m_isCalling = true;
    boost::asio::co_spawn(m_executor, makeDueCalls(), boost::asio::detached);
}

Task<void> UsageReports::makeDueCalls()
{
    const auto self = shared_from_this();
    bool mayBeDue = true;
    while (mayBeDue && !m_isStopped && m_hooks.mayOrder()) {
        auto step = m_reporting.nextStep(m_clock.now(), m_hooks.wallClock());
        if (std::holds_alternative<ReadUsageRecord>(step))
            mayBeDue = co_await read();
        else if (auto* write = std::get_if<StoreUsageRecord>(&step))
            mayBeDue = co_await store(std::move(*write));
        else if (auto* report = std::get_if<SendUsageReport>(&step))
            mayBeDue = co_await send(std::move(report->report));
        else
            mayBeDue = false;
    }
    m_isCalling = false;
}

Task<bool> UsageReports::read()
{
    const auto entry = co_await m_store.read(recordKey());
    if (!entry) {
        m_reporting.onStoreFailure(m_clock.now());
        co_return false;
    }
    if (!entry.value()) {
        m_reporting.onRead(std::nullopt, 0);
        co_return true;
    }
    const auto record = decodeUsageRecord(entry.value()->value);
    if (!record) {
        // Without knowing what was reported nothing can be reported that is certain not to contradict it.
        logEvent(Event::RecordIgnored, { { "key", recordKey() }, { "revision", std::to_string(entry.value()->revision) }, { "cause", record.error().message } });
        m_reporting.onStoreFailure(m_clock.now());
        co_return false;
    }
    m_reporting.onRead(record.value(), entry.value()->revision);
    co_return true;
}

Task<bool> UsageReports::store(StoreUsageRecord write)
{
    CompareAndSwap swap { recordKey(), encodeUsageRecord(write.record), write.expected };
    const auto written = co_await m_store.compareAndSwap(std::move(swap));
    if (written)
        m_reporting.onStored(write.record, written.value());
    else
        m_reporting.onStoreFailure(m_clock.now());
    co_return written.has_value();
}

Task<bool> UsageReports::send(UsageReport report)
{
    m_lastCallAt = m_clock.now();
    DutyHolder holder { m_settings.holder, m_settings.fence };
    const auto outcome = co_await m_call(std::move(holder), report);
    m_reporting.onSent(report.window, outcome, m_clock.now());
    logReport(report, outcome);
    if (outcome == DutyOutcome::Refused)
        m_hooks.onFenced();
    co_return outcome == DutyOutcome::Accepted;
}

void UsageReports::logReport(const UsageReport& report, DutyOutcome outcome)
{
    const auto& reporting = m_settings.reporting;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_hooks.wallClock() - reporting.windows.endOf(report.window));
    const bool isLate = age > reporting.reportTime;
    const bool isAccepted = outcome == DutyOutcome::Accepted;
    if (isAccepted)
        ++m_totals.accepted;
    if (isAccepted && isLate)
        ++m_totals.late;
    const auto event = !isAccepted ? Event::UsageNotReported : isLate ? Event::UsageReportedLate
                                                                      : Event::UsageReported;
    logEvent(event, { { "window", std::to_string(report.window) }, { "requests", std::to_string(sumOf(report.counts)) }, { "organisations", std::to_string(report.counts.size()) }, { "fence", std::to_string(m_settings.fence) }, { "milliseconds", std::to_string(age.count()) }, { "outcome", std::string(name(outcome)) } });
}

} // namespace cicadalb
