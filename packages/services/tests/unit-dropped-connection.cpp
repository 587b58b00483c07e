#include "cicadalb/services/HttpClient.h"

#include "cicadalb/services/RunTask.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <memory>

namespace cicadalb {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    /// A request that the client's system takes in full and that the server's receive buffer does not hold.
    constexpr std::size_t bodyBytes = std::size_t { 256 } << 10U;
    /// A request that the client's system does not take in full.
    constexpr std::size_t largeBodyBytes = std::size_t { 16 } << 20U;
    constexpr int receiveBufferBytes = 4096;
    constexpr std::chrono::milliseconds timeForWriting { 200 };

    /// A client and a server that accepts connections and reads nothing until the test asks it to.
    struct DroppedConnectionFixture {
        DroppedConnectionFixture()
        {
            acceptor.open(tcp::v4());
            acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
            acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
            acceptor.listen();
            acceptor.async_accept(peer, [](const boost::system::error_code&) {});
            client = std::make_shared<HttpClient>(context.get_executor(), Endpoint { "127.0.0.1", acceptor.local_endpoint().port() }, HttpClientOptions());
        }

        Pending<Result<HttpResponse>> send(std::size_t bytes, Duration timeout)
        {
            HttpRequest request;
            request.method = "POST";
            request.body = std::string(bytes, 'x');
            return startTask(context.get_executor(), client->send(std::move(request), std::chrono::steady_clock::now() + timeout, cancellation));
        }

        Result<HttpResponse> resultOf(const Pending<Result<HttpResponse>>& pending)
        {
            while (!pending->has_value() && context.run_one() > 0) { }
            REQUIRE(pending->has_value());
            return std::move(**pending);
        }

        void answer(std::string_view text) { asio::write(peer, asio::buffer(text)); }

        void readUntilEnd()
        {
            peer.non_blocking(false);
            std::array<char, 4096> part {};
            while (!end)
                bytesReceived += peer.read_some(asio::buffer(part), end);
        }

        asio::io_context context;
        tcp::acceptor acceptor { context };
        tcp::socket peer { context };
        std::shared_ptr<HttpClient> client;
        std::shared_ptr<HttpCancellation> cancellation = std::make_shared<HttpCancellation>();
        std::size_t bytesReceived = 0;
        boost::system::error_code end;
    };

    TEST_CASE_METHOD(DroppedConnectionFixture, "HttpClient: exchange is cancelled while its request waits in the system, the server sees a reset instead of the request", "[http-client]")
    {
        const auto bytes = GENERATE(bodyBytes, largeBodyBytes);
        const auto pending = send(bytes, std::chrono::seconds(30));
        context.run_for(timeForWriting);
        cancellation->cancel();
        const auto result = resultOf(pending);
        REQUIRE_FALSE(result);
        CHECK(result.error().code == ErrorCode::Cancelled);
        readUntilEnd();
        CHECK(end == asio::error::connection_reset);
        CHECK(bytesReceived < bytes);
    }

    TEST_CASE_METHOD(DroppedConnectionFixture, "HttpClient: deadline passes while a request waits in the system, the server sees a reset instead of the request", "[http-client]")
    {
        const auto bytes = GENERATE(bodyBytes, largeBodyBytes);
        const auto result = resultOf(send(bytes, timeForWriting));
        REQUIRE_FALSE(result);
        CHECK(result.error().code == ErrorCode::OutcomeUnknown);
        readUntilEnd();
        CHECK(end == asio::error::connection_reset);
        CHECK(bytesReceived < bytes);
    }

    TEST_CASE_METHOD(DroppedConnectionFixture, "HttpClient: exchange is cancelled in the middle of an answer, the server sees a reset", "[http-client]")
    {
        const auto pending = send(1, std::chrono::seconds(30));
        context.run_for(timeForWriting);
        answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok");
        context.run_for(timeForWriting);
        cancellation->cancel();
        REQUIRE_FALSE(resultOf(pending));
        readUntilEnd();
        CHECK(end == asio::error::connection_reset);
    }

    TEST_CASE_METHOD(DroppedConnectionFixture, "HttpClient: connection that carried a complete answer is closed, the server sees its orderly end", "[http-client]")
    {
        const std::string connection = GENERATE(as<std::string> {}, "close", "keep-alive");
        const auto pending = send(1, std::chrono::seconds(30));
        context.run_for(timeForWriting);
        answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: " + connection + "\r\n\r\nok");
        REQUIRE(resultOf(pending));
        client.reset();
        readUntilEnd();
        CHECK(end == asio::error::eof);
    }

} // namespace
} // namespace cicadalb
