#include "cicadalb/services/HttpClient.h"

#include "cicadalb/services/EndlessServer.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A client of a server whose answers never end. Requests have a deadline far beyond the test's own limit.
struct EndlessAnswerFixture {
    static constexpr std::size_t mebibyte = std::size_t { 1 } << 20U;
    /// What the client may read of an answer, and what the sockets of both sides may hold.
    static constexpr std::size_t maximumBytesSent = 24 * mebibyte;

    boost::asio::io_context context;
    EndlessServer server { context };
    HttpClient client { context.get_executor(), Endpoint { "127.0.0.1", server.port() } };

    EndlessAnswerFixture() { server.filler = std::string(mebibyte / 16, 'a'); }

    template <typename T>
    bool endsSoon(const Pending<T>& pending)
    {
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while ((!pending->has_value() || !server.wasClosedByClient) && server.bytesSent < maximumBytesSent && std::chrono::steady_clock::now() < limit) {
            context.restart();
            context.run_for(1ms);
        }
        return pending->has_value() && !**pending && server.wasClosedByClient && server.bytesSent < maximumBytesSent;
    }

    bool sendEndsSoon() { return endsSoon(startTask(context.get_executor(), client.send({}, std::chrono::steady_clock::now() + 60s))); }

    /// Streams the answer to a reader that accepts everything.
    bool streamEndsSoon()
    {
        HttpStreamHandler handler;
        handler.onPart = [](std::string_view) -> Task<bool> { co_return true; };
        return endsSoon(startTask(context.get_executor(), client.stream({}, std::chrono::steady_clock::now() + 60s, std::move(handler))));
    }
};

constexpr std::string_view chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, status line without end, closes the connection")
{
    CHECK(sendEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, status text without end, closes the connection")
{
    server.begin = "HTTP/1.1 200 ";
    CHECK(sendEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, header field without end, closes the connection")
{
    server.begin = "HTTP/1.1 200 OK\r\nX-Long: ";
    CHECK(sendEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, header fields without end, closes the connection")
{
    server.begin = "HTTP/1.1 200 OK\r\n";
    server.filler = "X-More: 1\r\n";
    CHECK(sendEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, body without end, closes the connection at the size limit")
{
    server.begin = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    CHECK(sendEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, chunk size without end, closes the connection")
{
    server.begin = chunkedHead;
    server.filler = std::string(mebibyte / 16, '0');
    CHECK(streamEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, chunk extension without end, closes the connection")
{
    server.begin = std::string(chunkedHead) + "5;name=";
    CHECK(streamEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, trailer field without end, closes the connection")
{
    server.begin = std::string(chunkedHead) + "2\r\nok\r\n0\r\nX-Long: ";
    CHECK(streamEndsSoon());
}

TEST_CASE_METHOD(EndlessAnswerFixture, "HTTP client, trailer fields without end, closes the connection")
{
    server.begin = std::string(chunkedHead) + "2\r\nok\r\n0\r\n";
    server.filler = "X-More: 1\r\n";
    CHECK(streamEndsSoon());
}
