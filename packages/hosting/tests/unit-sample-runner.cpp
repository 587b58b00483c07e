#include "SampleRunner.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

TEST_CASE("run end, complete answer, counts against the item only for statuses 422 and 500")
{
    CHECK(runEndOf(AnswerKind::Answered, 200) == RunEnd::Complete);
    CHECK(runEndOf(AnswerKind::Answered, 500) == RunEnd::ServerError);
    CHECK(runEndOf(AnswerKind::Answered, 422) == RunEnd::Impossible);
    CHECK(runEndOf(AnswerKind::Answered, 504) == RunEnd::Broken);
    CHECK(runEndOf(AnswerKind::NotRun, 503) == RunEnd::NotRun);
    CHECK(runEndOf(AnswerKind::Misdirected, 421) == RunEnd::NotRun);
    CHECK(runEndOf(AnswerKind::Unusable, 200) == RunEnd::Broken);
}
