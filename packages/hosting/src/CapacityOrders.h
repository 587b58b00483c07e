#pragma once

#include "DutyClient.h"
#include "SiteDirectory.h"

#include "cicadalb/site/CapacityOrderBook.h"
#include "cicadalb/submissions/SampleScheduler.h"

#include <functional>
#include <map>
#include <memory>

/// @file
/// Orders engines from the platform.

namespace cicadalb {

struct CapacityOrderSettings {
    HostId holder;
    FencingNumber fence = 0;
    /// Address of the platform's interface for duties.
    Endpoint platform;
};

/// @brief Engines of all pools whose number is this system's to decide.
struct CapacitySummary {
    unsigned needed = 0;
    unsigned ordered = 0;
    unsigned registered = 0;
};

/// @brief Orders engines for the pools whose configuration says how many may be ordered; only the coordinator has an instance. A new one knows the
/// registered engines only: it orders once samples have run under it. Bound to one event loop.
class CapacityOrders : public std::enable_shared_from_this<CapacityOrders> {
public:
    /// @param mayOrder whether an order may be given now; called directly before each call
    CapacityOrders(boost::asio::any_io_executor, const SiteProtocol&, SiteDirectory&, const SampleScheduler&, const Clock&, CapacityOrderSettings, std::function<bool()> mayOrder);

    void stop() { m_isStopped = true; }
    /// @brief See WeightOrders::setFence().
    void setFence(FencingNumber fence) noexcept { m_settings.fence = fence; }
    /// @brief When the last order was sent; empty if none was.
    std::optional<TimePoint> lastOrderAt() const noexcept { return m_client.lastCallAt(); }
    /// @brief Observes the engines, decides, and sends the orders that are due.
    void tick();
    CapacitySummary summary() const;

private:
    struct PoolState {
        EngineNeed need;
        CapacityOrderBook book;
        Fleet present;
    };

    void update(const SitePool&, PoolState&);
    EngineUse observe(const SitePool&, PoolState&) const;
    Task<void> order(PoolName, CapacityDecision);

    boost::asio::any_io_executor m_executor;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    const SampleScheduler& m_scheduler;
    const Clock& m_clock;
    CapacityOrderSettings m_settings;
    std::function<bool()> m_mayOrder;
    DutyClient m_client;
    std::map<PoolName, PoolState> m_pools;
    TimePoint m_nextUpdateAt;
    unsigned m_callsInFlight = 0;
    bool m_isStopped = false;
};

} // namespace cicadalb
