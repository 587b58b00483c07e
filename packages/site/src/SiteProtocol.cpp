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

} // namespace

std::string_view name(AnswerKind kind) noexcept { return nameIn(answerNames, kind); }

} // namespace cicadalb
