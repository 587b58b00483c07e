#include "cicadalb/base/Error.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    constexpr auto errorNames = std::to_array<EnumName<ErrorCode>>({
        { ErrorCode::FileUnreadable, "file-unreadable" },
        { ErrorCode::SyntaxInvalid, "syntax-invalid" },
        { ErrorCode::NameUnknown, "name-unknown" },
        { ErrorCode::ValueInvalid, "value-invalid" },
        { ErrorCode::ValueMissing, "value-missing" },
        { ErrorCode::NameRemoved, "name-removed" },
        { ErrorCode::TableEmptied, "table-emptied" },
        { ErrorCode::ReferenceBroken, "reference-broken" },
        { ErrorCode::CapacityLost, "capacity-lost" },
        { ErrorCode::BaseOutdated, "base-outdated" },
        { ErrorCode::RecordTooLarge, "record-too-large" },
        { ErrorCode::ProofInvalid, "proof-invalid" },
        { ErrorCode::NotSent, "not-sent" },
        { ErrorCode::OutcomeUnknown, "outcome-unknown" },
        { ErrorCode::Conflict, "conflict" },
        { ErrorCode::AnswerInvalid, "answer-invalid" },
        { ErrorCode::DeadlineExceeded, "deadline-exceeded" },
        { ErrorCode::Unavailable, "unavailable" },
        { ErrorCode::Cancelled, "cancelled" },
        { ErrorCode::LeaseLost, "lease-lost" },
        { ErrorCode::HistoryLost, "history-lost" },
        { ErrorCode::DatagramInvalid, "datagram-invalid" },
        { ErrorCode::HostUnknown, "host-unknown" },
        { ErrorCode::RouteUnknown, "route-unknown" },
        { ErrorCode::CallerUnknown, "caller-unknown" },
        { ErrorCode::CallerNotAllowed, "caller-not-allowed" },
        { ErrorCode::NoTargetAvailable, "no-target-available" },
        { ErrorCode::Overloaded, "overloaded" },
        { ErrorCode::RetryBudgetSpent, "retry-budget-spent" },
        { ErrorCode::KeyReused, "key-reused" },
        { ErrorCode::KeyOutcomeUnknown, "key-outcome-unknown" },
        { ErrorCode::RequestInvalid, "request-invalid" },
        { ErrorCode::HostStopping, "host-stopping" },
        { ErrorCode::StepUnknown, "step-unknown" },
        { ErrorCode::StepConflict, "step-conflict" },
        { ErrorCode::CursorInvalid, "cursor-invalid" },
        { ErrorCode::FenceRejected, "fence-rejected" },
        { ErrorCode::TrainerUnknown, "trainer-unknown" },
        { ErrorCode::SubmissionInvalid, "submission-invalid" },
        { ErrorCode::RecordInvalid, "record-invalid" },
        { ErrorCode::PeerUnreachable, "peer-unreachable" },
        { ErrorCode::PeerUnauthenticated, "peer-unauthenticated" },
        { ErrorCode::MessageInvalid, "message-invalid" },
    });

} // namespace

std::string_view name(ErrorCode code) noexcept
{
    return nameIn(errorNames, code);
}

std::string describe(const Error& error)
{
    std::string line = "error " + std::to_string(static_cast<int>(error.code)) + " ";
    line += name(error.code);
    if (!error.where.empty())
        line += " at " + error.where;
    return line + ": " + error.message;
}

} // namespace cicadalb
