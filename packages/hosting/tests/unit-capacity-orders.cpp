#include "CapacityOrders.h"

#include "FakeSiteProtocol.h"
#include "Pause.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/transport/HttpListener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr unsigned slots = 4;

/// Protocol with one pool whose engines may be ordered in one failure domain.
class CapacityProtocol final : public FakeSiteProtocol {
public:
    Result<SiteConfiguration> configuration(std::string_view record) const override
    {
        auto result = FakeSiteProtocol::configuration(record);
        PoolScaling scaling;
        scaling.minimum = 1;
        scaling.maximum = 40;
        scaling.bootTime = 4s;
        scaling.prices[FailureDomain("a")] = 1;
        result.value().pools.front().scaling = scaling;
        return result;
    }

    Result<RegisteredTarget> target(std::string_view key, std::string_view record) const override
    {
        auto result = FakeSiteProtocol::target(key, record);
        result.value().failureDomain = FailureDomain("a");
        result.value().slots = slots;
        return result;
    }

    HttpRequest capacityOrder(const DutyHolder& holder, const CapacityOrder& order) const override
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/orders";
        request.body = order.pool.value() + " " + order.failureDomain.value() + " " + std::to_string(order.engines) + " fence " + std::to_string(holder.fence);
        return request;
    }
};

/// Real time and what the test adds to it.
class ShiftedClock final : public Clock {
public:
    TimePoint now() const noexcept override { return SteadyClock().now() + m_shift.load(); }
    void advance(Duration duration) { m_shift = m_shift.load() + duration; }

private:
    std::atomic<Duration> m_shift { Duration::zero() };
};

/// A pool of four engines, all of whose places are in use, and a platform that records orders.
struct CapacityFixture {
    WorkerPool workers { 1 };
    std::mutex mutex;
    std::vector<std::string> orders;
    std::atomic<unsigned> status = 200;
    HttpListener platform { workers, {}, [this](auto& request, auto& responder) { return serve(request, responder); } };
    ShiftedClock clock;
    ManualClock storeClock;
    FakeKeyValueService store { workers.context(0).get_executor(), storeClock };
    CapacityProtocol protocol;
    SiteDirectory directory { workers.context(0).get_executor(), store, protocol, clock, {} };
    SampleScheduler scheduler;
    std::atomic<bool> mayOrder = true;
    std::shared_ptr<CapacityOrders> capacity;

    CapacityFixture()
    {
        REQUIRE(platform.start());
        onWorker([this] {
            store.put("site/configuration", "4 engines draft");
            for (const auto* id : { "e1", "e2", "e3", "e4" })
                store.put("targets/" + std::string(id), "engines 127.0.0.1:1 ready draft 1 100 r1");
            directory.start();
            fillEngines();
            CapacityOrderSettings settings { HostId("host"), 7, { "127.0.0.1", platform.port() } };
            capacity = std::make_shared<CapacityOrders>(workers.context(0).get_executor(), protocol, directory, scheduler, clock, settings, [this] { return mayOrder.load(); });
        });
        for (int i = 0; i < 200 && registered() < 4; ++i)
            std::this_thread::sleep_for(10ms);
    }

    ~CapacityFixture()
    {
        onWorker([this] {
            capacity->stop();
            directory.stop();
            storeClock.advance(60s);
            store.advance(60s);
        });
        workers.stop();
    }

    void onWorker(std::function<void()> action)
    {
        const auto run = [](std::function<void()> body) -> Task<void> {
            body();
            co_return;
        };
        boost::asio::co_spawn(workers.context(0), run(std::move(action)), boost::asio::use_future).get();
    }

    std::size_t registered()
    {
        std::size_t count = 0;
        onWorker([&] { count = directory.registry().targets().size(); });
        return count;
    }

    void fillEngines()
    {
        std::vector<SchedulableEngine> engines;
        for (const auto* id : { "e1", "e2", "e3", "e4" })
            engines.push_back({ TargetId(id), PoolName("engines"), slots, { { "draft", 1 } }, SoftwareVersion("r1"), 100 });
        scheduler.setEngines(engines);
        Submission submission;
        submission.id = SubmissionId("step");
        submission.model = ModelName("draft");
        for (unsigned i = 0; i < 4 * slots; ++i) {
            SampleItem item;
            item.id = ItemId(std::to_string(i));
            item.group = GroupId("group");
            submission.items.push_back(std::move(item));
        }
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 60s;
        policy.expiresAt = clock.now() + 600s;
        policy.pools = { PoolName("engines") };
        scheduler.add(submission, policy, {});
        REQUIRE(scheduler.place(clock.now()).size() == std::size_t { 4 } * slots);
    }

    /// Lets time pass in the steps of the coordinator, and waits for the answers to its calls.
    void pass(std::chrono::seconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 500ms) {
            onWorker([this] { capacity->tick(); });
            std::this_thread::sleep_for(15ms);
            clock.advance(500ms);
        }
    }

    std::vector<std::string> received()
    {
        const std::lock_guard lock(mutex);
        return orders;
    }

    Task<void> serve(ServerRequest& request, ServerResponder& responder)
    {
        {
            const std::lock_guard lock(mutex);
            orders.push_back(request.body);
        }
        HttpResponse response;
        response.status = status;
        co_await responder.send(std::move(response));
    }
};

} // namespace

TEST_CASE_METHOD(CapacityFixture, "capacity orders, all engines are busy, orders more once with the lease's fencing number")
{
    pass(9s);
    // 4 engines in full use at a target of 0.6, and a tenth more.
    CHECK(received() == std::vector<std::string> { "engines a 8 fence 7" });
}

TEST_CASE_METHOD(CapacityFixture, "capacity orders, lease does not allow orders, sends none until it does")
{
    mayOrder = false;
    pass(10s);
    CHECK(received().empty());
    onWorker([this] { capacity->setFence(9); });
    mayOrder = true;
    pass(2s);
    CHECK(received() == std::vector<std::string> { "engines a 8 fence 9" });
}

TEST_CASE_METHOD(CapacityFixture, "capacity orders, platform refuses, tries again after a while")
{
    status = 409;
    pass(8s);
    CHECK(received().size() == 1);
    status = 200;
    pass(8s);
    CHECK(received().size() == 2);
}

TEST_CASE_METHOD(CapacityFixture, "capacity orders, work ended, sends none")
{
    onWorker([this] { capacity->stop(); });
    pass(10s);
    CHECK(received().empty());
    CHECK_FALSE(capacity->lastOrderAt());
}
