#include "cicadalb/site/SiteProtocol.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    constexpr auto answerKindNames = std::to_array<EnumName<AnswerKind>>({
        { AnswerKind::Answered, "answered" },
        { AnswerKind::NotRun, "not-run" },
        { AnswerKind::Misdirected, "misdirected" },
        { AnswerKind::Unusable, "unusable" },
    });

    constexpr auto dutyOutcomeNames = std::to_array<EnumName<DutyOutcome>>({
        { DutyOutcome::Accepted, "accepted" },
        { DutyOutcome::Refused, "refused" },
        { DutyOutcome::NotExecuted, "not-executed" },
        { DutyOutcome::Unknown, "unknown" },
    });

} // namespace

std::string_view name(DutyOutcome outcome) noexcept { return nameIn(dutyOutcomeNames, outcome); }

std::string_view name(AnswerKind kind) noexcept { return nameIn(answerKindNames, kind); }

} // namespace cicadalb
