#include "CommandOutcome.h"

namespace cicadalb {

namespace {

    ExitCode exitCodeFor(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::FileUnreadable:
            return ExitCode::UsageError;
        case ErrorCode::NotSent:
        case ErrorCode::Unavailable:
        case ErrorCode::DeadlineExceeded:
        case ErrorCode::AnswerInvalid:
            return ExitCode::Unreachable;
        case ErrorCode::OutcomeUnknown:
            return ExitCode::Unknown;
        default:
            return ExitCode::Refused;
        }
    }

} // namespace

nlohmann::json toJson(const Errors& errors)
{
    auto list = nlohmann::json::array();
    for (const auto& error : errors) {
        list.push_back({
            { "code", static_cast<int>(error.code) },
            { "name", name(error.code) },
            { "message", error.message },
            { "where", error.where },
        });
    }
    return list;
}

CommandOutcome failureOutcome(ExitCode exitCode, const Errors& errors)
{
    CommandOutcome outcome;
    outcome.exitCode = exitCode;
    for (const auto& error : errors)
        outcome.text.append(describe(error)).append("\n");
    outcome.json["errors"] = toJson(errors);
    return outcome;
}

CommandOutcome failureOutcome(const Error& error)
{
    return failureOutcome(exitCodeFor(error.code), { error });
}

} // namespace cicadalb
