#pragma once

#include "PeerClient.h"

#include "cicadalb/membership/Assignment.h"
#include "cicadalb/rollout/StepService.h"
#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/RoutingTable.h"

#include <functional>
#include <memory>

/// @file
/// Trainers' requests: submitted steps and pulled batches, served here or by the step's coordinator on another host.

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

    /// @p control is the executor of the step service.
    StepEndpoints(HostId self, boost::asio::any_io_executor control, StepService&, const RoutingTable&, AssignmentSource, PeerClient&);

    /// @brief True if the path belongs to trainers' steps.
    static bool handles(const ServerRequest&);

    /// @brief Serves a trainer over HTTP.
    Task<void> serve(ServerRequest&, ServerResponder&);

    /// @brief Serves a step that another host sent here.
    Task<Result<nlohmann::json>> serveForwarded(PeerRequestKind, nlohmann::json body);

private:
    Result<StepRequest> read(const ServerRequest&) const;
    Task<Result<std::string>> perform(StepRequest);
    Task<Result<std::string>> performHere(StepRequest);
    Task<Result<std::string>> submitHere(StepRequest);
    Task<Result<std::string>> pullHere(StepRequest);

    HostId m_self;
    boost::asio::any_io_executor m_control;
    StepService& m_steps;
    const RoutingTable& m_routing;
    AssignmentSource m_assignment;
    PeerClient& m_peers;
};

} // namespace cicadalb
