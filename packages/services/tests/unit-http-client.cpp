#include "cicadalb/services/HttpClient.h"

#include "cicadalb/services/ResettingServer.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

#include <memory>

namespace cicadalb {
namespace {

    struct HttpClientFixture {
        std::shared_ptr<HttpClient> client(std::chrono::milliseconds maximumKeepAliveTimeout)
        {
            HttpClientOptions options;
            // A connection is never reused unless the server states a Keep-Alive timeout.
            options.idleTimeout = std::chrono::milliseconds(-1);
            options.maximumKeepAliveTimeout = maximumKeepAliveTimeout;
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

        bool refusesConnections(HttpClient& client)
        {
            const auto result = startTask(context.get_executor(), client.refusesConnections(std::chrono::seconds(1)));
            while (!result->has_value() && context.run_one() > 0) { }
            return result->value();
        }

        boost::asio::io_context context;
        ResettingServer server { context };
    };

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: server states a Keep-Alive timeout, next request reuses the connection", "[http-client]")
    {
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(server.connections == 1);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: request that may no longer be sent once its connection is open, is not sent", "[http-client]")
    {
        const auto subject = client(std::chrono::seconds(30));
        HttpRequest request;
        request.mayBeSent = [] { return false; };
        const auto result = startTask(context.get_executor(), subject->send(std::move(request), std::chrono::steady_clock::now() + std::chrono::seconds(30)));
        while (!result->has_value() && context.run_one() > 0) { }
        REQUIRE(result->has_value());
        REQUIRE_FALSE(**result);
        CHECK((*result)->error().code == ErrorCode::NotSent);
        CHECK(server.requests == 0);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: server states a Keep-Alive timeout below the margin, next request uses a new connection", "[http-client]")
    {
        server.keepAlive = "Keep-Alive: timeout=0\r\n";
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        // The allowed idle time is zero, so it is over by the next request.
        CHECK(server.connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: server states no Keep-Alive timeout, the client's own idle timeout applies", "[http-client]")
    {
        server.keepAlive.clear();
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(server.connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: client ignores Keep-Alive fields, its own idle timeout applies", "[http-client]")
    {
        const auto subject = client(std::chrono::milliseconds(0));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(server.connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: reused connection is reset, a repeatable request is sent again on a new connection", "[http-client]")
    {
        server.answersPerConnection = 1;
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        const auto second = exchange(*subject, true);
        REQUIRE(second);
        CHECK(second.value().body == "ok");
        CHECK(server.connections == 2);
        CHECK(server.requests == 3);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: reused connection is reset, a non-repeatable request fails with OutcomeUnknown", "[http-client]")
    {
        server.answersPerConnection = 1;
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        const auto second = exchange(*subject);
        REQUIRE_FALSE(second);
        CHECK(second.error().code == ErrorCode::OutcomeUnknown);
        CHECK(server.requests == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: server ends while it runs a repeatable request on a reused connection, the request may have run", "[http-client]")
    {
        server.answersPerConnection = 1;
        server.endsWithReset = true;
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        const auto second = exchange(*subject, true);
        REQUIRE_FALSE(second);
        CHECK(second.error().code == ErrorCode::OutcomeUnknown);
        CHECK(server.requests == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: server has ended, its address refuses connections", "[http-client]")
    {
        server.answersPerConnection = 0;
        server.endsWithReset = true;
        const auto subject = client(std::chrono::seconds(30));
        CHECK_FALSE(refusesConnections(*subject));
        REQUIRE_FALSE(exchange(*subject));
        CHECK(refusesConnections(*subject));
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: new connection is reset, a repeatable request is not sent again", "[http-client]")
    {
        server.answersPerConnection = 0;
        const auto subject = client(std::chrono::seconds(30));
        const auto first = exchange(*subject, true);
        REQUIRE_FALSE(first);
        CHECK(first.error().code == ErrorCode::OutcomeUnknown);
        CHECK(server.requests == 1);
    }

} // namespace
} // namespace cicadalb
