#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/HttpHostList.h"
#include "cicadalb/services/HttpKeyValueService.h"
#include "cicadalb/services/HttpWeightStore.h"
#include "cicadalb/services/RunTask.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Accepts one connection, answers its first request with a fixed answer and records the request line and body.
struct FixedAnswerServerFixture {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context, { asio::ip::address_v4::loopback(), 0 } };
    std::string requestLine;
    std::string requestBody;

    Endpoint endpoint() const { return Endpoint { "127.0.0.1", acceptor.local_endpoint().port() }; }

    Task<void> serve(unsigned status, std::string body)
    {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        co_await http::async_read(socket, buffer, request, asio::use_awaitable);
        requestLine = std::string(request.method_string()) + " " + std::string(request.target());
        requestBody = request.body();
        http::response<http::string_body> response(http::int_to_status(status), 11, std::move(body));
        response.prepare_payload();
        co_await http::async_write(socket, response, asio::use_awaitable);
    }

    template <typename T>
    Result<T> answer(unsigned status, std::string body, Task<Result<T>> call)
    {
        asio::co_spawn(context, serve(status, std::move(body)), asio::detached);
        const auto result = startTask(context.get_executor(), std::move(call));
        context.run();
        context.restart();
        return std::move(**result);
    }
};

struct FakeFixture {
    asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };

    void runReadyHandlers()
    {
        context.restart();
        context.poll();
    }
};

} // namespace

TEST_CASE_METHOD(FixedAnswerServerFixture, "HTTP key-value client, a read of a key with a space, percent-encodes the key")
{
    HttpKeyValueService service(context.get_executor(), endpoint());
    const auto entry = answer(200, R"({"key":"a b/c","value":"v","revision":7})", service.read("a b/c"));
    CHECK(requestLine == "GET /kv/a%20b/c");
    REQUIRE(entry);
    CHECK(entry.value()->revision == 7);
}

TEST_CASE_METHOD(FixedAnswerServerFixture, "HTTP key-value client, a read of an absent key, returns no entry")
{
    HttpKeyValueService service(context.get_executor(), endpoint());
    const auto entry = answer(404, "{}", service.read("k"));
    REQUIRE(entry);
    CHECK(!entry.value());
}

TEST_CASE_METHOD(FixedAnswerServerFixture, "HTTP key-value client, a write answered with an error status or no JSON, returns the matching error")
{
    HttpKeyValueService service(context.get_executor(), endpoint());
    const auto [status, body, code] = GENERATE(table<unsigned, std::string, ErrorCode>({
        { 409, R"({"revision":3})", ErrorCode::Conflict },
        { 429, "", ErrorCode::Unavailable },
        { 503, "", ErrorCode::Unavailable },
        { 500, "", ErrorCode::OutcomeUnknown },
        { 200, "not json", ErrorCode::OutcomeUnknown },
    }));
    const auto result = answer(status, body, service.compareAndSwap({ "k", "v", 2, 0 }));
    CHECK(requestLine == "PUT /kv/k");
    REQUIRE(!result);
    CHECK(result.error().code == code);
}

TEST_CASE_METHOD(FixedAnswerServerFixture, "HTTP key-value client, a watch, sends prefix, revision and wait time and returns the entries")
{
    HttpKeyValueService service(context.get_executor(), endpoint());
    const auto result = answer(200, R"({"entries":[{"key":"p/1","value":"x","revision":9}],"revision":9})", service.watch("p/", 4, 100ms));
    CHECK(requestLine == "GET /watch?prefix=p/&after=4&wait-ms=100");
    REQUIRE(result);
    CHECK(result.value().entries.at(0).value == "x");
}

TEST_CASE_METHOD(FixedAnswerServerFixture, "HTTP key-value client, a renewal of an expired lease, returns LeaseLost")
{
    HttpKeyValueService service(context.get_executor(), endpoint());
    const auto result = answer(404, "{}", service.renewLease(5));
    CHECK(requestLine == "POST /leases/5/renew");
    CHECK(result.error().code == ErrorCode::LeaseLost);
}

TEST_CASE_METHOD(FixedAnswerServerFixture, "host list client, a leaving host, is returned with its state and failure domain")
{
    HttpHostList list(context.get_executor(), endpoint());
    const auto hosts = answer(200, R"({"hosts":[{"name":"h","address":"127.0.0.1","failure-domain":"howrah","state":"leaving"}]})", list.hosts());
    REQUIRE(hosts);
    CHECK(hosts.value().at(0).state == HostState::Leaving);
    CHECK(hosts.value().at(0).failureDomain == FailureDomain("howrah"));
}

TEST_CASE_METHOD(FixedAnswerServerFixture, "weight store client, a known model, returns its latest version")
{
    HttpWeightStore store(context.get_executor(), endpoint());
    CHECK(answer(200, R"({"model":"m","version":12})", store.latestVersion("m")).value() == 12);
    CHECK(requestLine == "GET /weights/m");
}

TEST_CASE_METHOD(FakeFixture, "fake key-value service, a write whose answer is lost, takes effect and a later write conflicts")
{
    service.selectFault = [](CallKind) { return CallFault::AnswerLost; };
    const auto first = startTask(context.get_executor(), service.compareAndSwap({ "k", "v", 0, 0 }));
    runReadyHandlers();
    service.selectFault = [](CallKind) { return CallFault::None; };
    const auto second = startTask(context.get_executor(), service.compareAndSwap({ "k", "w", 0, 0 }));
    runReadyHandlers();
    CHECK((**first).error().code == ErrorCode::OutcomeUnknown);
    CHECK((**second).error().code == ErrorCode::Conflict);
    CHECK(service.entries().at("k").value == "v");
}

TEST_CASE_METHOD(FakeFixture, "fake key-value service, a waiting watch, ends at a change or after its maximum wait")
{
    const auto first = startTask(context.get_executor(), service.watch("p/", 0, 1000ms));
    runReadyHandlers();
    CHECK(!*first);
    service.put("p/a", "1");
    runReadyHandlers();
    CHECK((**first).value().entries.size() == 1);
    const auto second = startTask(context.get_executor(), service.watch("p/", 1, 1000ms));
    runReadyHandlers();
    CHECK(!*second);
    service.advance(1000ms);
    runReadyHandlers();
    CHECK((**second).value().entries.empty());
}
