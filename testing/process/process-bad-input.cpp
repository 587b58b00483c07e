#include "Deployment.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <sys/socket.h>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

const std::string requestHead = "POST /ledger/invoices HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer clerk-token\r\n";

/// A caller that writes arbitrary bytes to a host.
class RawCaller {
public:
    explicit RawCaller(std::uint16_t port)
    {
        m_socket.connect({ boost::asio::ip::address_v4::loopback(), port });
        const timeval limit { waitTimeout.count(), 0 };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    void write(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    void shutDownSend() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

    /// @brief Reads until the host closes the connection.
    std::string readAll()
    {
        std::string text;
        char bytes[4096];
        for (ssize_t length = 0; (length = ::recv(m_socket.native_handle(), bytes, sizeof(bytes), 0)) > 0;)
            text.append(bytes, static_cast<std::size_t>(length));
        return text;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket { m_context };
};

struct BadInputFixture {
    std::uint16_t port() { return deployment.hosts[0]->callerPort; }
    nlohmann::json::value_type runs() { return deployment.control(*deployment.ledgers[0], nlohmann::json::object()).at("runs"); }

    void checkStillServes()
    {
        const auto response = deployment.call(*deployment.hosts[0]->callerClient, Deployment::lookupRequest("still"));
        REQUIRE(response);
        CHECK(response.value().status == 200);
    }

    Deployment deployment { { 1, 1 } };
};

} // namespace

TEST_CASE_METHOD(BadInputFixture, "Malformed or oversized caller input is refused, nothing runs and the host keeps serving")
{
    struct Case {
        const char* name;
        std::string bytes;
        const char* status;
    };
    const std::vector<Case> cases {
        { "not HTTP", "hello\r\n\r\n", "HTTP/1.1 400" },
        { "control bytes", std::string("\x00\x01\xff\x7f GET\r\n\r\n", 12), "HTTP/1.1 400" },
        { "bad field", requestHead + "Broken field\r\n\r\n", "HTTP/1.1 400" },
        { "bad length", requestHead + "Content-Length: minus\r\n\r\n", "HTTP/1.1 400" },
        { "two lengths", requestHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "HTTP/1.1 400" },
        { "bad chunk", requestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 400" },
        { "large body", requestHead + "Content-Length: 70000\r\n\r\n", "HTTP/1.1 413" },
        { "large header", requestHead + "X-Large: " + std::string(40000, 'x') + "\r\n\r\n", "HTTP/1.1 431" },
    };
    for (const auto& input : cases) {
        RawCaller caller(port());
        caller.write(input.bytes);
        const auto answer = caller.readAll();
        CAPTURE(input.name, answer);
        CHECK(answer.rfind(input.status, 0) == 0);
        CHECK(answer.find("Cicadalb-Run-State: not-run") != std::string::npos);
    }
    CHECK(runs() == 0);
    checkStillServes();
}

TEST_CASE_METHOD(BadInputFixture, "Caller request with a truncated body does not run")
{
    const auto truncatedBody = GENERATE("Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", "Content-Length: 10\r\n\r\nabcde");
    RawCaller caller(port());
    caller.write(requestHead + truncatedBody);
    caller.shutDownSend();
    const auto answer = caller.readAll();
    CAPTURE(answer);
    CHECK(answer.find("200 OK") == std::string::npos);
    CHECK(runs() == 0);
    checkStillServes();
}

TEST_CASE_METHOD(BadInputFixture, "Caller request that arrives byte by byte is answered")
{
    RawCaller caller(port());
    for (const char byte : requestHead + "Connection: close\r\nX-Request-Id: split\r\nContent-Length: 2\r\n\r\n{}") {
        caller.write(std::string(1, byte));
        std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
    const auto answer = caller.readAll();
    CAPTURE(answer);
    CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
    CHECK(deployment.runCount(*deployment.ledgers[0], "split") == 1);
}

TEST_CASE_METHOD(BadInputFixture, "Caller request whose header or body does not arrive in time is refused and does not run")
{
    const auto incompleteRequest = GENERATE(std::string("POST /led"), requestHead + "Content-Length: 10\r\n\r\nabc");
    RawCaller caller(port());
    caller.write(incompleteRequest);
    const auto answer = caller.readAll();
    CAPTURE(answer);
    CHECK((answer.empty() || answer.rfind("HTTP/1.1 408", 0) == 0));
    CHECK(runs() == 0);
    checkStillServes();
}
