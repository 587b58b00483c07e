#include "cicadalb/services/HttpClient.h"

#include "cicadalb/services/ResettingServer.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

#include <memory>

namespace cicadalb {
namespace {

    struct HttpClientFixture {
        std::shared_ptr<HttpClient> client(std::chrono::milliseconds longestIdleTimeout)
        {
            HttpClientOptions options;
            // Without the server's word an idle connection is not used again.
            options.idleTimeout = std::chrono::milliseconds(-1);
            options.longestIdleTimeout = longestIdleTimeout;
            return std::make_shared<HttpClient>(context.get_executor(), Endpoint { "127.0.0.1", server.port() }, options);
        }

        Result<HttpResponse> exchange(HttpClient& client, bool mayRepeat = false)
        {
            HttpRequest request;
            request.mayRepeat = mayRepeat;
            const auto result = startTask(context.get_executor(), client.send(std::move(request), std::chrono::steady_clock::now() + std::chrono::seconds(30)));
            while (!result->has_value() && context.run_one() > 0) { }
            REQUIRE(result->has_value());
            return std::move(**result);
        }

        boost::asio::io_context context;
        ResettingServer server { context };
    };

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a server that states how long it keeps connections, next request goes over the same one", "[http-client]")
    {
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(server.connections == 1);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a server that keeps connections for less than the margin, next request takes a new one", "[http-client]")
    {
        server.keepAlive = "Keep-Alive: timeout=0\r\n";
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        // An idle time of nothing has passed by the next request.
        CHECK(server.connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a server that states nothing, the client's own idle time holds", "[http-client]")
    {
        server.keepAlive.clear();
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(server.connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a client that does not follow the server's word, its own idle time holds", "[http-client]")
    {
        const auto subject = client(std::chrono::milliseconds(0));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(server.connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a reused connection that is reset, a request that may be repeated goes over a new one", "[http-client]")
    {
        server.answersOnConnection = 1;
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        const auto second = exchange(*subject, true);
        REQUIRE(second);
        CHECK(second.value().body == "ok");
        CHECK(server.connections == 2);
        CHECK(server.requests == 3);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a reused connection that is reset, any other request may have run", "[http-client]")
    {
        server.answersOnConnection = 1;
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        const auto second = exchange(*subject);
        REQUIRE_FALSE(second);
        CHECK(second.error().code == ErrorCode::OutcomeUnknown);
        CHECK(server.requests == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a new connection that is reset, even a request that may be repeated is not sent again", "[http-client]")
    {
        server.answersOnConnection = 0;
        const auto subject = client(std::chrono::seconds(30));
        const auto first = exchange(*subject, true);
        REQUIRE_FALSE(first);
        CHECK(first.error().code == ErrorCode::OutcomeUnknown);
        CHECK(server.requests == 1);
    }

} // namespace
} // namespace cicadalb
