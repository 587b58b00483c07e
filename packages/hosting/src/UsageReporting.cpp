#include "UsageReporting.h"

#include <algorithm>

namespace cicadalb {

UsageReporting::UsageReporting(UsageLedger& ledger, UsageReportingSettings settings, TimePoint beganAt, WallTime beganAtWall)
    : m_ledger(ledger)
    , m_settings(settings)
    , m_beganAt(beganAt)
    , m_firstWindow(m_settings.windows.at(beganAtWall))
{
}

/// The oldest window without a fixed report that is still worth one.
UsageWindow UsageReporting::firstOpenWindow(WallTime wallNow) const
{
    const auto present = m_settings.windows.at(wallNow);
    const auto oldestKept = present > maximumUnsent ? present - maximumUnsent : 0;
    // Without a record no coordinator has reported anything: the site's first one begins with the windows in which its hosts have counted.
    const auto next = m_stored->newest > 0 ? m_stored->newest + 1 : std::min(m_firstWindow, m_ledger.oldestWindow().value_or(m_firstWindow));
    return std::max(next, oldestKept);
}

bool UsageReporting::isRipe(UsageWindow window, TimePoint now, WallTime wallNow) const
{
    const auto end = m_settings.windows.endOf(window);
    if (wallNow < end + m_settings.settleTime())
        return false;
    return now >= m_beganAt + collectionTime || wallNow >= end + m_settings.reportTime - dueMargin;
}

std::optional<StoreUsageRecord> UsageReporting::dueWrite(TimePoint now, WallTime wallNow) const
{
    StoreUsageRecord write { { m_stored->newest, {} }, m_revision };
    auto& record = write.record;
    for (auto window = firstOpenWindow(wallNow); isRipe(window, now, wallNow); ++window) {
        record.newest = window;
        record.unsent.push_back({ window, m_ledger.total(window) });
    }
    if (record.unsent.empty())
        return std::nullopt;
    std::vector<UsageReport> former;
    for (const auto& report : m_stored->unsent) {
        if (!m_accepted.contains(report.window))
            former.push_back(report);
    }
    record.unsent.insert(record.unsent.begin(), former.begin(), former.end());
    if (record.unsent.size() > maximumUnsent)
        record.unsent.erase(record.unsent.begin(), record.unsent.end() - static_cast<std::ptrdiff_t>(maximumUnsent));
    return write;
}

UsageStep UsageReporting::nextStep(TimePoint now, WallTime wallNow)
{
    const bool mayCallStore = now >= m_nextStoreCallAt;
    if (!m_stored)
        return mayCallStore ? UsageStep(ReadUsageRecord {}) : UsageStep();
    if (mayCallStore) {
        if (auto write = dueWrite(now, wallNow))
            return std::move(*write);
    }
    if (now < m_nextSendAt)
        return {};
    for (const auto& report : m_stored->unsent) {
        if (!m_accepted.contains(report.window))
            return SendUsageReport { report };
    }
    return {};
}

void UsageReporting::onRead(const std::optional<UsageRecord>& record, Revision revision)
{
    m_stored = record.value_or(UsageRecord {});
    m_revision = revision;
    m_ledger.closeUpTo(m_stored->newest);
}

void UsageReporting::onStored(const UsageRecord& record, Revision revision)
{
    m_stored = record;
    m_revision = revision;
    m_ledger.closeUpTo(record.newest);
    std::erase_if(m_accepted, [&](UsageWindow window) { return std::none_of(record.unsent.begin(), record.unsent.end(), [&](const auto& report) { return report.window == window; }); });
}

void UsageReporting::onStoreFailure(TimePoint now)
{
    m_stored.reset();
    m_nextStoreCallAt = now + storeRetryDelay;
}

void UsageReporting::onSent(UsageWindow window, DutyOutcome outcome, TimePoint now)
{
    if (outcome == DutyOutcome::Accepted)
        m_accepted.insert(window);
    else
        m_nextSendAt = now + sendRetryDelay;
}

std::size_t UsageReporting::unsentReports() const
{
    if (!m_stored)
        return 0;
    return static_cast<std::size_t>(std::count_if(m_stored->unsent.begin(), m_stored->unsent.end(), [this](const auto& report) { return !m_accepted.contains(report.window); }));
}

} // namespace cicadalb
