#pragma once

#include "CapacityOrders.h"
#include "DefaultReleases.h"
#include "SampleRunner.h"
#include "StandbyCandidacy.h"
#include "UsageReports.h"
#include "WeightOrders.h"

#include "cicadalb/services/LeaseCandidate.h"

#include <map>
#include <memory>

/// @file
/// Election of the host that coordinates submissions and weight loads, and the work of the elected host.

namespace cicadalb {

/// @brief Monotonic clock that also counts the time in which the machine is suspended, so that a host notices after a resume that its lease has lapsed.
class BootClock final : public Clock {
public:
    TimePoint now() const noexcept override;
};

struct CoordinationSettings {
    HostId host;
    /// Address, as "IP:PORT", at which other hosts reach this process while it coordinates; empty: none.
    std::string address;
    /// Set if this process is not a candidate but a standby: how long the lease has to be vacant before it is requested.
    std::optional<Duration> standbyDelay;
    std::chrono::milliseconds leaseTimeToLive { 1600 };
    /// Time without weight orders between two holders of the lease.
    std::chrono::milliseconds orderQuietPeriod { 3000 };
    /// Whether the whole site starts for the first time.
    bool isFirstStart = false;
    SampleRunnerSettings samples;
    LoadPlanSettings loads;
    /// Address to which engines are ordered; empty: their number is not this system's to decide.
    std::optional<Endpoint> capacityPlatform;
    std::uint64_t seed = 0;
    /// Reports of organisations' usage; empty if this site has none.
    std::optional<UsageReportingSettings> usage;
    /// Address of the platform's interface for duties.
    Endpoint duties;
    /// Client of the other candidates' mirrors, or null. Must outlive the coordination.
    MirrorClient* mirrors = nullptr;
    /// Asks another candidate, by its index in @c mirrors, whether it reaches the targets. Empty: a coordinator that is cut off from them keeps its lease.
    std::function<Task<bool>(std::size_t candidate)> reachesTargets;
    /// Clock of the lease; null selects a BootClock. Must outlive the coordination.
    const Clock* leaseClock = nullptr;
};

struct LeaseHolder {
    HostId host;
    FencingNumber fence = 0;
    /// See CoordinationSettings::address.
    std::string address {};
};

/// @brief A candidate for the coordinator's lease. It requests the lease only while its watch shows that nobody, or an earlier process of this
/// host, holds it. After the lease has lapsed because the store was unavailable, the previous holder requests it first and continues its work
/// if no other host has held it in between. A holder that cannot reach the store asks the other candidates who holds the lease, since the
/// store may be refusing this host only. A holder that is cut off from all targets gives the lease up once another candidate states that it reaches them.
/// A planned change of coordinator begins with an offer: the holder gives no more orders, but goes on working until another process has replaced its
/// record. Then it stores what it has received and releases its own lease, whereupon the new holder begins.
/// A standby does nothing until observeCandidates() shows that no candidate can coordinate (see StandbyCandidacy).
/// Bound to one event loop.
class Coordination : public std::enable_shared_from_this<Coordination> {
public:
    Coordination(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, RequestPermits&, CrashGuard&, const Clock&, CoordinationSettings);

    void start();
    /// No order is sent with less than this time left on the lease, so that the last order is at least this old when another host can acquire
    /// the lease. A call that sends an order takes at most 600 ms.
    static constexpr std::chrono::milliseconds orderMargin { 900 };
    /// Longest time for which the lease is offered: a standby needs to notice that there is no candidate, and its delay.
    static constexpr std::chrono::milliseconds offerTime { 3000 };
    /// @brief Gives up coordination for good. Neither an offer nor the release of the lease comes earlier than orderMargin after the last order.
    Task<void> handOver();
    /// @brief Gives up coordination once another process has it. If none accepts the offer within offerTime, the lease is released.
    /// @return whether another process coordinates; if none does within @p maximumWait of the release, this one is a candidate again
    Task<bool> retire(Duration maximumWait);
    /// @brief Lets a standby see whether a candidate can coordinate. Called at short intervals; without effect on a candidate.
    void observeCandidates();
    /// @brief Whether this process can be expected to acquire the lease when it is vacant.
    bool isCandidate() const;
    /// @brief What mirrors pass on about coordination.
    CoordinationState state() const;
    void onSiteChanged();
    /// @brief Key prefix of the record that names the lease holder.
    static std::string holderKeyPrefix();
    /// @brief Sets the handler of each update of the holder's record in the store.
    void setUpdateHandler(std::function<void(const RecordUpdate&)> handler) { m_updateHandler = std::move(handler); }
    /// @brief See RecordWatch::restart().
    void restartWatches();
    /// @brief Time as of which the copy of the holder's record is known to be complete, on the lease's clock.
    std::optional<TimePoint> holderCompleteAsOf() const { return m_watch ? m_watch->completeAsOf() : std::nullopt; }
    bool isStandby() const noexcept { return m_standby.has_value(); }
    /// @brief Time for which the lease has been seen vacant; empty if somebody holds it or that is not known here.
    std::optional<Duration> vacantFor() const;
    bool isCoordinating() const noexcept { return m_sampleRunner != nullptr; }
    /// @brief Stops the work now if the lease was lost, instead of at the next periodic check.
    void checkLease() { updateLeaseState(); }
    /// @brief Earliest time for weight orders, on the lease's clock.
    TimePoint ordersAllowedFrom() const noexcept { return m_ordersAllowedFrom; }
    /// @brief Answers a message with the usage counts of a host.
    UsageReply collectUsage(const UsageMessage& message) { return m_usageReports ? m_usageReports->collect(message) : UsageReply {}; }
    /// @brief The usage reports of this coordinator, or null.
    const UsageReports* usageReports() const noexcept { return m_usageReports.get(); }
    std::size_t openSubmissions() const { return m_sampleRunner ? m_sampleRunner->openSubmissions() : 0; }
    std::size_t runningSamples() const { return m_sampleRunner ? m_sampleRunner->scheduler().runningCount() : 0; }
    /// @brief See SampleRunner::isPlacementPaused().
    bool isPlacementPaused() const { return m_sampleRunner && m_sampleRunner->isPlacementPaused(); }
    Duration loopDelay() const { return m_sampleRunner ? m_sampleRunner->placementGate().loopDelay() : Duration::zero(); }
    /// @brief The holder of the lease as far as it is known here; nothing if nobody holds it or it is not known.
    std::optional<LeaseHolder> holder() const;
    /// @brief Time since this host began to coordinate; nothing if it does not.
    std::optional<Duration> coordinatingFor() const { return m_sampleRunner ? std::optional(m_leaseClock.now() - m_workBeganAt) : std::nullopt; }
    /// @brief The engine orders of this coordinator, or null.
    const CapacityOrders* capacityOrders() const noexcept { return m_capacityOrders.get(); }
    CapacitySummary capacity() const { return m_capacityOrders ? m_capacityOrders->summary() : CapacitySummary {}; }
    std::size_t waitingSamples() const { return m_sampleRunner ? m_sampleRunner->scheduler().waitingCount() : 0; }
    /// @brief See SampleScheduler::prefillWaits(); of the work that runs now.
    std::uint64_t prefillWaits() const { return m_sampleRunner ? m_sampleRunner->scheduler().prefillWaits() : 0; }

private:
    /// Begins to watch the lease and to request it; without effect if that goes on.
    void activate();
    /// Ends both. A lease that is being requested is left to expire.
    void deactivate();
    bool isActive() const noexcept { return m_isActive && !m_isLeaving; }
    Task<void> wait(Duration) const;
    Task<void> maintainLease();
    Task<void> makeLeaseCalls();
    /// Gives the lease up if this host is cut off from the targets and another candidate is not.
    Task<void> yieldIfCutOff();
    Task<bool> isOtherCandidateReachingTargets();
    bool isYielding() const { return m_leaseClock.now() < m_yieldsUntil; }
    void giveBackIfCandidateReturned();
    /// Lets another process take over while this one goes on working. @return whether one has; the work has ended then
    Task<bool> offerLease(std::string_view reason, TimePoint until);
    Task<bool> writeOffer();
    /// Ends the work once another process has accepted the offer.
    Task<void> endAcceptedWork(std::string_view reason);
    /// Offers the lease and, if nobody accepts it, releases it and leaves it to others for a while.
    Task<void> yieldLease(std::string_view reason);
    /// Waits until the last order is orderMargin old.
    Task<void> awaitOrderMargin();
    bool isOffering() const noexcept { return m_offersInProgress > 0; }
    /// Takes note of the offer, if the record is one.
    void applyOffer(const KeyValueEntry&);
    /// Whether the holder, another process, lets this one replace its record.
    bool isLeaseOffered() const;
    bool mayAcceptOffer() const;
    /// Whether the holder whose offer was accepted may still be at work.
    bool isPredecessorWorking(TimePoint now) const;
    /// Whether the store names another process as the holder. @param baseline revision of the last holder's record that is known
    Task<bool> readsOtherHolder(Revision baseline);
    /// Waits until another process that is alive holds the lease.
    Task<bool> awaitSuccessor(Revision baseline, TimePoint until);
    bool isCutOff() const { return m_settings.samples.reachability && m_settings.samples.reachability->isCutOff(); }
    /// Ends the work and releases the lease, no earlier than orderMargin after the last order.
    Task<void> releaseLease(std::string_view reason);
    Task<void> tickPeriodically();
    void applyHolderRecords(const WatchResult&, bool isSnapshot);
    bool isOwnRecord(const std::string& holder) const;
    void recordHolder(const std::string& holder, Revision);
    /// Whether this host is known to have held the lease directly before the holder with this fencing number.
    bool isPredecessorThisHost(FencingNumber) const;
    /// Shortens the quiet period before the first order once the watch has shown this host's own record, and with it the previous holder.
    void shortenQuietPeriod();
    /// Whether to request the lease now.
    bool mayCampaign();
    /// Revision of the record that a request may replace, 0 if there is none; empty if the lease must not be requested now.
    std::optional<Revision> replaceableRevision() const;
    bool mayCampaignAsStandby() const;
    /// Reads the current holder of the lease from another candidate's mirror.
    Task<void> queryCandidate(std::size_t mirror);
    void queryCandidates();
    void updateLeaseState();
    bool isLeaseLost(TimePoint now);
    /// Whether another process is known to have acquired the lease after the revision @p own.
    bool isHeldByOther(Revision own) const;
    /// Whether neither the store nor any other candidate can be reached, so that another host may have taken over.
    bool isIsolated(TimePoint now) const;
    void beginWork(FencingNumber);
    void endWork(std::string_view reason);
    bool mayOrder() const;
    void beginUsageReports();
    /// When the last call was made that the next coordinator's calls have to follow; empty if none was.
    std::optional<TimePoint> lastOrderAt() const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    TargetClients& m_clients;
    RequestPermits& m_permits;
    CrashGuard& m_crashGuard;
    const Clock& m_clock;
    CoordinationSettings m_settings;
    BootClock m_bootClock;
    const Clock& m_leaseClock;
    LeaseCandidate m_lease;
    /// Empty on a candidate.
    std::optional<StandbyCandidacy> m_standby;
    std::shared_ptr<RecordWatch> m_watch;
    /// Holder of the lease as last reported by the store or another candidate; empty if nobody holds it.
    std::string m_holder;
    Revision m_holderRevision = 0;
    /// The most recent holders by the revision of their record. Cleared by a snapshot, which does not show earlier holders.
    std::map<Revision, std::string> m_recentHolders;
    bool m_isHolderKnown = false;
    /// When the lease was seen to become vacant, or to be offered, before the current holder acquired it; empty after a snapshot that names a holder.
    std::optional<TimePoint> m_vacantSince;
    /// Revision of the holder's record that the store's offer names; 0 if there is no offer.
    Revision m_offeredRevision = 0;
    /// When this process acquired the lease that it holds; empty if it holds none.
    std::optional<TimePoint> m_acquiredAt;
    /// Number of offerLease() calls in progress; a retirement and a stop by a signal may overlap.
    unsigned m_offersInProgress = 0;
    FencingNumber m_fence = 0;
    /// When this host, while coordinating, noticed that its lease had lapsed.
    std::optional<TimePoint> m_lapseNoticedAt;
    bool m_isLeaving = false;
    bool m_isRetiring = false;
    bool m_isActive = false;
    bool m_isMaintainingLease = false;
    bool m_isTicking = false;
    bool m_wasFenced = false;
    TimePoint m_ordersAllowedFrom;
    TimePoint m_workBeganAt;
    TimePoint m_leaseLastValidAt;
    TimePoint m_nextQueryAt;
    TimePoint m_nextYieldQueryAt;
    /// Until when this host leaves the lease to other candidates.
    TimePoint m_yieldsUntil;
    /// Time of the last reply from another candidate, or of the first query if none has replied; empty while the lease is valid.
    std::optional<TimePoint> m_lastReplyAt;
    std::function<void(const RecordUpdate&)> m_updateHandler;
    std::shared_ptr<DefaultReleases> m_defaultReleases;
    std::shared_ptr<SampleRunner> m_sampleRunner;
    std::shared_ptr<WeightOrders> m_weightOrders;
    std::shared_ptr<UsageReports> m_usageReports;
    std::shared_ptr<CapacityOrders> m_capacityOrders;
};

} // namespace cicadalb
