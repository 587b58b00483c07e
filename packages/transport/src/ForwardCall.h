#pragma once

#include "RequestContext.h"

#include "cicadalb/transport/TargetClients.h"

/// @file
/// Passes a request on to a plain service and its answer back.

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

/// Field by which a target says that it did not run a request which it refuses with 503.
inline constexpr std::string_view notRunField = "X-Not-Run";

/// @brief What an exchange's error means for the target.
CompletionKind completionOf(ErrorCode) noexcept;

} // namespace cicadalb
