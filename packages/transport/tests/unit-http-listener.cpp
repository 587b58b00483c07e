#include "cicadalb/transport/HttpListener.h"
#include "cicadalb/transport/TargetClients.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

constexpr std::size_t kibibyte = std::size_t { 1 } << 10U;

/// A caller that writes and reads bytes as the test says.
class RawCaller {
public:
    explicit RawCaller(std::uint16_t port)
    {
        m_socket.connect({ asio::ip::address_v4::loopback(), port });
        const timeval limit { 10, 0 };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    /// @return whether the connection took the bytes
    bool write(const std::string& bytes)
    {
        boost::system::error_code error;
        asio::write(m_socket, asio::buffer(bytes), error);
        return !error;
    }

    /// Reads until the text ends with a whole head, or the connection ends.
    std::string readHead()
    {
        std::string text;
        char byte = 0;
        while (text.find("\r\n\r\n") == std::string::npos && ::recv(m_socket.native_handle(), &byte, 1, 0) == 1)
            text += byte;
        return text;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket { m_context };
};

struct ListenerFixture {
    explicit ListenerFixture(std::size_t maximumConnections = 100)
        : listener(workers, options(maximumConnections), [this](auto& request, auto& responder) { return serve(request, responder); })
    {
        REQUIRE(listener.start());
    }
    ~ListenerFixture() { workers.stop(); }

    HttpListenerOptions options(std::size_t maximumConnections) const
    {
        HttpListenerOptions options;
        options.maximumBodyBytes = 2048 * kibibyte;
        options.maximumConnections = maximumConnections;
        options.memory = memory;
        return options;
    }

    Task<void> serve(ServerRequest& request, ServerResponder& responder)
    {
        ++requests;
        lastFields = request.fields.size();
        HttpResponse response;
        response.status = 200;
        if (request.path == "/echo")
            response.body = request.body;
        if (request.path == "/large")
            response.body = std::string(2048 * kibibyte, 'a');
        co_await responder.send(std::move(response));
    }

    static std::string head(std::size_t bodyBytes) { return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"; }

    Result<HttpResponse> call(HttpClient& client, HttpRequest request)
    {
        std::promise<Result<HttpResponse>> result;
        auto exchange = [&]() -> Task<void> {
            auto answer = co_await client.send(std::move(request), std::chrono::steady_clock::now() + 10s);
            result.set_value(std::move(answer));
        };
        asio::co_spawn(workers.context(0), std::move(exchange), asio::detached);
        return result.get_future().get();
    }

    std::shared_ptr<MessageMemory> memory = std::make_shared<MessageMemory>(1024 * kibibyte);
    std::atomic<unsigned> requests = 0;
    /// Number of header fields of the last request.
    std::atomic<std::size_t> lastFields = 0;
    WorkerPool workers { 1 };
    HttpListener listener;
};

struct TwoConnectionsFixture : ListenerFixture {
    TwoConnectionsFixture()
        : ListenerFixture(2)
    {
    }
};

} // namespace

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, body without room, is refused with 503 that its caller can read while it sends")
{
    RawCaller caller(listener.port());
    caller.write(head(1500 * kibibyte));
    caller.write(std::string(200 * kibibyte, 'a'));
    const auto answer = caller.readHead();
    CAPTURE(answer);
    CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(requests == 0);
    CHECK(memory->refusals() == 1);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, body over the limit, is refused with 413 that its caller can read while it sends")
{
    RawCaller caller(listener.port());
    caller.write(head(4096 * kibibyte));
    caller.write(std::string(1024 * kibibyte, 'a'));
    const auto answer = caller.readHead();
    CAPTURE(answer);
    CHECK(answer.rfind("HTTP/1.1 413", 0) == 0);
    CHECK(requests == 0);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, sender that has stalled, gives its memory to another request")
{
    RawCaller stalled(listener.port());
    stalled.write(head(600 * kibibyte) + "begin");
    std::this_thread::sleep_for(MessageMemory::stallTime + 100ms);
    RawCaller caller(listener.port());
    caller.write(head(500 * kibibyte));
    caller.write(std::string(500 * kibibyte, 'a'));
    CHECK(caller.readHead().rfind("HTTP/1.1 200", 0) == 0);
    const auto answer = stalled.readHead();
    CAPTURE(answer);
    CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(requests == 1);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, slow sender that keeps moving, keeps its memory")
{
    constexpr int parts = 12;
    RawCaller slow(listener.port());
    slow.write(head(600 * kibibyte + parts) + std::string(600 * kibibyte, 'a'));
    for (int part = 0; part < parts; ++part) {
        std::this_thread::sleep_for(MessageMemory::stallTime / 5);
        slow.write("a");
        if (part != parts - 2)
            continue;
        RawCaller other(listener.port());
        other.write(head(500 * kibibyte));
        CHECK(other.readHead().rfind("HTTP/1.1 503", 0) == 0);
    }
    CHECK(slow.readHead().rfind("HTTP/1.1 200", 0) == 0);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, large bodies that take all they may, leave room for small requests")
{
    std::vector<std::unique_ptr<RawCaller>> large;
    for (int i = 0; i < 10; ++i) {
        large.push_back(std::make_unique<RawCaller>(listener.port()));
        large.back()->write(head(300 * kibibyte) + std::string(100 * kibibyte, 'a'));
    }
    RawCaller small(listener.port());
    small.write(head(10) + "0123456789");
    CHECK(small.readHead().rfind("HTTP/1.1 200", 0) == 0);
    CHECK(memory->used() <= 1024 * kibibyte);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, limits that are replaced, hold for the next request")
{
    RawCaller caller(listener.port());
    caller.write(head(10) + "0123456789");
    CHECK(caller.readHead().rfind("HTTP/1.1 200", 0) == 0);
    auto limits = options(100);
    limits.maximumBodyBytes = 9;
    listener.setLimits(limits);
    // Limits are taken when a connection begins to wait for a request.
    RawCaller other(listener.port());
    other.write(head(10) + "0123456789");
    CHECK(other.readHead().rfind("HTTP/1.1 413", 0) == 0);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, messages that have been answered, leave no memory in use beyond idle connections")
{
    HttpClientOptions clientOptions;
    clientOptions.memory = std::make_shared<MessageMemory>(8192 * kibibyte);
    HttpClient client(workers.context(0).get_executor(), Endpoint { "127.0.0.1", listener.port() }, clientOptions);
    HttpRequest request;
    request.method = "POST";
    request.target = "/echo";
    request.body = std::string(300 * kibibyte, 'b');
    const auto answer = call(client, request);
    REQUIRE(answer);
    CHECK(answer.value().status == 200);
    CHECK(answer.value().body == request.body.text());
    const auto limit = std::chrono::steady_clock::now() + 5s;
    while (memory->used() > 32 * kibibyte && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(5ms);
    CHECK(memory->used() <= 32 * kibibyte);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, answer without room, is replaced by 503 for a read, and by the end of the connection for another request")
{
    RawCaller reader(listener.port());
    reader.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(reader.readHead().rfind("HTTP/1.1 503", 0) == 0);
    RawCaller writer(listener.port());
    writer.write("POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    CHECK(writer.readHead().empty());
    CHECK(requests == 2);
}

TEST_CASE_METHOD(ListenerFixture, "HTTP listener, trailer, does not become part of the header")
{
    RawCaller caller(listener.port());
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nLate: field\r\n\r\n");
    CHECK(caller.readHead().rfind("HTTP/1.1 200", 0) == 0);
    CHECK(lastFields == 2);
}

TEST_CASE_METHOD(TwoConnectionsFixture, "HTTP listener, connection beyond the maximum, takes the place of the one that has waited longest")
{
    const auto isServed = [](RawCaller& caller) { return caller.write(head(0)) && caller.readHead().rfind("HTTP/1.1 200", 0) == 0; };
    RawCaller first(listener.port());
    CHECK(isServed(first));
    RawCaller second(listener.port());
    CHECK(isServed(second));
    RawCaller third(listener.port());
    CHECK(isServed(third));
    CHECK(isServed(second));
    CHECK_FALSE(isServed(first));
    CHECK(listener.connections() <= 2);
}

TEST_CASE_METHOD(ListenerFixture, "target clients, connections that are idle for too long, are closed without another request")
{
    HttpClientOptions clientOptions;
    clientOptions.idleTimeout = 50ms;
    TargetClients clients(workers, clientOptions);
    const Endpoint endpoint { "127.0.0.1", listener.port() };
    REQUIRE(call(*clients.client(0, endpoint), {}));
    CHECK(listener.connections() == 1);
    std::this_thread::sleep_for(100ms);
    asio::co_spawn(
        workers.context(0), [&]() -> Task<void> { clients.closeUnused(0); co_return; }, asio::use_future)
        .get();
    const auto limit = std::chrono::steady_clock::now() + 5s;
    while (listener.connections() > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(5ms);
    CHECK(listener.connections() == 0);
}
