#pragma once

#include "MirrorMessages.h"

#include "cicadalb/base/Task.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/site/TargetRegistry.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

/// @file
/// Recognizes requests that crash the targets that run them, and keeps them away from further targets.

namespace cicadalb {

/// @brief Reports which requests were running on targets that crashed, and holds the suspicions that follow from the reports of all hosts. The reports are records of
/// the store; candidates for coordination watch them and pass the suspects on, so that all hosts know of a crash within milliseconds. A host without
/// the store keeps to its own reports until they can be written. Bound to one event loop; shared by its coroutines.
class CrashGuard : public std::enable_shared_from_this<CrashGuard> {
public:
    /// Time for which reports are kept: a request that comes again all day stays blocked.
    static constexpr std::chrono::hours reportRetention { 24 };
    /// Largest number of records, and of suspects passed on; the oldest records are removed first.
    static constexpr std::size_t maximumRecords = 1024;
    static constexpr std::size_t maximumSuspects = 256;
    /// Reports of a host about one target share a write if they arrive within this time.
    static constexpr std::chrono::milliseconds reportDelay { 30 };
    /// Time for which a host judges by its own report after it was written; by then the suspects that it receives include it.
    static constexpr std::chrono::milliseconds ownReportRetention { 5000 };

    CrashGuard(boost::asio::any_io_executor, TransactionalStore&, HostId);

    /// @brief Key prefix of the reports.
    static std::string keyPrefix();

    // Requests
    bool hasSuspects() const noexcept { return !m_remote.empty() || !m_own.isEmpty() || !m_stored.isEmpty(); }
    SuspectRequest suspicion(const RequestFingerprint&) const;
    /// @brief The suspects that this process knows, by the records of the store or from a mirror.
    std::vector<SuspectRequest> knownSuspects() const;
    /// @brief Records that a target crashed while it ran a request of this host.
    void recordCrash(const RegisteredTarget&, const RequestFingerprint&);
    /// @brief Reads the reports of all hosts from the store if this process does not receive them at the moment, as when its mirror fails.
    Task<void> refresh();
    /// @brief Sets the condition under which refresh() reads the store.
    void setRefreshCondition(std::function<bool()> condition) { m_needsRefresh = std::move(condition); }
    /// @brief Records that a target answered a request, which is therefore harmless.
    void recordAnswer(const RequestFingerprint&);

    // Records
    /// @brief Applies records that this process has read from the store. @param isSnapshot whether these are all records
    void applyRecords(const WatchResult&, bool isSnapshot);
    /// @brief Applies the suspects that a mirror passes on; older ones than those known are ignored.
    void applySuspects(const SuspectList&);
    /// @brief The suspects according to the records that this process has read.
    const SuspectList& suspects() const noexcept { return m_list; }
    /// @brief Sets the handler that is called after each change of suspects().
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }
    /// @brief Deletes expired and surplus records; only the coordinator calls it.
    Task<void> deleteExpiredRecords();
    /// @brief Withdraws the suspicion against a request on all hosts.
    Task<Result<void>> withdraw(RequestFingerprint);

private:
    struct PendingReport {
        CrashReport report;
        bool isWriting = false;
        /// Requests were added since the last write began.
        bool isChanged = false;
    };

    /// Writes a report of this host, again after changes, and drops it some time later.
    Task<void> write(std::string key);
    Task<void> writeOnce(const std::string& key);
    void removeStored(const std::string& key);
    Task<void> writeHarmless(RequestFingerprint);
    void logBlocked(const SuspectRequest&);

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    HostId m_host;
    /// Reports of this host, by key.
    std::map<std::string, PendingReport> m_pending;
    /// The reports of this host that others may not have read yet.
    CrashEvidence m_own;
    /// All reports, if this process reads the records.
    CrashEvidence m_stored;
    /// Unix times of the records behind it, by key.
    std::map<std::string, std::chrono::milliseconds> m_recordTimes;
    std::map<RequestFingerprint, SuspectRequest> m_remote;
    Revision m_remoteRevision = 0;
    std::set<RequestFingerprint> m_answered;
    std::set<RequestFingerprint> m_loggedAsBlocked;
    SuspectList m_list;
    std::function<void()> m_changeHandler;
    std::function<bool()> m_needsRefresh;
};

} // namespace cicadalb
