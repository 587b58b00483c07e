#pragma once

#include "HostCall.h"
#include "UsageDelivery.h"

#include "cicadalb/base/Task.h"
#include "cicadalb/services/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

/// @file
/// Sends this host's usage counts to the coordinator.

namespace cicadalb {

/// @brief Sends a message to one candidate for coordination and returns its reply.
using UsageExchange = std::function<Task<Result<UsageReply>>(std::size_t candidate, UsageMessage)>;

/// @brief Returns an exchange over HTTP. @param own answers messages to this process, the candidate after the last of the endpoints
/// @param unlisted the coordinator if it is none of these, the candidate after this process
UsageExchange makeHttpUsageExchange(const boost::asio::any_io_executor&, const std::vector<Endpoint>&, std::function<UsageReply(const UsageMessage&)> own, EndpointSource unlisted);

/// @brief Makes the calls that UsageDelivery decides on. Bound to one event loop.
class UsageSender : public std::enable_shared_from_this<UsageSender> {
public:
    /// Time allowed for a reply.
    static constexpr std::chrono::milliseconds replyTimeout { 250 };

    /// @param counter must outlive this object
    UsageSender(boost::asio::any_io_executor, UsageCounter&, UsageExchange, const Clock&, UsageDeliverySettings);

    /// @brief Makes the call that is due, if any.
    void tick();
    /// @brief Sends at once what the coordinator does not have yet. @return whether it has everything
    Task<bool> flush(Duration maximumWait);
    bool isDelivered() const { return m_delivery.isDelivered(); }

private:
    Task<void> makeCalls(UsageCall first);

    boost::asio::any_io_executor m_executor;
    UsageExchange m_exchange;
    const Clock& m_clock;
    UsageDelivery m_delivery;
    bool m_isLast = false;
};

} // namespace cicadalb
