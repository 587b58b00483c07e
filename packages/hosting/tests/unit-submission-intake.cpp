#include "SubmissionIntake.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct IntakeFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    SubmissionIntake intake { store };
    Submission submission;

    IntakeFixture() { submission.id = SubmissionId("7c41e0"); }

    IntakeOutcome accept()
    {
        const auto pending = startTask(context.get_executor(), intake.accept(submission));
        context.restart();
        context.poll();
        REQUIRE(*pending);
        return **pending;
    }

    bool end()
    {
        const auto pending = startTask(context.get_executor(), intake.end(submission.id));
        context.restart();
        context.poll();
        REQUIRE(*pending);
        return (**pending).has_value();
    }

    /// Applies @p fault to writes number @p first (from 0) up to, but not including, @p last.
    void failWrites(CallFault fault, int first, int last)
    {
        auto call = std::make_shared<int>(0);
        store.selectFault = [=](CallKind kind) {
            if (kind != CallKind::Write)
                return CallFault::None;
            const auto number = (*call)++;
            return number >= first && number < last ? fault : CallFault::None;
        };
    }

    bool isStored() const
    {
        const auto found = store.entries().find(submissionKey(submission.id));
        return found != store.entries().end() && !isRefusalRecord(found->second.value);
    }
};

} // namespace

TEST_CASE_METHOD(IntakeFixture, "submission intake, the same submission twice, stores it once and accepts it twice")
{
    CHECK(accept() == IntakeOutcome::Accepted);
    const auto revision = store.entries().at(submissionKey(submission.id)).revision;
    CHECK(accept() == IntakeOutcome::Accepted);
    CHECK(store.entries().at(submissionKey(submission.id)).revision == revision);
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, write refused by the store, reports the submission as not accepted")
{
    failWrites(CallFault::Unavailable, 0, 1);
    CHECK(accept() == IntakeOutcome::NotAccepted);
    CHECK_FALSE(isStored());
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, answer to the write lost, finds the stored submission and accepts it")
{
    failWrites(CallFault::AnswerLost, 0, 1);
    CHECK(accept() == IntakeOutcome::Accepted);
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, write that may take effect late, reports not accepted only when it can no longer take effect")
{
    failWrites(CallFault::AppliedLate, 0, 1);
    CHECK(accept() == IntakeOutcome::NotAccepted);
    store.advance(store.lateWriteDelay);
    CHECK_FALSE(isStored());
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, write that may take effect late and store then unavailable, reports the outcome as unknown")
{
    failWrites(CallFault::AppliedLate, 0, 2);
    CHECK(accept() == IntakeOutcome::Unknown);
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, submission sent again after a refusal record was written, accepts it")
{
    failWrites(CallFault::AppliedLate, 0, 1);
    CHECK(accept() == IntakeOutcome::NotAccepted);
    store.advance(store.lateWriteDelay);
    CHECK(accept() == IntakeOutcome::Accepted);
    CHECK(isStored());
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, id of another organisation's submission, keeps that one and does not accept the other")
{
    submission.organisation = OrganisationName("north");
    CHECK(accept() == IntakeOutcome::Accepted);
    const auto revision = store.entries().at(submissionKey(submission.id)).revision;
    submission.organisation = OrganisationName("south");
    CHECK(accept() == IntakeOutcome::OtherOrganisation);
    CHECK(store.entries().at(submissionKey(submission.id)).revision == revision);
    CHECK(store.entries().at(organisationKey(submission.id)).value == "north");
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, answer lost and the id held by another organisation, does not accept the submission")
{
    submission.organisation = OrganisationName("north");
    CHECK(accept() == IntakeOutcome::Accepted);
    submission.organisation = OrganisationName("south");
    failWrites(CallFault::AnswerLost, 0, 1);
    CHECK(accept() != IntakeOutcome::Accepted);
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, first answer to an end lost, acknowledges the end in the same call")
{
    failWrites(CallFault::FirstAnswerLost, 0, 1);
    CHECK(end());
    CHECK(store.entries().contains(endKey(submission.id)));
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, end refused by the store, does not acknowledge it and marks it at the next call")
{
    failWrites(CallFault::Unavailable, 0, 1);
    CHECK_FALSE(end());
    CHECK_FALSE(store.entries().contains(endKey(submission.id)));
    CHECK(end());
    CHECK(store.entries().contains(endKey(submission.id)));
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, first answer to a submission lost, does not send the write again")
{
    failWrites(CallFault::FirstAnswerLost, 0, 1);
    CHECK(accept() == IntakeOutcome::Accepted);
    CHECK(store.counts().writes == 1);
}
