#include "cicadalb/routing/RunState.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>

using namespace cicadalb;

namespace {

/// @brief A result of an attempt, and whether the request may have run in it.
struct AttemptResult {
    void (RequestRun::*apply)();
    bool mayHaveRun;
};

constexpr std::array<AttemptResult, 3> attemptResults = { {
    { &RequestRun::recordNotRun, false },
    { &RequestRun::recordAnswer, true },
    { &RequestRun::recordLoss, true },
} };

} // namespace

TEST_CASE("request run, after any attempts and late results, reports not run and allows another attempt only if that is certain to be safe")
{
    CHECK(rc::check("run state property", [](bool isIdempotent) {
        RequestRun run(isIdempotent);
        bool mayHaveRun = false;
        bool isAnswered = false;
        const auto steps = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 4));
        for (const auto step : steps) {
            const bool isRunning = run.state() == RunState::Sent;
            if (step == 3) {
                if (!isRunning && run.mayAttempt()) {
                    RC_ASSERT(isIdempotent || !mayHaveRun);
                    run.beginAttempt();
                }
            } else {
                (run.*attemptResults.at(step).apply)();
                mayHaveRun = mayHaveRun || (isRunning && attemptResults.at(step).mayHaveRun);
                isAnswered = isAnswered || (isRunning && step == 1);
            }
            RC_ASSERT(run.isKnownNotRun() == (!mayHaveRun && run.state() != RunState::Sent));
            RC_ASSERT(isAnswered == (run.state() == RunState::Answered));
            RC_ASSERT(!run.mayAttempt() || isIdempotent || !mayHaveRun);
            RC_ASSERT(!(isAnswered && run.mayAttempt()));
        }
    }));
}

TEST_CASE("request run, lost and then not run on a second target, stays unknown")
{
    RequestRun run(true);
    run.beginAttempt();
    run.recordLoss();
    run.beginAttempt();
    run.recordNotRun();
    CHECK(run.state() == RunState::Unknown);
    CHECK(run.attempts() == 2);
    CHECK(name(run.state()) == "unknown");
}

TEST_CASE("request run, of a lost request that is not repeatable, allows no further attempt")
{
    RequestRun run(false);
    run.beginAttempt();
    CHECK_FALSE(run.isKnownNotRun());
    run.recordLoss();
    CHECK_FALSE(run.mayAttempt());
}
