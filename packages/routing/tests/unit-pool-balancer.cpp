#include "cicadalb/routing/PoolBalancer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include <map>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// @brief A balancer of a pool of three targets, with a manual clock.
struct PoolBalancerFixture {
    PoolBalancerFixture()
    {
        pool.name = PoolName("ledger-app");
        pool.maximumInFlight = 2;
        for (const auto* id : { "a", "b", "c" })
            pool.targets.push_back(Target { TargetId(id), "127.0.0.1", 80, FailureDomain("salt-lake") });
        balancer.emplace(pool, BalancerOptions { FailureDomain("salt-lake"), 1 }, clock.now());
    }

    RequestRequirements requirements(Priority priority = Priority::Normal) const
    {
        RequestRequirements result;
        result.priority = priority;
        result.deadline = clock.now() + 10s;
        return result;
    }

    Admission request(Priority priority = Priority::Normal) { return balancer->request(requirements(priority), clock.now()); }

    std::vector<QueueDecision> finish(const TargetId& target, Duration latency = 10ms)
    {
        clock.advance(latency);
        return balancer->recordCompletion(target, { CompletionKind::Succeeded, latency }, clock.now());
    }

    /// Sends requests until one is not admitted, which stays queued. @return number of admissions by target
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

TEST_CASE_METHOD(PoolBalancerFixture, "balancer, before any completion, spreads the first requests evenly")
{
    std::map<TargetId, unsigned> admitted;
    for (std::size_t i = 0; i < pool.targets.size(); ++i)
        ++admitted[request().target];
    CHECK(admitted.size() == pool.targets.size());
}

TEST_CASE_METHOD(PoolBalancerFixture, "balancer, with more requests than slots, keeps each target within the pool's limit in flight")
{
    const auto admitted = fill();
    CHECK(admitted.size() == 3);
    for (const auto& [target, count] : admitted)
        CHECK(count <= 2);
    CHECK(balancer->queueLength() == 1);
}

TEST_CASE_METHOD(PoolBalancerFixture, "target, leaving by the host list or its own report, draining or removed, gets no requests from the next decision on")
{
    const auto cause = GENERATE(0, 1, 2, 3);
    if (cause == 0)
        balancer->setLeaving(a, true, clock.now());
    if (cause == 1)
        balancer->reportLoad(a, { .isLeaving = true }, clock.now());
    if (cause >= 2) {
        cause == 2 ? void(pool.targets.front().isDraining = true) : void(pool.targets.erase(pool.targets.begin()));
        balancer->update(pool, clock.now());
    }
    CHECK(fill().count(a) == 0);
}

TEST_CASE_METHOD(PoolBalancerFixture, "target that reported leaving, with an older report that arrives late, stays ineligible")
{
    balancer->reportLoad(a, { .isLeaving = true }, clock.now());
    clock.advance(100ms);
    balancer->reportLoad(a, { .age = 200ms }, clock.now());
    CHECK_FALSE(balancer->targets(clock.now()).front().isEligible);
    balancer->reportLoad(a, {}, clock.now());
    CHECK(balancer->targets(clock.now()).front().isEligible);
}

TEST_CASE_METHOD(PoolBalancerFixture, "balancer, with all targets leaving, refuses new and queued requests")
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

TEST_CASE_METHOD(PoolBalancerFixture, "queue, with mixed priorities, gives the first free slot to the interactive request")
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

TEST_CASE_METHOD(PoolBalancerFixture, "request with excluded targets, goes to another target or, if all are excluded, to any")
{
    auto retry = requirements();
    retry.excluded = { a, TargetId("b") };
    CHECK(balancer->request(retry, clock.now()).target == TargetId("c"));
    retry.excluded.push_back(TargetId("c"));
    CHECK(balancer->request(retry, clock.now()).kind == AdmissionKind::Admitted);
}

TEST_CASE_METHOD(PoolBalancerFixture, "removed target, with requests in flight, is kept until they end")
{
    auto admitted = fill();
    pool.targets.erase(pool.targets.begin());
    balancer->update(pool, clock.now());
    CHECK(balancer->targets(clock.now()).size() == 3);
    for (unsigned i = 0; i < admitted[a]; ++i)
        finish(a);
    CHECK(balancer->targets(clock.now()).size() == 2);
}

TEST_CASE_METHOD(PoolBalancerFixture, "request, with a deadline before its estimated completion, is refused at once and not queued")
{
    auto admitted = fill();
    for (int i = 0; i < 20; ++i) {
        const auto decisions = finish(a, 1s);
        REQUIRE(decisions.size() <= 1);
        fill();
    }
    auto urgent = requirements();
    urgent.deadline = clock.now() + 50ms;
    const auto admission = balancer->request(urgent, clock.now());
    CHECK(admission.kind == AdmissionKind::Refused);
    CHECK(admission.reason == ErrorCode::Overloaded);
}

TEST_CASE_METHOD(PoolBalancerFixture, "queued request, past its deadline, is refused by the next tick")
{
    fill();
    clock.advance(10s);
    const auto decisions = balancer->tick(clock.now());
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().admission.kind == AdmissionKind::Refused);
    CHECK(balancer->queueLength() == 0);
}

TEST_CASE_METHOD(PoolBalancerFixture, "refusals, of many requests, spread their retry-after times")
{
    for (const auto& target : pool.targets)
        balancer->setLeaving(target.id, true, clock.now());
    auto least = Duration::max();
    auto most = Duration::min();
    for (int i = 0; i < 100; ++i) {
        const auto after = request().retryAfter;
        least = std::min(least, after);
        most = std::max(most, after);
    }
    CHECK(most > least * 1.8);
}

TEST_CASE_METHOD(PoolBalancerFixture, "target that fails, while others answer, is left out until its circuit allows a probe")
{
    for (int i = 0; i < 200; ++i) {
        const auto target = request().target;
        clock.advance(1ms);
        balancer->recordCompletion(target, { target == a ? CompletionKind::NotRun : CompletionKind::Succeeded, 1ms }, clock.now());
    }
    CHECK(fill().count(a) == 0);
    CHECK(balancer->targets(clock.now()).front().reason == "circuit open");
    clock.advance(30s);
    CHECK(balancer->targets(clock.now()).front().isEligible);
}

TEST_CASE_METHOD(PoolBalancerFixture, "circuits, with requests lost to their deadlines, stay closed only if the deadlines are too short")
{
    const auto isDeadlineShort = GENERATE(true, false);
    for (int i = 0; i < 100; ++i) {
        const auto admission = request();
        clock.advance(1ms);
        if (admission.kind == AdmissionKind::Admitted)
            balancer->recordCompletion(admission.target, { CompletionKind::Lost, isDeadlineShort ? Duration(1ms) : Duration(2s), true }, clock.now());
    }
    CHECK((request().kind == AdmissionKind::Admitted) == isDeadlineShort);
}

TEST_CASE_METHOD(PoolBalancerFixture, "targets that all answer with errors, still receive requests")
{
    for (int i = 0; i < 100; ++i) {
        const auto admission = request();
        REQUIRE(admission.kind == AdmissionKind::Admitted);
        clock.advance(1ms);
        balancer->recordCompletion(admission.target, { CompletionKind::ServerError, 1ms }, clock.now());
    }
}

TEST_CASE_METHOD(PoolBalancerFixture, "pool, with no reachable target, refuses requests and probes the targets later")
{
    for (int i = 0; i < 100; ++i) {
        const auto admission = request();
        if (admission.kind == AdmissionKind::Admitted)
            balancer->recordCompletion(admission.target, { CompletionKind::NotRun, 1ms }, clock.now());
    }
    CHECK(request().reason == ErrorCode::NoTargetAvailable);
    clock.advance(30s);
    CHECK(request().kind == AdmissionKind::Admitted);
}

TEST_CASE_METHOD(PoolBalancerFixture, "slow target, beside fast ones, receives few requests and is tried again later")
{
    const auto serveMany = [this] {
        unsigned slow = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto target = request().target;
            slow += target == a ? 1 : 0;
            finish(target, target == a ? 100ms : 10ms);
        }
        return slow;
    };
    serveMany();
    CHECK(serveMany() < 10);
    clock.advance(10min);
    CHECK(serveMany() > 0);
}

TEST_CASE_METHOD(PoolBalancerFixture, "requests, with the same affinity, go to the same target, and other affinities may have others")
{
    std::map<std::uint64_t, std::map<TargetId, unsigned>> targets;
    for (int i = 0; i < 300; ++i) {
        auto affine = requirements();
        affine.affinity = i % 10;
        const auto target = balancer->request(affine, clock.now()).target;
        ++targets[*affine.affinity][target];
        finish(target);
    }
    std::map<TargetId, unsigned> affinitiesByTarget;
    for (const auto& [affinity, byTarget] : targets) {
        REQUIRE(byTarget.size() == 1);
        ++affinitiesByTarget[byTarget.begin()->first];
    }
    CHECK(affinitiesByTarget.size() > 1);
}

TEST_CASE_METHOD(PoolBalancerFixture, "affinity, with a limit of the extra delay, keeps a target that is slower by less and leaves one that is slower by more")
{
    auto affine = requirements();
    affine.affinity = 7;
    affine.maximumAffinityDelay = 40ms;
    const auto preferred = balancer->request(affine, clock.now()).target;
    const auto latencyOf = [&](const TargetId& target, Duration latencyOfPreferred) { return target == preferred ? latencyOfPreferred : Duration(2ms); };
    finish(preferred, 30ms);
    for (int i = 0; i < 12; ++i) {
        const auto picked = request().target;
        finish(picked, latencyOf(picked, 30ms));
    }
    CHECK(balancer->request(affine, clock.now()).target == preferred);
    finish(preferred, 30ms);
    affine.maximumAffinityDelay = 10ms;
    const auto other = balancer->request(affine, clock.now()).target;
    CHECK(other != preferred);
}

TEST_CASE("balancer, after any requests, completions, reports and leaving targets, respects limits, deadlines and eligibility")
{
    CHECK(rc::check("pool balancer property", [] {
        PoolBalancerFixture fixture;
        auto& balancer = *fixture.balancer;
        std::map<TargetId, unsigned> inFlight;
        std::map<QueueTicket, TimePoint> queued;
        std::map<TargetId, bool> isLeaving;
        const auto checkAdmission = [&](const Admission& admission, TimePoint deadline) {
            if (admission.kind != AdmissionKind::Admitted)
                return;
            RC_ASSERT(!isLeaving[admission.target]);
            RC_ASSERT(deadline > fixture.clock.now());
            RC_ASSERT(++inFlight[admission.target] <= fixture.pool.maximumInFlight);
        };
        const auto checkDecisions = [&](const std::vector<QueueDecision>& decisions) {
            for (const auto& decision : decisions) {
                const auto ticket = queued.extract(decision.ticket);
                RC_ASSERT(!ticket.empty());
                RC_ASSERT(decision.admission.kind != AdmissionKind::Queued);
                checkAdmission(decision.admission, ticket.mapped());
            }
        };
        for (const auto step : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 1000U))) {
            fixture.clock.advance(std::chrono::milliseconds(step % 97));
            const auto now = fixture.clock.now();
            const auto& target = fixture.pool.targets[step % 3].id;
            if (step < 600) {
                auto requirements = fixture.requirements(static_cast<Priority>(step % 3));
                requirements.deadline = now + std::chrono::milliseconds(step * 7 % 500);
                const auto admission = balancer.request(requirements, now);
                checkAdmission(admission, requirements.deadline);
                if (admission.kind == AdmissionKind::Queued)
                    queued.emplace(admission.ticket, requirements.deadline);
            } else if (step < 850 && inFlight[target] > 0) {
                --inFlight[target];
                checkDecisions(balancer.recordCompletion(target, { static_cast<CompletionKind>(step % 5), std::chrono::milliseconds(step % 31) }, now));
            } else if (step < 900) {
                isLeaving[target] = step % 2 == 0;
                balancer.setLeaving(target, isLeaving[target], now);
            } else if (step < 950) {
                balancer.reportLoad(target, { step % 11, step % 7, std::chrono::milliseconds(step % 400), false }, now);
            } else {
                checkDecisions(balancer.tick(now));
                for (const auto& [ticket, deadline] : queued)
                    RC_ASSERT(deadline > now);
            }
            RC_ASSERT(balancer.queueLength() == queued.size());
        }
    }));
}
