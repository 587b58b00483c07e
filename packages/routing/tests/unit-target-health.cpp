#include "TargetHealth.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct TargetHealthFixture {
    void record(CompletionKind kind, unsigned times = 1)
    {
        for (unsigned i = 0; i < times; ++i)
            health.record(kind, clock.now(), random);
    }

    CircuitState state() const { return health.state(clock.now()); }

    ManualClock clock;
    Random random { 7 };
    TargetHealth health;
};

} // namespace

TEST_CASE_METHOD(TargetHealthFixture, "circuit, after consecutive failures, opens and later lets a probe through")
{
    record(CompletionKind::Lost, TargetHealth::consecutiveFailuresToOpen - 1);
    CHECK(state() == CircuitState::Closed);
    record(CompletionKind::Lost);
    CHECK(state() == CircuitState::Open);
    CHECK(health.allowedLimitFraction(clock.now()) == 0);
    clock.advance(health.openUntil() - clock.now());
    CHECK(state() == CircuitState::HalfOpen);
}

TEST_CASE_METHOD(TargetHealthFixture, "circuit, with a failed probe, opens for longer")
{
    record(CompletionKind::NotRun, TargetHealth::consecutiveFailuresToOpen);
    const auto first = health.openUntil() - clock.now();
    clock.advance(first);
    record(CompletionKind::NotRun);
    CHECK(state() == CircuitState::Open);
    CHECK(health.openUntil() - clock.now() > first);
}

TEST_CASE_METHOD(TargetHealthFixture, "circuit, with a successful probe, starts slowly and closes")
{
    record(CompletionKind::ServerError, TargetHealth::consecutiveFailuresToOpen);
    clock.advance(health.openUntil() - clock.now());
    record(CompletionKind::Succeeded);
    CHECK(state() == CircuitState::SlowStart);
    CHECK(health.allowedLimitFraction(clock.now()) == Approx(0.1));
    clock.advance(TargetHealth::slowStartDuration / 2);
    CHECK(health.allowedLimitFraction(clock.now()) == Approx(0.55));
    clock.advance(TargetHealth::slowStartDuration / 2);
    CHECK(state() == CircuitState::Closed);
}

TEST_CASE_METHOD(TargetHealthFixture, "circuit, with most but not all requests failing, opens")
{
    for (int i = 0; i < 20; ++i) {
        record(CompletionKind::ServerError, 3);
        record(CompletionKind::Succeeded);
    }
    CHECK(state() == CircuitState::Open);
}

TEST_CASE_METHOD(TargetHealthFixture, "circuit, with abandoned requests and few failures, stays closed")
{
    for (int i = 0; i < 100; ++i) {
        record(CompletionKind::Abandoned, 5);
        record(CompletionKind::ServerError, 2);
        record(CompletionKind::Succeeded, 4);
    }
    CHECK(state() == CircuitState::Closed);
}

TEST_CASE("circuit, after any results, opens only on failures and for a bounded time, and then lets a probe through")
{
    CHECK(rc::check("target health property", [] {
        TargetHealthFixture fixture;
        const auto longest = TargetHealth::maximumOpenTime * 5 / 4;
        for (const auto step : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 5000U))) {
            fixture.clock.advance(std::chrono::milliseconds(step % 1009));
            const auto before = fixture.state();
            const auto kind = static_cast<CompletionKind>(step % 5);
            fixture.record(kind);
            const bool isBenign = kind == CompletionKind::Succeeded || kind == CompletionKind::Abandoned;
            RC_ASSERT(!isBenign || before == CircuitState::Open || fixture.state() != CircuitState::Open);
            RC_ASSERT(fixture.health.openUntil() - fixture.clock.now() <= longest);
            const auto share = fixture.health.allowedLimitFraction(fixture.clock.now());
            RC_ASSERT(share >= 0);
            RC_ASSERT(share <= 1);
        }
        fixture.clock.advance(longest);
        RC_ASSERT(fixture.state() != CircuitState::Open);
    }));
}
