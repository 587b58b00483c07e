#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/routing/RunState.h"
#include "cicadalb/services/HttpClient.h"

#include <string>

/// @file
/// Errors as problem documents (RFC 9457).

namespace cicadalb {

/// Response header field with the run state of the request.
inline constexpr std::string_view runStateField = "Cicadalb-Run-State";
/// Response header or trailer field that lists the weight versions which produced a generation.
inline constexpr std::string_view weightVersionsField = "Cicadalb-Weight-Versions";
inline constexpr std::string_view requestIdField = "X-Request-Id";

/// @brief Contents of a problem document besides its error.
struct ProblemDetails {
    /// HTTP status; 0: the one that httpStatus() returns for the error's code.
    unsigned status = 0;
    RunState runState = RunState::NotSent;
    /// Time after which the caller may retry; 0: omitted.
    Duration retryAfter {};
    std::string requestId;
};

/// @brief HTTP status for an error code; 500 for a code without an assigned status.
unsigned httpStatus(ErrorCode) noexcept;

/// @brief Refusal of a message for which there is no memory; it has not run.
HttpResponse overloadResponse();

/// @brief Builds the HTTP response that reports @p error to a caller.
HttpResponse problemResponse(const Error& error, const ProblemDetails& details);

} // namespace cicadalb
