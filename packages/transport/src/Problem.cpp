#include "Problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace cicadalb {

namespace {

    struct StatusRow {
        ErrorCode code;
        unsigned status;
    };

    constexpr auto statusRows = std::to_array<StatusRow>({
        { ErrorCode::NotSent, 503 },
        { ErrorCode::OutcomeUnknown, 502 },
        { ErrorCode::Conflict, 409 },
        { ErrorCode::AnswerInvalid, 502 },
        { ErrorCode::DeadlineExceeded, 504 },
        { ErrorCode::Unavailable, 503 },
        { ErrorCode::RouteUnknown, 404 },
        { ErrorCode::CallerUnknown, 401 },
        { ErrorCode::CallerNotAllowed, 403 },
        { ErrorCode::NoTargetAvailable, 503 },
        { ErrorCode::Overloaded, 503 },
        { ErrorCode::RetryBudgetSpent, 503 },
        { ErrorCode::KeyReused, 422 },
        { ErrorCode::KeyOutcomeUnknown, 409 },
        { ErrorCode::RequestInvalid, 400 },
        { ErrorCode::HostStopping, 503 },
        { ErrorCode::StepUnknown, 404 },
        { ErrorCode::StepConflict, 409 },
        { ErrorCode::CursorInvalid, 400 },
        { ErrorCode::TrainerUnknown, 401 },
        { ErrorCode::ValueInvalid, 400 },
        { ErrorCode::ValueMissing, 400 },
        { ErrorCode::SyntaxInvalid, 400 },
        { ErrorCode::PeerUnreachable, 503 },
    });

    constexpr unsigned internalServerError = 500;

    std::chrono::milliseconds roundedUpToMilliseconds(Duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(duration);
    }

} // namespace

unsigned httpStatus(ErrorCode code) noexcept
{
    const auto row = std::find_if(statusRows.begin(), statusRows.end(), [code](const auto& candidate) { return candidate.code == code; });
    return row == statusRows.end() ? internalServerError : row->status;
}

HttpResponse overloadResponse()
{
    constexpr std::chrono::seconds retryAfter { 1 };
    ProblemDetails details;
    details.retryAfter = retryAfter;
    return problemResponse(Error { ErrorCode::Overloaded, "this host has no memory left for the message", "host" }, details);
}

HttpResponse problemResponse(const Error& error, const ProblemDetails& details)
{
    HttpResponse response;
    response.status = details.status != 0 ? details.status : httpStatus(error.code);
    nlohmann::json document {
        { "type", "about:blank" },
        { "title", name(error.code) },
        { "status", response.status },
        { "detail", error.message },
        { "code", static_cast<unsigned>(error.code) },
        { "run-state", name(details.runState) },
    };
    if (!error.where.empty())
        document["where"] = error.where;
    if (!details.requestId.empty())
        document["request-id"] = details.requestId;
    response.fields.emplace_back("Content-Type", "application/problem+json");
    response.fields.emplace_back(runStateField, name(details.runState));
    if (!details.requestId.empty())
        response.fields.emplace_back(requestIdField, details.requestId);
    if (details.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(details.retryAfter);
        response.fields.emplace_back("Retry-After", std::to_string(seconds.count()));
        document["retry-after-ms"] = roundedUpToMilliseconds(details.retryAfter).count();
    }
    response.body = document.dump();
    return response;
}

} // namespace cicadalb
