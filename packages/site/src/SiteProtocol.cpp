#include "cicadalb/site/SiteProtocol.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    constexpr auto answerNames = std::to_array<EnumName<AnswerKind>>({
        { AnswerKind::Answered, "answered" },
        { AnswerKind::NotRun, "not-run" },
        { AnswerKind::Misdirected, "misdirected" },
        { AnswerKind::Unusable, "unusable" },
    });

    constexpr auto orderNames = std::to_array<EnumName<OrderOutcome>>({
        { OrderOutcome::Accepted, "accepted" },
        { OrderOutcome::AlreadyHolds, "already-holds" },
        { OrderOutcome::Busy, "busy" },
        { OrderOutcome::Fenced, "fenced" },
        { OrderOutcome::Misdirected, "misdirected" },
        { OrderOutcome::Refused, "refused" },
    });

} // namespace

std::string_view name(AnswerKind kind) noexcept { return nameIn(answerNames, kind); }
std::string_view name(OrderOutcome outcome) noexcept { return nameIn(orderNames, outcome); }

} // namespace cicadalb
