#include "AdmissionQueue.h"
#include "ConcurrencyLimit.h"
#include "LoadEstimate.h"
#include "ServiceTimeEstimate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct EstimateFixture {
    void record(Duration latency, unsigned times)
    {
        for (unsigned i = 0; i < times; ++i)
            serviceTime.record(latency, 1, clock.now());
    }

    ManualClock clock;
    ServiceTimeEstimate serviceTime;
    LoadEstimate load;
};

} // namespace

TEST_CASE_METHOD(EstimateFixture, "service time estimate, with one extreme outlier, changes little")
{
    record(10ms, 100);
    record(10s, 1);
    CHECK(serviceTime.serviceSeconds() < 0.012);
}

TEST_CASE_METHOD(EstimateFixture, "service time estimate, of a target that became slow, rises")
{
    record(10ms, 100);
    record(100ms, 200);
    CHECK(serviceTime.serviceSeconds() > 0.08);
}

TEST_CASE_METHOD(EstimateFixture, "service time estimate, of a slow target without new samples, decays")
{
    record(100ms, 10);
    CHECK(serviceTime.decayedServiceSeconds(clock.now() + 5s) == Approx(0.1));
    CHECK(serviceTime.decayedServiceSeconds(clock.now() + 60s) < 0.03);
}

TEST_CASE_METHOD(EstimateFixture, "load estimate, with an aging report, approaches the average load from other hosts")
{
    for (int i = 0; i < 100; ++i)
        load.record({ .running = 4 }, 1, clock.now());
    load.record({ .running = 8, .queued = 13 }, 1, clock.now());
    CHECK(load.otherRequests() == Approx(20));
    clock.advance(60s);
    load.refresh(clock.now());
    CHECK(load.otherRequests() < 5.5);
    CHECK(load.parallelism() == Approx(4 + 0.3 * 4));
}

TEST_CASE("concurrency limit, after any completions and losses, stays between 1 and the ceiling")
{
    CHECK(rc::check("concurrency limit property", [] {
        const auto ceiling = *rc::gen::inRange(1U, 100U);
        ConcurrencyLimit limit(ceiling, *rc::gen::arbitrary<bool>());
        for (const auto tenths : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100U))) {
            if (tenths == 0)
                limit.recordLoss();
            else
                limit.recordCompletion(tenths, tenths / 10.0, tenths / 20.0);
            RC_ASSERT(limit.value() >= 1);
            RC_ASSERT(limit.value() <= ceiling);
        }
    }));
}

TEST_CASE("concurrency limit, in use, grows without a slowdown and shrinks with one")
{
    ConcurrencyLimit limit(64, true);
    for (int i = 0; i < 5000; ++i)
        limit.recordCompletion(64, 1.0, 1.0);
    CHECK(limit.value() == Approx(64));
    for (int i = 0; i < 2000; ++i)
        limit.recordCompletion(64, 4.0, 1.0);
    CHECK(limit.value() < 2);
}

TEST_CASE("concurrency limit, not in use, does not grow")
{
    ConcurrencyLimit limit(64, true);
    const auto before = limit.value();
    for (int i = 0; i < 1000; ++i)
        limit.recordCompletion(1, 1.0, 1.0);
    CHECK(limit.value() == before);
}

TEST_CASE("admission queue, with requests of all priorities waiting, serves each priority and interactive most often")
{
    ManualClock clock;
    AdmissionQueue queue(clock.now());
    std::map<Priority, unsigned> served;
    for (int i = 0; i < 1000; ++i) {
        for (const auto priority : priorities) {
            RequestRequirements requirements;
            requirements.priority = priority;
            queue.push({ 1, requirements });
        }
        const auto next = queue.serviceOrder().front();
        queue.popFront(next);
        ++served[next];
    }
    CHECK(served[Priority::Interactive] > 700);
    CHECK(served[Priority::Normal] > 90);
    CHECK(served[Priority::Training] > 90);
}
