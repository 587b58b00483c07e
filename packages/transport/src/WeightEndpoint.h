#pragma once

#include "cicadalb/rollout/WeightRegistry.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/RoutingTable.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>

/// @file
/// Trainers' announcements of new weights: POST /v1/weights.

namespace cicadalb {

class WeightEndpoint {
public:
    /// @param controlExecutor the executor of the registry's key-value service
    WeightEndpoint(HostId self, boost::asio::any_io_executor controlExecutor, WeightRegistry&, const RoutingTable&);

    static bool handles(const ServerRequest&);
    Task<void> serve(ServerRequest&, ServerResponder&);

private:
    Result<WeightAnnouncement> parseAnnouncement(const ServerRequest&) const;

    HostId m_self;
    boost::asio::any_io_executor m_controlExecutor;
    WeightRegistry& m_registry;
    const RoutingTable& m_routing;
    std::atomic<std::uint64_t> m_nextWriterNumber { 1 };
};

} // namespace cicadalb
