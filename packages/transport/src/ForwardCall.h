#pragma once

#include "RequestContext.h"

#include "cicadalb/transport/TargetClients.h"

/// @file
/// Forwards a request to a plain service and relays its response.

namespace cicadalb {

class ForwardCall final : public TargetCall {
public:
    explicit ForwardCall(TargetClients& clients)
        : m_clients(clients)
    {
    }
    Result<void> check(const RequestContext&) override { return success(); }
    Task<AttemptResult> attempt(const RequestContext&, const Target&, TimePoint deadline) override;

private:
    TargetClients& m_clients;
};

/// Header field of a 503 response; "true" if the target did not run the request.
inline constexpr std::string_view notRunField = "X-Not-Run";

/// @brief Maps the error of a failed HTTP request to the way the attempt ended.
CompletionKind completionKindFor(ErrorCode) noexcept;

} // namespace cicadalb
