#pragma once

#include "PeerClient.h"

#include "cicadalb/membership/Assignment.h"
#include "cicadalb/rollout/StepService.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/RoutingTable.h"

#include <functional>
#include <memory>

/// @file
/// Trainers' requests to submit steps and pull batches, served on this host or forwarded to the host that coordinates the step.

namespace cicadalb {

enum class StepOperation : std::uint8_t { Submit,
    Pull };

/// @brief A trainer's request for one step, with its JSON body.
struct StepRequest {
    StepOperation operation = StepOperation::Submit;
    StepKey key;
    std::string body;
};

class StepEndpoints {
public:
    using AssignmentSource = std::function<std::shared_ptr<const Assignment>()>;

    /// @param controlExecutor the executor of the step service
    StepEndpoints(HostId self, boost::asio::any_io_executor controlExecutor, StepService&, const RoutingTable&, AssignmentSource, PeerClient&);

    /// @brief True if the path starts with /v1/trainers/.
    static bool handles(const ServerRequest&);

    /// @brief Serves a trainer's HTTP request.
    Task<void> serve(ServerRequest&, ServerResponder&);

    /// @brief Serves a step request that another host forwarded to this one.
    Task<Result<nlohmann::json>> serveForwarded(PeerRequestKind, nlohmann::json body);

private:
    Result<StepRequest> parseRequest(const ServerRequest&) const;
    Task<Result<std::string>> perform(StepRequest);
    Task<Result<std::string>> performLocally(StepRequest);
    Task<Result<std::string>> submitLocally(StepRequest);
    Task<Result<std::string>> pullLocally(StepRequest);

    HostId m_self;
    boost::asio::any_io_executor m_controlExecutor;
    StepService& m_steps;
    const RoutingTable& m_routing;
    AssignmentSource m_currentAssignment;
    PeerClient& m_peers;
};

} // namespace cicadalb
