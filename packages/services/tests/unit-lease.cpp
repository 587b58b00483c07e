#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/LeaseCandidate.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <ostream>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds longestAction { 3000 };

/// Candidates for one lease on a manual clock.
struct CandidatesFixture {
    static constexpr std::size_t candidateCount = 3;
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    std::vector<std::unique_ptr<LeaseCandidate>> keepers;
    std::vector<Pending<TimePoint>> steps { candidateCount };

    CandidatesFixture()
    {
        for (std::size_t i = 0; i < candidateCount; ++i) {
            LeaseSettings settings;
            settings.key = "lease";
            settings.holder = "host-" + std::to_string(i);
            keepers.push_back(std::make_unique<LeaseCandidate>(service, clock, settings, i));
        }
    }

    /// Runs one candidate until it waits for an answer or for the next call time.
    void step(std::size_t i)
    {
        if (!steps[i] || *steps[i])
            steps[i] = startTask(context.get_executor(), keepers[i]->step());
        runReadyHandlers();
    }

    void runReadyHandlers()
    {
        context.restart();
        context.poll();
    }

    void advance(std::chrono::milliseconds time)
    {
        service.advance(time);
        runReadyHandlers();
    }

    /// Runs all candidates for @p time.
    void runAll(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds tick { 100 };
        for (auto elapsed = 0ms; elapsed < time; elapsed += tick) {
            for (std::size_t i = 0; i < candidateCount; ++i)
                step(i);
            advance(tick);
        }
    }

    std::size_t holderCount() const
    {
        return static_cast<std::size_t>(std::count_if(keepers.begin(), keepers.end(), [](const auto& keeper) { return keeper->mayAct(longestAction); }));
    }
};

struct CandidateStep {
    std::size_t candidate;
    std::chrono::milliseconds pause;
    CallFault fault;
    std::chrono::milliseconds delay;
};

void showValue(const CandidateStep& step, std::ostream& stream)
{
    stream << "step " << step.candidate << " fault " << static_cast<int>(step.fault) << " delay " << step.delay.count() << " then " << step.pause.count() << " ms";
}

rc::Gen<CandidateStep> arbitraryStep()
{
    return rc::gen::construct<CandidateStep>(rc::gen::inRange<std::size_t>(0, CandidatesFixture::candidateCount),
        rc::gen::element(0ms, 0ms, 100ms, 1000ms, 4000ms, 11000ms),
        rc::gen::weightedElement<CallFault>({ { 6, CallFault::None }, { 1, CallFault::Unavailable }, { 1, CallFault::NotSent }, { 2, CallFault::AnswerLost }, { 2, CallFault::RequestLost } }),
        rc::gen::element(0ms, 0ms, 0ms, 500ms, 9000ms));
}

} // namespace

TEST_CASE("lease, random pauses, outages and lost answers, only the owner of the key acts and fencing numbers never decrease")
{
    CHECK(rc::check("only one holder acts", [] {
        const auto steps = *rc::gen::scale(2.0, rc::gen::container<std::vector<CandidateStep>>(arbitraryStep()));
        CandidatesFixture candidates;
        FencingNumber highest = 0;
        std::size_t holder = CandidatesFixture::candidateCount;
        TimePoint actionEnds;
        for (const auto& step : steps) {
            candidates.service.selectFault = [&](CallKind) { return step.fault; };
            candidates.service.answerDelay = step.delay;
            candidates.step(step.candidate);
            candidates.advance(step.pause);
            for (std::size_t i = 0; i < CandidatesFixture::candidateCount; ++i) {
                if (!candidates.keepers[i]->mayAct(longestAction))
                    continue;
                const auto number = *candidates.keepers[i]->fencingNumber();
                RC_ASSERT(number >= highest);
                RC_ASSERT(i == holder || candidates.clock.now() >= actionEnds);
                RC_ASSERT(candidates.service.entries().at("lease").revision == number);
                highest = number;
                holder = i;
                actionEnds = candidates.clock.now() + longestAction;
            }
        }
    }));
}

TEST_CASE_METHOD(CandidatesFixture, "lease, several candidates, one of them acquires the lease and keeps it")
{
    runAll(5000ms);
    REQUIRE(holderCount() == 1);
    const auto revision = service.entries().at("lease").revision;
    runAll(60000ms);
    CHECK(holderCount() == 1);
    CHECK(service.entries().at("lease").revision == revision);
}

TEST_CASE_METHOD(CandidatesFixture, "lease, holder pauses until the lease expires, another candidate acquires it and the old holder does not act")
{
    runAll(5000ms);
    const auto first = static_cast<std::size_t>(std::find_if(keepers.begin(), keepers.end(), [](const auto& keeper) { return keeper->mayAct(longestAction); }) - keepers.begin());
    const auto before = *keepers[first]->fencingNumber();
    constexpr int rounds = 300;
    for (int i = 0; i < rounds; ++i) {
        for (std::size_t j = 0; j < candidateCount; ++j) {
            if (j != first)
                step(j);
        }
        advance(100ms);
    }
    CHECK(!keepers[first]->mayAct(0ms));
    REQUIRE(holderCount() == 1);
    step(first);
    CHECK(!keepers[first]->fencingNumber());
    const auto& next = *std::find_if(keepers.begin(), keepers.end(), [](const auto& keeper) { return keeper->mayAct(longestAction); });
    CHECK(*next->fencingNumber() > before);
}

TEST_CASE_METHOD(CandidatesFixture, "lease, remaining validity is shorter than the longest action, only shorter actions may start")
{
    constexpr int stepsToHold = 4;
    for (int i = 0; i < stepsToHold; ++i)
        step(0);
    advance(8000ms);
    CHECK(!keepers[0]->mayAct(longestAction));
    CHECK(keepers[0]->mayAct(1000ms));
}

TEST_CASE_METHOD(CandidatesFixture, "lease, answer to the write of the key is lost, candidate holds the lease after reading the key")
{
    service.selectFault = [](CallKind kind) { return kind == CallKind::Write ? CallFault::AnswerLost : CallFault::None; };
    constexpr int stepsToHold = 4;
    for (int i = 0; i < stepsToHold; ++i)
        step(0);
    CHECK(keepers[0]->mayAct(longestAction));
}

TEST_CASE_METHOD(CandidatesFixture, "lease, targets that ignore fencing numbers, no action starts until actions of an earlier holder have ended")
{
    constexpr int stepsToHold = 4;
    for (int i = 0; i < stepsToHold; ++i)
        step(0);
    CHECK(keepers[0]->mayAct(longestAction));
    CHECK(!keepers[0]->mayActUnfenced(longestAction));
    for (auto elapsed = 0ms; elapsed <= 14000ms; elapsed += 100ms) {
        step(0);
        advance(100ms);
    }
    CHECK(keepers[0]->mayActUnfenced(longestAction));
}

TEST_CASE_METHOD(CandidatesFixture, "lease, released by its holder, has no holder and its key is removed")
{
    runAll(5000ms);
    for (auto& keeper : keepers) {
        const auto released = [](LeaseCandidate& candidate) -> Task<int> {
            co_await candidate.release();
            co_return 0;
        };
        (void)startTask(context.get_executor(), released(*keeper));
    }
    runReadyHandlers();
    CHECK(holderCount() == 0);
    CHECK(service.entries().empty());
}
