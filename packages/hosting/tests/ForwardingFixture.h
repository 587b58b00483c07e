#pragma once

#include "FakeSiteProtocol.h"
#include "Pause.h"
#include "RequestForwarder.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/transport/HttpListener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <atomic>

/// @file
/// A host that forwards requests to targets of the test.

namespace cicadalb {

/// @brief A target that counts its requests, and states in its answers that it leaves, or how many requests a second it takes.
class CountingTarget {
public:
    explicit CountingTarget(WorkerPool& workers)
        : m_listener(workers, {}, [this](auto& request, auto& responder) { return serve(request, responder); })
    {
        REQUIRE(m_listener.start());
    }

    std::string record(const std::string& state, unsigned startedAt, const std::string& software = "r1") const
    {
        return "ledger 127.0.0.1:" + std::to_string(m_listener.port()) + " " + state + " draft 1 " + std::to_string(startedAt) + " " + software;
    }

    std::uint16_t port() const { return m_listener.port(); }

    std::atomic<bool> isLeaving = false;
    /// The answers do not name the request that they belong to.
    std::atomic<bool> isSpoilingAnswers = false;
    /// Time before an answer.
    std::atomic<std::chrono::milliseconds> answerDelay { std::chrono::milliseconds(0) };
    /// Requests whose caller disconnected before the answer.
    std::atomic<unsigned> abandoned = 0;
    /// Value of the last request's field "Remaining".
    std::atomic<int> remaining = 0;
    /// 0: states no limit.
    std::atomic<unsigned> requestsPerSecond = 0;
    std::atomic<unsigned> requests = 0;
    /// Status of the answers; other ones than 200 have the body "error".
    std::atomic<unsigned> status = 200;
    /// Fields "Organisation" and "Key" of the last request, which the test reads after its answer.
    std::string organisation;
    std::string key;

private:
    Task<void> serve(ServerRequest& request, ServerResponder& responder)
    {
        ++requests;
        organisation = request.field("Organisation");
        key = request.field("Key");
        if (const auto field = request.field("Remaining"); !field.empty())
            remaining = std::stoi(std::string(field));
        responder.onCallerDisconnected([this] { ++abandoned; });
        if (answerDelay.load().count() > 0)
            co_await pause(co_await boost::asio::this_coro::executor, answerDelay.load());
        HttpResponse response;
        response.status = status;
        if (status != 200)
            response.body = "error";
        if (!isSpoilingAnswers)
            response.fields.emplace_back("Id", std::string(request.field("Id")));
        if (isLeaving)
            response.fields.emplace_back("Leaving", "1");
        if (requestsPerSecond > 0)
            response.fields.emplace_back("Rate", std::to_string(requestsPerSecond));
        co_await responder.send(std::move(response));
    }

    HttpListener m_listener;
};

/// @brief A host that forwards to two targets. The store's clock stands still, so that the host hears of a change only when it is made.
struct ForwardingFixture {
    WorkerPool workers { 1 };
    CountingTarget first { workers };
    CountingTarget second { workers };
    SteadyClock clock;
    ManualClock storeClock;
    FakeKeyValueService store { workers.context(0).get_executor(), storeClock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { workers.context(0).get_executor(), store, protocol, clock, {} };
    TargetClients clients { workers };
    RequestPermits permits { workers.context(0).get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(workers.context(0).get_executor(), store, HostId("host"));
    RequestForwarder forwarder { directory, protocol, clients, permits, *crashGuard, clock };
    SiteRoute route;
    unsigned sent = 0;
    /// Of the requests to forward, if they have one.
    std::optional<RequestFingerprint> fingerprint;

    ForwardingFixture()
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

    ~ForwardingFixture()
    {
        onWorker([this] {
            directory.stop();
            storeClock.advance(std::chrono::seconds(60));
            store.advance(std::chrono::seconds(60));
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

    ForwardState forward() { return forwardOnce().state; }

    ForwardOutcome forwardOnce()
    {
        ForwardRequest request;
        request.id = RequestId(std::to_string(++sent));
        request.route = &route;
        request.pool = PoolName("ledger");
        request.deadline = clock.now() + std::chrono::seconds(10);
        if (fingerprint)
            request.fingerprint = [this] { return *fingerprint; };
        request.buildMessage = [id = request.id](const AttemptContext&) {
            HttpRequest message;
            message.fields.emplace_back("Id", id.value());
            message.exchangeId = { id.value(), "Id" };
            return message;
        };
        return boost::asio::co_spawn(workers.context(0), forwarder.forward(std::move(request)), boost::asio::use_future).get();
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

} // namespace cicadalb
