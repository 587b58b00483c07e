#pragma once

#include "Coordination.h"
#include "RecordWatch.h"

/// @file
/// The removal of a host for good, ordered by the operator.

namespace cicadalb {

/// @brief Retires this host when the store has an order for it. Coordination is the only work that has to be handed over. The operator may remove the machine as
/// soon as the status says that the retirement is done, so that it is written only once another process coordinates. Bound to one event loop.
class Retirement : public std::enable_shared_from_this<Retirement> {
public:
    /// Longest time without a coordinator while another process is awaited. If none takes over, this host coordinates again ...
    static constexpr std::chrono::milliseconds maximumWait { 4000 };
    /// ... and tries once more after this time, which doubles up to the longest one, since each attempt interrupts the work.
    static constexpr std::chrono::milliseconds firstRetryInterval { 5000 };
    static constexpr std::chrono::milliseconds longestRetryInterval { 20000 };

    Retirement(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, std::shared_ptr<Coordination>, const Clock&, HostId);

    /// @brief Begins to watch for orders.
    void start();
    /// @brief See RecordWatch::restart().
    void restartWatch();

private:
    void applyOrders(const std::vector<KeyValueEntry>&);
    Task<void> retire();
    /// Writes that the retirement has begun, unless the store has a status already.
    Task<void> writeBegun();
    /// Writes that the retirement is done until the store has accepted it.
    Task<void> writeDone();
    Task<void> wait(Duration) const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    std::shared_ptr<Coordination> m_coordination;
    const Clock& m_clock;
    HostId m_host;
    std::shared_ptr<RecordWatch> m_watch;
    bool m_isRetiring = false;
    bool m_isDone = false;
};

} // namespace cicadalb
