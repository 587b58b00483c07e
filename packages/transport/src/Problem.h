#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/routing/RunState.h"
#include "cicadalb/services/HttpClient.h"

#include <string>

/// @file
/// Errors as problem documents (RFC 9457).

namespace cicadalb {

/// Response field that says what became of the request.
inline constexpr std::string_view runStateField = "Cicadalb-Run-State";
/// Response field that names the weight versions of a model's answer.
inline constexpr std::string_view weightVersionsField = "Cicadalb-Weight-Versions";
inline constexpr std::string_view requestIdField = "X-Request-Id";

/// @brief What a problem document says besides its error.
struct ProblemDetails {
    /// 0: the status that belongs to the error's code.
    unsigned status = 0;
    RunState runState = RunState::NotSent;
    /// When another try makes sense; 0: not stated.
    Duration retryAfter {};
    std::string requestId;
};

/// @brief HTTP status that belongs to an error code.
unsigned httpStatus(ErrorCode) noexcept;

/// @brief The answer that tells a caller of @p error.
HttpResponse problemResponse(const Error& error, const ProblemDetails& details);

} // namespace cicadalb
