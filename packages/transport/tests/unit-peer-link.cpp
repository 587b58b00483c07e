#include "common/TcpRelay.h"

#include "cicadalb/base/Error.h"
#include "cicadalb/transport/PeerLink.h"
#include "websocket/PeerMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <future>
#include <mutex>

using namespace cicadalb;

namespace {

/// Fails a test that would otherwise hang; no other assertion depends on it.
constexpr std::chrono::seconds hangTimeout { 20 };
constexpr std::uint32_t requestTimeoutMilliseconds = 15000;

/// A host that echoes each request, at once or, while isDeferring is set, when the test calls answerDeferred().
class TestHost {
public:
    explicit TestHost(const std::string& id, std::uint64_t incarnation = 1, const std::string& secret = "secret")
        : links(settings(id, incarnation, secret), [this](const std::string& from, const PeerRequest& request, const PeerReplyCallback& reply) { handle(from, request, reply); })
    {
        std::string error;
        REQUIRE(links.start(error));
    }

    std::shared_future<PeerAnswer> sendRequest(const std::string& host, std::vector<std::uint8_t> body)
    {
        const auto promise = std::make_shared<std::promise<PeerAnswer>>();
        links.request(host, { PeerRequestKind::State, std::move(body) }, requestTimeoutMilliseconds, [promise](PeerAnswer answer) { promise->set_value(std::move(answer)); });
        return promise->get_future().share();
    }

    /// @brief Waits until the answers to @p count requests are deferred.
    void waitForDeferred(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(lock, hangTimeout, [&] { return m_deferred.size() >= count; }));
    }

    /// @brief Sends the deferred answers, the last one first.
    void answerDeferred()
    {
        const std::lock_guard lock(m_mutex);
        for (auto deferred = m_deferred.rbegin(); deferred != m_deferred.rend(); ++deferred)
            (*deferred)();
        m_deferred.clear();
    }

    std::size_t runCount() const { return m_runCount; }
    std::uint64_t counter(const std::string& name) const { return nlohmann::json::parse(links.state()).at(name); }
    std::uint64_t peerCounter(const std::string& peer, const std::string& name) const { return nlohmann::json::parse(links.state()).at("peers").at(peer).at(name); }

    std::atomic<bool> isDeferring = false;

private:
    static PeerLinkSettings settings(const std::string& id, std::uint64_t incarnation, const std::string& secret)
    {
        PeerLinkSettings settings;
        settings.hostId = id;
        settings.incarnation = incarnation;
        settings.listenAddress = "127.0.0.1";
        settings.secret = secret;
        settings.livenessTimeoutMilliseconds = 400;
        settings.pingIntervalMilliseconds = 100;
        return settings;
    }

    void handle(const std::string& from, const PeerRequest& request, const PeerReplyCallback& reply)
    {
        ++m_runCount;
        PeerAnswer answer;
        answer.outcome = PeerOutcome::Answered;
        answer.message = from;
        answer.body = request.body;
        if (!isDeferring) {
            reply(answer);
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_deferred.emplace_back([reply, answer] { reply(answer); });
        m_changed.notify_all();
    }

    std::atomic<std::size_t> m_runCount = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::function<void()>> m_deferred;

public:
    PeerLinks links;
};

PeerAnswer waitForAnswer(const std::shared_future<PeerAnswer>& future)
{
    REQUIRE(future.wait_for(hangTimeout) == std::future_status::ready);
    return future.get();
}

struct PeerLinkFixture {
    PeerLinkFixture() { requester.links.setPeer("b", "127.0.0.1", relay.port()); }

    TestHost requester { "a" };
    TestHost responder { "b" };
    TcpRelay relay { responder.links.port() };
};

} // namespace

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, request to a host with the same secret, is answered with the echoed body")
{
    const std::vector<std::uint8_t> body(std::size_t { 1 } << 20U, 7);
    const auto answer = waitForAnswer(requester.sendRequest("b", body));
    CHECK(answer.outcome == PeerOutcome::Answered);
    CHECK(answer.message == "a");
    CHECK((answer.body == body));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, many requests are answered in reverse order, each gets its own answer")
{
    responder.isDeferring = true;
    std::vector<std::shared_future<PeerAnswer>> answers;
    for (std::uint8_t number = 0; number < 50; ++number)
        answers.push_back(requester.sendRequest("b", { number }));
    responder.waitForDeferred(50);
    responder.answerDeferred();
    for (std::uint8_t number = 0; number < 50; ++number)
        CHECK(waitForAnswer(answers[number]).body == std::vector<std::uint8_t> { number });
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, connection closes while a request runs, the request runs once and is answered")
{
    responder.isDeferring = true;
    auto answer = requester.sendRequest("b", { 1 });
    responder.waitForDeferred(1);
    relay.closeConnections(responder.links.port());
    responder.answerDeferred();
    CHECK(waitForAnswer(answer).outcome == PeerOutcome::Answered);
    CHECK(responder.runCount() == 1);
    CHECK(requester.peerCounter("b", "links-opened") == 2);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, connection stops delivering while a request runs, the request runs once and is answered over a new connection")
{
    responder.isDeferring = true;
    auto answer = requester.sendRequest("b", { 1 });
    responder.waitForDeferred(1);
    relay.stopForwarding();
    responder.answerDeferred();
    CHECK(waitForAnswer(answer).outcome == PeerOutcome::Answered);
    CHECK(responder.runCount() == 1);
    CHECK(requester.peerCounter("b", "silences") == 1);
    CHECK(responder.counter("answers-repeated") == 1);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, idle connection stopped delivering, the next request is answered over a new connection")
{
    waitForAnswer(requester.sendRequest("b", { 1 }));
    relay.stopForwarding();
    CHECK(waitForAnswer(requester.sendRequest("b", { 2 })).outcome == PeerOutcome::Answered);
    CHECK(responder.runCount() == 2);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, host restarted while a request runs, the outcome is unknown and the new process does not run it")
{
    responder.isDeferring = true;
    auto answer = requester.sendRequest("b", { 1 });
    responder.waitForDeferred(1);
    TestHost restarted("b", 2);
    relay.closeConnections(restarted.links.port());
    CHECK(waitForAnswer(answer).outcome == PeerOutcome::Unknown);
    CHECK(restarted.runCount() == 0);
    CHECK(waitForAnswer(requester.sendRequest("b", { 2 })).body == std::vector<std::uint8_t> { 2 });
    responder.answerDeferred();
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, requesting host restarted, the answer to its previous incarnation does not reach it")
{
    responder.isDeferring = true;
    auto formerAnswer = requester.sendRequest("b", { 1 });
    responder.waitForDeferred(1);
    TestHost restarted("a", 2);
    restarted.links.setPeer("b", "127.0.0.1", responder.links.port());
    auto answer = restarted.sendRequest("b", { 2 });
    responder.waitForDeferred(2);
    responder.answerDeferred();
    CHECK(waitForAnswer(answer).body == std::vector<std::uint8_t> { 2 });
    CHECK(waitForAnswer(formerAnswer).body == std::vector<std::uint8_t> { 1 });
    CHECK(restarted.peerCounter("b", "answers-dropped") == 0);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, host with a different secret, is refused and its request is not run")
{
    TestHost outsider("c", 1, "other");
    outsider.links.setPeer("b", "127.0.0.1", responder.links.port());
    const auto answer = waitForAnswer(outsider.sendRequest("b", { 1 }));
    CHECK(answer.outcome == PeerOutcome::NotSent);
    CHECK(answer.error == static_cast<std::uint16_t>(ErrorCode::PeerUnauthenticated));
    CHECK(responder.runCount() == 0);
    CHECK(responder.counter("proofs-refused") >= 1);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, a different host listens at the address, the request is not sent")
{
    requester.links.setPeer("d", "127.0.0.1", responder.links.port());
    CHECK(waitForAnswer(requester.sendRequest("d", { 1 })).outcome == PeerOutcome::NotSent);
    CHECK(responder.runCount() == 0);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, request sent before authentication, closes the connection and is not run")
{
    namespace beast = boost::beast;
    boost::asio::io_context context;
    beast::websocket::stream<boost::asio::ip::tcp::socket> socket(context);
    socket.next_layer().connect({ boost::asio::ip::address_v4::loopback(), responder.links.port() });
    socket.handshake("127.0.0.1", "/");
    socket.binary(true);
    beast::flat_buffer buffer;
    socket.read(buffer);
    CHECK(detail::decode(beast::buffers_to_string(buffer.data()))->type == detail::PeerMessageType::Challenge);
    detail::PeerMessage request;
    request.type = detail::PeerMessageType::Request;
    request.host = "a";
    request.requestId = 1;
    beast::error_code error;
    socket.write(boost::asio::buffer(detail::encode(request)), error);
    buffer.clear();
    socket.read(buffer, error);
    CHECK(error);
    CHECK(responder.runCount() == 0);
    CHECK(responder.counter("proofs-refused") == 1);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, no process listens at the address, the request is reported as not sent")
{
    responder.links.stop();
    const auto port = responder.links.port();
    requester.links.setPeer("b", "127.0.0.1", port);
    const auto answer = waitForAnswer(requester.sendRequest("b", { 1 }));
    CHECK(answer.outcome == PeerOutcome::NotSent);
    CHECK(answer.error == static_cast<std::uint16_t>(ErrorCode::PeerUnreachable));
    CHECK(waitForAnswer(requester.sendRequest("unheard-of", { 1 })).error == static_cast<std::uint16_t>(ErrorCode::HostUnknown));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, request body over the size limit, is refused")
{
    const std::vector<std::uint8_t> body(std::size_t { 17 } << 20U, 7);
    const auto answer = waitForAnswer(requester.sendRequest("b", body));
    CHECK(answer.outcome == PeerOutcome::NotSent);
    CHECK(answer.error == static_cast<std::uint16_t>(ErrorCode::MessageInvalid));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, responding host stops while a request runs, that one is answered and a later one is run or reported as not sent")
{
    responder.isDeferring = true;
    auto answer = requester.sendRequest("b", { 1 });
    responder.waitForDeferred(1);
    std::thread stopThread([this] { responder.links.stop(); });
    auto lateAnswer = requester.sendRequest("b", { 2 });
    while (responder.runCount() == 1 && lateAnswer.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) { }
    responder.answerDeferred();
    stopThread.join();
    CHECK(waitForAnswer(answer).outcome == PeerOutcome::Answered);
    const auto lateResult = waitForAnswer(lateAnswer);
    CHECK((lateResult.outcome == PeerOutcome::NotSent) == (responder.runCount() == 1));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, requesting host stops, sent requests end as unknown and later ones are not sent")
{
    responder.isDeferring = true;
    auto answer = requester.sendRequest("b", { 1 });
    responder.waitForDeferred(1);
    requester.links.stop();
    CHECK(waitForAnswer(answer).outcome == PeerOutcome::Unknown);
    CHECK(waitForAnswer(requester.sendRequest("b", { 2 })).outcome == PeerOutcome::NotSent);
    responder.answerDeferred();
}
