#pragma once

#include "SampleRunner.h"
#include "WeightOrders.h"

#include "cicadalb/services/LeaseKeeper.h"

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
};

/// @brief A candidate for coordination. It asks for the lease only when nobody holds it, which a watch shows. A holder whose lease lapsed
/// while the store was away is the first to ask again, and goes on with its work if nobody else held it meanwhile.
/// Bound to one event loop.
class Coordination : public std::enable_shared_from_this<Coordination> {
public:
    Coordination(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, const Clock&, CoordinationSettings);

    void start();
    /// @brief Gives coordination up, and does not ask for it again. @param quiet time between the last order and the lease's end
    Task<void> handOver(Duration quiet);
    void siteChanged();
    bool isCoordinating() const noexcept { return m_samples != nullptr; }
    std::size_t openSubmissions() const { return m_samples ? m_samples->openSubmissions() : 0; }
    std::size_t runningSamples() const { return m_samples ? m_samples->scheduler().running() : 0; }
    std::size_t waitingSamples() const { return m_samples ? m_samples->scheduler().waiting() : 0; }

private:
    Task<void> keepLease();
    Task<void> keepTime();
    void takeHolder(const std::vector<KeyValueEntry>&, bool isSnapshot);
    bool mayCampaign() const;
    void followLease();
    bool isLost(TimePoint now);
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
    LeaseKeeper m_lease;
    std::shared_ptr<RecordWatch> m_watch;
    /// Who holds the lease as the store last said; empty: nobody.
    std::string m_holder;
    bool m_knowsHolder = false;
    /// Since when the store is known to name no holder.
    TimePoint m_vacantSince;
    FencingNumber m_fence = 0;
    /// When a holder found that its lease had lapsed.
    std::optional<TimePoint> m_lostAt;
    bool m_isLeaving = false;
    bool m_wasFenced = false;
    TimePoint m_begunAt;
    TimePoint m_lastValidAt;
    std::shared_ptr<SampleRunner> m_samples;
    std::shared_ptr<WeightOrders> m_weights;
};

} // namespace cicadalb
