#include "FakeSiteProtocol.h"
#include "RequestForwarder.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/transport/HttpListener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <atomic>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A target that counts its requests and can state that it leaves.
class CountingTarget {
public:
    explicit CountingTarget(WorkerPool& workers)
        : m_listener(workers, {}, [this](auto& request, auto& responder) { return serve(request, responder); })
    {
        REQUIRE(m_listener.start());
    }

    std::string record(const std::string& state, unsigned startedAt) const { return "ledger 127.0.0.1:" + std::to_string(m_listener.port()) + " " + state + " draft 1 " + std::to_string(startedAt); }

    std::atomic<bool> isLeaving = false;
    std::atomic<unsigned> requests = 0;

private:
    Task<void> serve(ServerRequest& request, ServerResponder& responder)
    {
        ++requests;
        HttpResponse response;
        response.status = 200;
        response.fields.emplace_back("Id", std::string(request.field("Id")));
        if (isLeaving)
            response.fields.emplace_back("Leaving", "1");
        co_await responder.send(std::move(response));
    }

    HttpListener m_listener;
};

/// A host that forwards to two targets. The store's clock stands still, so that the host hears of a change only when it is made.
struct LeavingTargetFixture {
    WorkerPool workers { 1 };
    CountingTarget first { workers };
    CountingTarget second { workers };
    SteadyClock clock;
    ManualClock storeClock;
    FakeKeyValueService store { workers.context(0).get_executor(), storeClock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { workers.context(0).get_executor(), store, protocol, clock, {} };
    TargetClients clients { workers };
    RequestForwarder forwarder { directory, protocol, clients, clock };
    SiteRoute route;
    unsigned sent = 0;

    LeavingTargetFixture()
    {
        route.kind = RequestKind::Idempotent;
        route.maximumAttempts = 2;
        onWorker([this] {
            store.put("site/configuration", "4 ledger");
            store.put("targets/first", first.record("ready", 100));
            store.put("targets/second", second.record("ready", 100));
            directory.start();
        });
    }

    ~LeavingTargetFixture()
    {
        onWorker([this] {
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

    void putTarget(const std::string& id, const std::string& record)
    {
        onWorker([&] { store.put("targets/" + id, record); });
    }

    ForwardState forward()
    {
        ForwardRequest request;
        request.id = RequestId(std::to_string(++sent));
        request.route = &route;
        request.pool = PoolName("ledger");
        request.deadline = clock.now() + 10s;
        request.buildMessage = [id = request.id](const AttemptContext&) {
            HttpRequest message;
            message.fields.emplace_back("Id", id.value());
            return message;
        };
        return boost::asio::co_spawn(workers.context(0), forwarder.forward(std::move(request)), boost::asio::use_future).get().state;
    }

    /// Forwards requests until @p target has answered one more.
    void forwardUntilAnsweredBy(const CountingTarget& target)
    {
        const auto before = target.requests.load();
        for (int i = 0; i < 100 && target.requests == before; ++i)
            REQUIRE(forward() == ForwardState::Answered);
        REQUIRE(target.requests > before);
    }

    void forwardSeveral()
    {
        for (int i = 0; i < 20; ++i)
            REQUIRE(forward() == ForwardState::Answered);
    }
};

} // namespace

TEST_CASE_METHOD(LeavingTargetFixture, "request forwarder, answer states that its target leaves while the registry says ready, sends it no further request")
{
    first.isLeaving = true;
    forwardUntilAnsweredBy(first);
    const auto before = first.requests.load();
    forwardSeveral();
    CHECK(first.requests == before);
    // The entry is written again without the state having changed.
    putTarget("first", first.record("ready", 100));
    forwardSeveral();
    CHECK(first.requests == before);
}

TEST_CASE_METHOD(LeavingTargetFixture, "request forwarder, target that left registers a later start, sends it requests again")
{
    first.isLeaving = true;
    forwardUntilAnsweredBy(first);
    first.isLeaving = false;
    putTarget("first", first.record("ready", 200));
    forwardUntilAnsweredBy(first);
}

TEST_CASE_METHOD(LeavingTargetFixture, "request forwarder, all targets leave, refuses the request as not run")
{
    first.isLeaving = true;
    second.isLeaving = true;
    forwardUntilAnsweredBy(first);
    REQUIRE(forward() == ForwardState::Answered);
    const auto before = first.requests + second.requests;
    CHECK(forward() == ForwardState::NotRun);
    CHECK(first.requests + second.requests == before);
}
