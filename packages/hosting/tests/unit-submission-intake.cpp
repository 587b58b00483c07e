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

    /// Lets the calls of one kind fail, from the @p first to before the @p last.
    void failWrites(CallFault fault, int first, int last)
    {
        auto call = std::make_shared<int>(0);
        store.faultOf = [=](CallKind kind) {
            if (kind != CallKind::Write)
                return CallFault::None;
            const auto number = (*call)++;
            return number >= first && number < last ? fault : CallFault::None;
        };
    }

    bool isStored() const
    {
        const auto found = store.entries().find(textKey(submission.id));
        return found != store.entries().end() && !isRefusalRecord(found->second.value);
    }
};

} // namespace

TEST_CASE_METHOD(IntakeFixture, "submission intake, of a submission that comes twice, accepts it once and says so twice")
{
    CHECK(accept() == IntakeOutcome::Accepted);
    const auto revision = store.entries().at(textKey(submission.id)).revision;
    CHECK(accept() == IntakeOutcome::Accepted);
    CHECK(store.entries().at(textKey(submission.id)).revision == revision);
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, of a write that the store refused, says that it was not accepted")
{
    failWrites(CallFault::Unavailable, 0, 1);
    CHECK(accept() == IntakeOutcome::NotAccepted);
    CHECK_FALSE(isStored());
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, of a write whose answer was lost, finds it")
{
    failWrites(CallFault::AnswerLost, 0, 1);
    CHECK(accept() == IntakeOutcome::Accepted);
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, of a write that may come late, says not accepted only once it can no longer take effect")
{
    failWrites(CallFault::AppliedLate, 0, 1);
    CHECK(accept() == IntakeOutcome::NotAccepted);
    store.advance(store.lateBy);
    CHECK_FALSE(isStored());
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, of a write that may come late when the store is then away, claims nothing")
{
    failWrites(CallFault::AppliedLate, 0, 2);
    CHECK(accept() == IntakeOutcome::Unknown);
}

TEST_CASE_METHOD(IntakeFixture, "submission intake, of a submission that was refused for good before, accepts it when it comes again")
{
    failWrites(CallFault::AppliedLate, 0, 1);
    CHECK(accept() == IntakeOutcome::NotAccepted);
    store.advance(store.lateBy);
    CHECK(accept() == IntakeOutcome::Accepted);
    CHECK(isStored());
}
