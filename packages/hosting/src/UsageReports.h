#pragma once

#include "UsageReporting.h"

#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/site/SiteProtocol.h"
#include "cicadalb/transport/TargetClients.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

/// @file
/// The coordinator's reports of each organisation's usage to the platform.

namespace cicadalb {

/// @brief Sends one report to the platform.
using UsageReportCall = std::function<Task<DutyOutcome>(DutyHolder, UsageReport)>;

/// @brief Returns a call to the platform's interface for duties at this address.
UsageReportCall makeUsageReportCall(const SiteProtocol&, TargetClients&, Endpoint);

struct UsageReportsSettings {
    HostId holder;
    FencingNumber fence = 0;
    /// Number of this collection of counts, unlike those of other coordinators and of earlier times.
    Incarnation collection = 0;
    UsageReportingSettings reporting;
};

/// @brief Callbacks into the rest of the coordinator.
struct UsageReportHooks {
    /// Whether a call may be made in the name of the site now; called directly before each call.
    std::function<bool()> mayOrder;
    /// The platform has refused a report because a holder with a higher fencing number has called.
    std::function<void()> onFenced;
    WallClock wallClock = [] { return std::chrono::system_clock::now(); };
};

/// @brief Totals since the start, for the metrics.
struct UsageReportTotals {
    std::uint64_t accepted = 0;
    std::uint64_t late = 0;
};

/// @brief Collects the counts of all hosts and makes the calls that UsageReporting decides on; only the coordinator has an instance. Bound to one event loop.
class UsageReports : public std::enable_shared_from_this<UsageReports> {
public:
    /// Time allowed for the platform's answer; a coordinator acts only while its lease lasts longer than this.
    static constexpr std::chrono::milliseconds callTimeout { 600 };
    static std::string recordKey() { return "usage/reports"; }

    UsageReports(boost::asio::any_io_executor, TransactionalStore&, UsageReportCall, const Clock&, UsageReportsSettings, UsageReportHooks);

    void stop() noexcept { m_isStopped = true; }
    /// @brief Makes the calls that are due.
    void tick();
    /// @brief Sets the new fencing number after the lease has lapsed and was reacquired with no other holder in between.
    void setFence(FencingNumber fence) noexcept { m_settings.fence = fence; }
    /// @brief When the last report was sent; empty if none was.
    std::optional<TimePoint> lastCallAt() const noexcept { return m_lastCallAt; }
    UsageReply collect(const UsageMessage&);
    const UsageReportTotals& totals() const noexcept { return m_totals; }
    std::size_t unsentReports() const { return m_reporting.unsentReports(); }

private:
    Task<void> makeDueCalls();
    /// @return whether another call may be due
    Task<bool> read();
    Task<bool> store(StoreUsageRecord);
    Task<bool> send(UsageReport);
    void logReport(const UsageReport&, DutyOutcome);

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    UsageReportCall m_call;
    const Clock& m_clock;
    UsageReportsSettings m_settings;
    UsageReportHooks m_hooks;
    UsageLedger m_ledger;
    UsageReporting m_reporting;
    std::optional<TimePoint> m_lastCallAt;
    UsageReportTotals m_totals;
    bool m_isCalling = false;
    bool m_isStopped = false;
};

} // namespace cicadalb
