#pragma once

#include "SampleRunner.h"
#include "WeightOrders.h"

#include "cicadalb/services/LeaseKeeper.h"

#include <map>
#include <memory>

/// @file
/// Which host coordinates submissions and weights, and its work while it does.

namespace cicadalb {

/// @brief Steady time that goes on while the machine is suspended, so that a host that wakes knows that its lease has lapsed.
class BootClock final : public Clock {
public:
    TimePoint now() const noexcept override;
};

struct CoordinationSettings {
    HostId host;
    std::chrono::milliseconds leaseTime { 1600 };
    /// Time without orders between two holders.
    std::chrono::milliseconds orderQuiet { 3000 };
    SampleRunnerSettings samples;
    LoadPlanSettings loads;
    std::uint64_t seed = 0;
    /// Mirrors of other candidates, if any; outlives the coordination.
    MirrorClient* mirrors = nullptr;
    /// Time of the lease; empty: the steady time that goes on while the machine is suspended. Outlives the coordination.
    const Clock* leaseClock = nullptr;
};

/// @brief A candidate for coordination. It asks for the lease only when nobody holds it, which a watch shows. A holder whose lease lapsed
/// while the store was away is the first to ask again, and goes on with its work if nobody else held it meanwhile. One that cannot reach the
/// store asks the other candidates who holds the lease, since the store may turn away this host alone.
/// Bound to one event loop.
class Coordination : public std::enable_shared_from_this<Coordination> {
public:
    Coordination(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, const Clock&, CoordinationSettings);

    void start();
    /// No order is begun with less of the lease left, so that the last one is as old when another host can have it. A call for an order takes
    /// 600 ms at most.
    static constexpr std::chrono::milliseconds orderMargin { 900 };
    /// @brief Gives coordination up, and does not ask for it again. The lease ends orderMargin after the last order at the earliest.
    Task<void> handOver();
    void siteChanged();
    /// @brief Prefix of the record that names the holder.
    static std::string holderRecords();
    /// @brief Called with what is seen of the holder in the store.
    void onNews(std::function<void(const RecordNews&)> handler) { m_onNews = std::move(handler); }
    /// @brief See RecordWatch::restart().
    void restartWatches();
    bool isFollowingHolder() const { return m_watch && m_watch->isCurrent(); }
    bool isCoordinating() const noexcept { return m_samples != nullptr; }
    /// @brief No order is given before this moment of the lease's clock.
    TimePoint ordersFrom() const noexcept { return m_ordersFrom; }
    std::size_t openSubmissions() const { return m_samples ? m_samples->openSubmissions() : 0; }
    std::size_t runningSamples() const { return m_samples ? m_samples->scheduler().running() : 0; }
    std::size_t waitingSamples() const { return m_samples ? m_samples->scheduler().waiting() : 0; }

private:
    Task<void> keepLease();
    Task<void> keepTime();
    void takeHolder(const WatchResult&, bool isSnapshot);
    bool isOwnRecord(const std::string& holder) const;
    void recordHolder(const std::string& holder, Revision);
    /// Whether the holder before the one with this number is known to be this host.
    bool isOwnPredecessor(FencingNumber) const;
    /// Shortens the pause before the first order once the watch has shown the own record, and so who held the lease before.
    void shortenPause();
    /// Whether to ask for the lease now.
    bool mayCampaign();
    /// Asks another candidate who holds the lease.
    Task<void> askOther(std::size_t mirror);
    void askOthers();
    void followLease();
    bool isLost(TimePoint now);
    /// Whether neither the store nor another candidate can be reached, so that others may well have taken over.
    bool isAlone(TimePoint now) const;
    void begin(FencingNumber);
    void end(std::string_view reason);
    bool mayOrder() const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    TargetClients& m_clients;
    const Clock& m_clock;
    CoordinationSettings m_settings;
    BootClock m_bootClock;
    const Clock& m_leaseClock;
    LeaseKeeper m_lease;
    std::shared_ptr<RecordWatch> m_watch;
    /// Who holds the lease as the store last said; empty: nobody.
    std::string m_holder;
    Revision m_holderRevision = 0;
    /// Holders by the revision of their record, the last ones; emptied by a snapshot, which does not show who came and went.
    std::map<Revision, std::string> m_namedHolders;
    bool m_knowsHolder = false;
    /// Since when the store is known to have named no holder before the present one; empty after a snapshot that names one.
    std::optional<TimePoint> m_vacantSince;
    FencingNumber m_fence = 0;
    /// When a holder found that its lease had lapsed.
    std::optional<TimePoint> m_lostAt;
    bool m_isLeaving = false;
    bool m_wasFenced = false;
    TimePoint m_ordersFrom;
    TimePoint m_lastValidAt;
    TimePoint m_askAt;
    /// When another candidate answered last, or since when they are asked; empty while the lease is valid.
    std::optional<TimePoint> m_heardAt;
    std::function<void(const RecordNews&)> m_onNews;
    std::shared_ptr<SampleRunner> m_samples;
    std::shared_ptr<WeightOrders> m_weights;
};

} // namespace cicadalb
