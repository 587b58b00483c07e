#include "cicadalb/services/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>

namespace cicadalb {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    /// A server that answers a fixed number of requests on each connection and resets it when one more comes.
    class HttpClientFixture {
    protected:
        HttpClientFixture()
            : m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        {
            asio::co_spawn(m_context, accept(), asio::detached);
        }

        std::shared_ptr<HttpClient> client(std::chrono::milliseconds longestIdleTimeout)
        {
            HttpClientOptions options;
            // Without the server's word an idle connection is not used again.
            options.idleTimeout = std::chrono::milliseconds(-1);
            options.longestIdleTimeout = longestIdleTimeout;
            return std::make_shared<HttpClient>(m_context.get_executor(), Endpoint { "127.0.0.1", m_acceptor.local_endpoint().port() }, options);
        }

        Result<HttpResponse> exchange(HttpClient& client, bool mayRepeat = false)
        {
            HttpRequest request;
            request.mayRepeat = mayRepeat;
            std::optional<Result<HttpResponse>> result;
            asio::co_spawn(
                m_context, [&]() -> Task<void> { result = co_await client.send(request, std::chrono::steady_clock::now() + std::chrono::seconds(30)); }, asio::detached);
            while (!result && m_context.run_one() > 0) { }
            REQUIRE(result.has_value());
            return std::move(*result);
        }

        std::string keepAlive = "Keep-Alive: timeout=10\r\n";
        int answersOnConnection = 100;
        int connections = 0;
        int requests = 0;

    private:
        Task<void> accept()
        {
            while (true) {
                auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
                ++connections;
                asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
            }
        }

        Task<void> serve(tcp::socket socket)
        {
            for (int answers = 0;; ++answers) {
                std::string text;
                co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", asio::use_awaitable);
                ++requests;
                if (answers >= answersOnConnection) {
                    socket.set_option(asio::socket_base::linger(true, 0));
                    co_return;
                }
                co_await asio::async_write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + keepAlive + "\r\nok"), asio::use_awaitable);
            }
        }

        asio::io_context m_context;
        tcp::acceptor m_acceptor;
    };

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a server that states how long it keeps connections, next request goes over the same one", "[http-client]")
    {
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(connections == 1);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a server that keeps connections for less than the margin, next request takes a new one", "[http-client]")
    {
        keepAlive = "Keep-Alive: timeout=0\r\n";
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        // An idle time of nothing has passed by the next request.
        CHECK(connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a server that states nothing, the client's own idle time holds", "[http-client]")
    {
        keepAlive.clear();
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a client that does not follow the server's word, its own idle time holds", "[http-client]")
    {
        const auto subject = client(std::chrono::milliseconds(0));
        REQUIRE(exchange(*subject));
        REQUIRE(exchange(*subject));
        CHECK(connections == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a reused connection that is reset, a request that may be repeated goes over a new one", "[http-client]")
    {
        answersOnConnection = 1;
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        const auto second = exchange(*subject, true);
        REQUIRE(second);
        CHECK(second.value().body == "ok");
        CHECK(connections == 2);
        CHECK(requests == 3);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a reused connection that is reset, any other request may have run", "[http-client]")
    {
        answersOnConnection = 1;
        const auto subject = client(std::chrono::seconds(30));
        REQUIRE(exchange(*subject));
        const auto second = exchange(*subject);
        REQUIRE_FALSE(second);
        CHECK(second.error().code == ErrorCode::OutcomeUnknown);
        CHECK(requests == 2);
    }

    TEST_CASE_METHOD(HttpClientFixture, "HttpClient: a new connection that is reset, even a request that may be repeated is not sent again", "[http-client]")
    {
        answersOnConnection = 0;
        const auto subject = client(std::chrono::seconds(30));
        const auto first = exchange(*subject, true);
        REQUIRE_FALSE(first);
        CHECK(first.error().code == ErrorCode::OutcomeUnknown);
        CHECK(requests == 1);
    }

} // namespace
} // namespace cicadalb
