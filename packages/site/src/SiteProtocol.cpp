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

} // namespace

std::string_view name(AnswerKind kind) noexcept { return nameIn(answerKindNames, kind); }

} // namespace cicadalb
