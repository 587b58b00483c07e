#include "cicadalb/routing/PoolBalancer.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// @brief A balancer of a pool of three targets, with a paused clock.
struct PoolBalancerFixture {
    PoolBalancerFixture()
    {
        pool.name = PoolName("ledger-app");
        pool.maximumInFlight = 2;
        for (const auto* id : { "a", "b", "c" })
            pool.targets.push_back(Target { TargetId(id), "127.0.0.1", 80, FailureDomain("salt-lake") });
        balancer.emplace(pool, BalancerOptions { FailureDomain("salt-lake"), 1 }, clock.now());
    }

    Demand demand(Priority priority = Priority::Normal) const
    {
        Demand made;
        made.priority = priority;
        made.deadline = clock.now() + 10s;
        return made;
    }

    Admission request(Priority priority = Priority::Normal) { return balancer->request(demand(priority), clock.now()); }

    std::vector<QueueDecision> finish(const TargetId& target, Duration latency = 10ms)
    {
        clock.advance(latency);
        return balancer->finished(target, { CompletionKind::Succeeded, latency }, clock.now());
    }

    /// Requests until nothing is admitted. @return admissions by target; the last request stays queued
    std::map<TargetId, unsigned> fill()
    {
        std::map<TargetId, unsigned> admitted;
        for (auto admission = request(); admission.kind == AdmissionKind::Admitted; admission = request())
            ++admitted[admission.target];
        return admitted;
    }

    ManualClock clock;
    Pool pool;
    std::optional<PoolBalancer> balancer;
};

const TargetId a("a");

} // namespace

TEST_CASE_METHOD(PoolBalancerFixture, "balancer, filled, keeps each target under the pool's ceiling")
{
    const auto admitted = fill();
    CHECK(admitted.size() == 3);
    for (const auto& [target, count] : admitted)
        CHECK(count <= 2);
    CHECK(balancer->queueLength() == 1);
}

TEST_CASE_METHOD(PoolBalancerFixture, "target leaving by list, operator or its own word, gets no work from the next decision on")
{
    const auto cause = GENERATE(0, 1, 2, 3);
    if (cause == 0)
        balancer->setLeaving(a, true, clock.now());
    if (cause == 1)
        balancer->reportLoad(a, { .isLeaving = true }, clock.now());
    if (cause >= 2) {
        cause == 2 ? void(pool.targets.front().draining = true) : void(pool.targets.erase(pool.targets.begin()));
        balancer->update(pool, clock.now());
    }
    CHECK(fill().count(a) == 0);
}

TEST_CASE_METHOD(PoolBalancerFixture, "balancer, with all targets leaving, refuses at once and refuses what waits")
{
    fill();
    for (const auto& target : pool.targets)
        balancer->setLeaving(target.id, true, clock.now());
    const auto decisions = balancer->tick(clock.now());
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().admission.reason == ErrorCode::NoTargetAvailable);
    const auto admission = request();
    CHECK(admission.kind == AdmissionKind::Refused);
    CHECK(admission.reason == ErrorCode::NoTargetAvailable);
    CHECK(admission.retryAfter > 0ms);
}

TEST_CASE_METHOD(PoolBalancerFixture, "queue, of mixed priorities, gives the first free place to the interactive request")
{
    fill();
    const auto training = request(Priority::Training);
    const auto interactive = request(Priority::Interactive);
    REQUIRE(training.kind == AdmissionKind::Queued);
    const auto decisions = finish(a);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().ticket == interactive.ticket);
    CHECK(decisions.front().admission.target == a);
    CHECK(balancer->withdraw(training.ticket, clock.now()));
    CHECK_FALSE(balancer->withdraw(training.ticket, clock.now()));
}

TEST_CASE_METHOD(PoolBalancerFixture, "demand that excludes targets, while others have room, goes to those")
{
    auto retry = demand();
    retry.excluded = { a, TargetId("b") };
    CHECK(balancer->request(retry, clock.now()).target == TargetId("c"));
    retry.excluded.push_back(TargetId("c"));
    CHECK(balancer->request(retry, clock.now()).kind == AdmissionKind::Admitted);
}

TEST_CASE_METHOD(PoolBalancerFixture, "removed target, with work in flight, is kept until the work ends")
{
    auto admitted = fill();
    pool.targets.erase(pool.targets.begin());
    balancer->update(pool, clock.now());
    CHECK(balancer->targets(clock.now()).size() == 3);
    for (unsigned i = 0; i < admitted[a]; ++i)
        finish(a);
    CHECK(balancer->targets(clock.now()).size() == 2);
}
