#pragma once

#include "UsageLedger.h"

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/KeyValueService.h"

#include <optional>
#include <set>
#include <variant>

/// @file
/// Which call the coordinator makes next for the usage reports.

namespace cicadalb {

struct UsageReportingSettings {
    UsageWindows windows;
    /// Time after the end of a window by which its report is due.
    std::chrono::milliseconds reportTime { 10000 };

    /// Time after the end of a window at which its report is fixed. The rest of the time is for a change of the coordinator and for repeats.
    std::chrono::milliseconds settleTime() const { return reportTime * 3 / 10; }
};

/// @brief Reads the stored record of the reports.
struct ReadUsageRecord { };
/// @brief Stores a record if the stored one still has this revision.
struct StoreUsageRecord {
    UsageRecord record;
    Revision expected = 0;
};
/// @brief Sends a report that is stored.
struct SendUsageReport {
    UsageReport report;
};

using UsageStep = std::variant<std::monostate, ReadUsageRecord, StoreUsageRecord, SendUsageReport>;

/// @brief A report is sent only once it is in the stored record, which changes only under the condition that nobody else has changed it, and whose
/// newest window only rises. So each window has one report whoever coordinates, and whichever calls are lost or made late. One write a window,
/// whatever the number of hosts; an accepted report leaves the record with the next write. If the store is unavailable nothing is reported:
/// a report that is missing can be told from one that is wrong. Has no clock and no sockets.
class UsageReporting {
public:
    /// A new coordinator fixes nothing for this long, so that the hosts can send what its predecessor had.
    static constexpr std::chrono::milliseconds collectionTime { 2500 };
    /// A report is fixed at the latest this long before it is due.
    static constexpr std::chrono::milliseconds dueMargin { 1000 };
    /// Delay after a call to the store that failed ...
    static constexpr std::chrono::milliseconds storeRetryDelay { 250 };
    /// ... or to the platform.
    static constexpr std::chrono::milliseconds sendRetryDelay { 1000 };
    /// Reports that are kept until the platform accepts them; older ones are given up.
    static constexpr std::size_t maximumUnsent = 12;

    /// @param ledger must outlive this object
    UsageReporting(UsageLedger& ledger, UsageReportingSettings, TimePoint beganAt, WallTime beganAtWall);

    UsageStep nextStep(TimePoint now, WallTime wallNow);
    /// @param record nothing if the key is absent
    void onRead(const std::optional<UsageRecord>& record, Revision);
    /// @brief The record was stored with this revision.
    void onStored(const UsageRecord&, Revision);
    /// @brief A read or a write has failed, or its outcome is not known.
    void onStoreFailure(TimePoint now);
    void onSent(UsageWindow, DutyOutcome, TimePoint now);
    /// @brief Number of reports that are fixed and that the platform is not known to have accepted.
    std::size_t unsentReports() const;

private:
    std::optional<StoreUsageRecord> dueWrite(TimePoint now, WallTime wallNow) const;
    UsageWindow firstOpenWindow(WallTime wallNow) const;
    bool isRipe(UsageWindow, TimePoint now, WallTime wallNow) const;

    UsageLedger& m_ledger;
    UsageReportingSettings m_settings;
    TimePoint m_beganAt;
    UsageWindow m_firstWindow;
    /// Empty before the first read and after a call whose outcome is not known.
    std::optional<UsageRecord> m_stored;
    Revision m_revision = 0;
    std::set<UsageWindow> m_accepted;
    TimePoint m_nextStoreCallAt;
    TimePoint m_nextSendAt;
};

} // namespace cicadalb
