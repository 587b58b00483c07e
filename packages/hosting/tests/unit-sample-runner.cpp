#include "SampleRunner.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

TEST_CASE("run end, complete answer, counts against the item only for statuses 422 and 500")
{
    CHECK(runOutcomeOf(AnswerKind::Answered, 200) == RunOutcome::Complete);
    CHECK(runOutcomeOf(AnswerKind::Answered, 500) == RunOutcome::ServerError);
    CHECK(runOutcomeOf(AnswerKind::Answered, 422) == RunOutcome::Impossible);
    CHECK(runOutcomeOf(AnswerKind::Answered, 504) == RunOutcome::Interrupted);
    CHECK(runOutcomeOf(AnswerKind::NotRun, 503) == RunOutcome::NotRun);
    CHECK(runOutcomeOf(AnswerKind::Misdirected, 421) == RunOutcome::NotRun);
    CHECK(runOutcomeOf(AnswerKind::Unusable, 200) == RunOutcome::Interrupted);
}
