#pragma once

#include "DefaultRelease.h"

#include "cicadalb/base/ClockTimer.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/services/TransactionalStore.h"

#include <boost/asio/any_io_executor.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

/// @file
/// The software that began the streams of callers, as every host can find it out.

namespace cicadalb {

/// @brief Records which software began a stream, unless it is the default release of the stream's route, and finds it again. Records of many
/// streams share a write. Bound to one event loop; shared by its coroutines.
class StreamOrigins : public std::enable_shared_from_this<StreamOrigins> {
public:
    /// Number of streams that a host remembers itself.
    static constexpr std::size_t maximumStreams = 20000;
    /// Number of records that wait for the store; streams beyond it are not recorded.
    static constexpr std::size_t maximumWaitingRecords = 20000;
    /// Entries of one write.
    static constexpr std::size_t maximumEntriesInWrite = 32;
    /// The store removes records no earlier than longestStream after they were written, and no later than this.
    static constexpr std::chrono::minutes recordTimeToLive { 10 };
    /// Age from which the known default release of a route is read again, while it is still used.
    static constexpr std::chrono::seconds refreshAge { 10 };
    /// Age up to which it is used. It is replaced only longestStream after it was retired.
    static constexpr std::chrono::seconds maximumDefaultAge { 60 };
    static constexpr std::chrono::milliseconds writeRetryDelay { 100 };

    /// @param clock must also count the time in which the machine is suspended
    StreamOrigins(boost::asio::any_io_executor, TransactionalStore&, const Clock& clock);

    /// @brief Records the software that began a stream; to be called before the caller receives the first event. Waits for the store at most @p maximumWait.
    /// @return whether every host can find it out now. Otherwise only this host knows it, and goes on trying to store it.
    Task<bool> record(const SiteRoute&, RequestId firstAttempt, SoftwareRelease, Duration maximumWait);
    /// @brief Finds the software that began a stream of a route. @return nothing if no record says it. Errors: those of the store.
    Task<Result<std::optional<SoftwareRelease>>> find(const SiteRoute&, RequestId firstAttempt);

    /// @brief The default release of a route as it is stored now. Errors: those of the store.
    Task<Result<std::optional<DefaultRelease>>> readDefault(const SiteRoute&);

    /// @brief Whether streams of a route that may still be continued began at another release than its default one. Errors: those of the store.
    Task<Result<bool>> haveBegunElsewhere(const SiteRoute&);

    /// @brief Number of records that are not stored yet.
    std::size_t waitingRecords() const noexcept { return m_waiting.size(); }
    /// @brief Number of records stored since the start.
    std::uint64_t storedRecords() const noexcept { return m_storedRecords; }

private:
    struct KnownDefault {
        std::optional<DefaultRelease> value;
        TimePoint readAt;
        bool isReading = false;
    };

    struct WaitingRecord {
        WaitingRecord(const boost::asio::any_io_executor& executor, const Clock& clock)
            : stored(executor, clock)
        {
        }
        StoreWrite write;
        RouteName route;
        ClockTimer stored;
        bool isStored = false;
    };

    void remember(const RequestId&, const SoftwareRelease&);
    /// The default release of a route, which may have been read up to maximumDefaultAge ago.
    Task<std::optional<DefaultRelease>> defaultRelease(const SiteRoute&);
    Task<void> refreshDefault(std::string key);
    Task<void> writeWaiting();
    Task<Result<void>> writeBatch();
    Task<Result<void>> ensureLease();

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const Clock& m_clock;
    std::map<RequestId, SoftwareRelease> m_releases;
    /// Keys of m_releases in the order in which they were added.
    std::deque<RequestId> m_order;
    std::map<std::string, KnownDefault> m_defaults;
    std::deque<std::shared_ptr<WaitingRecord>> m_waiting;
    LeaseId m_lease = 0;
    /// Routes under otherReleasesPrefix() with a record under the lease.
    std::set<RouteName> m_markedRoutes;
    TimePoint m_leaseGrantedAt;
    std::uint64_t m_storedRecords = 0;
    bool m_isWriting = false;
};

} // namespace cicadalb
