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

/// Ends a test that hangs; no verdict depends on it otherwise.
constexpr std::chrono::seconds patience { 20 };
constexpr std::uint32_t requestTimeoutMilliseconds = 15000;

/// A host whose handler keeps requests until the test answers them, or echoes them.
class TestHost {
public:
    explicit TestHost(const std::string& id, std::uint64_t incarnation = 1, const std::string& secret = "secret")
        : links(settings(id, incarnation, secret), [this](const std::string& from, const PeerRequest& request, const PeerReply& reply) { handle(from, request, reply); })
    {
        std::string error;
        REQUIRE(links.start(error));
    }

    std::shared_future<PeerAnswer> ask(const std::string& host, std::vector<std::uint8_t> body)
    {
        const auto promise = std::make_shared<std::promise<PeerAnswer>>();
        links.request(host, { PeerRequestKind::State, std::move(body) }, requestTimeoutMilliseconds, [promise](PeerAnswer answer) { promise->set_value(std::move(answer)); });
        return promise->get_future().share();
    }

    /// @brief Waits until @p count requests are kept.
    void waitForKept(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(lock, patience, [&] { return m_kept.size() >= count; }));
    }

    /// @brief Echoes the kept requests, the last first.
    void answerKept()
    {
        const std::lock_guard lock(m_mutex);
        for (auto kept = m_kept.rbegin(); kept != m_kept.rend(); ++kept)
            (*kept)();
        m_kept.clear();
    }

    std::size_t runs() const { return m_runs; }
    std::uint64_t counter(const std::string& name) const { return nlohmann::json::parse(links.state()).at(name); }
    std::uint64_t peerCounter(const std::string& peer, const std::string& name) const { return nlohmann::json::parse(links.state()).at("peers").at(peer).at(name); }

    std::atomic<bool> isKeeping = false;

private:
    static PeerLinkSettings settings(const std::string& id, std::uint64_t incarnation, const std::string& secret)
    {
        PeerLinkSettings settings;
        settings.hostId = id;
        settings.incarnation = incarnation;
        settings.listenAddress = "127.0.0.1";
        settings.secret = secret;
        settings.silenceMilliseconds = 400;
        settings.pingMilliseconds = 100;
        return settings;
    }

    void handle(const std::string& from, const PeerRequest& request, const PeerReply& reply)
    {
        ++m_runs;
        PeerAnswer answer;
        answer.outcome = PeerOutcome::Answered;
        answer.message = from;
        answer.body = request.body;
        if (!isKeeping) {
            reply(answer);
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_kept.emplace_back([reply, answer] { reply(answer); });
        m_changed.notify_all();
    }

    std::atomic<std::size_t> m_runs = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::function<void()>> m_kept;

public:
    PeerLinks links;
};

PeerAnswer resultOf(const std::shared_future<PeerAnswer>& future)
{
    REQUIRE(future.wait_for(patience) == std::future_status::ready);
    return future.get();
}

struct PeerLinkFixture {
    PeerLinkFixture() { asker.links.setPeer("b", "127.0.0.1", relay.port()); }

    TestHost asker { "a" };
    TestHost answerer { "b" };
    TcpRelay relay { answerer.links.port() };
};

} // namespace

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, request to a host with the same secret, is answered")
{
    const std::vector<std::uint8_t> body(std::size_t { 1 } << 20U, 7);
    const auto answer = resultOf(asker.ask("b", body));
    CHECK(answer.outcome == PeerOutcome::Answered);
    CHECK(answer.message == "a");
    CHECK((answer.body == body));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, many requests answered in reverse, each gets its own answer")
{
    answerer.isKeeping = true;
    std::vector<std::shared_future<PeerAnswer>> answers;
    for (std::uint8_t number = 0; number < 50; ++number)
        answers.push_back(asker.ask("b", { number }));
    answerer.waitForKept(50);
    answerer.answerKept();
    for (std::uint8_t number = 0; number < 50; ++number)
        CHECK(resultOf(answers[number]).body == std::vector<std::uint8_t> { number });
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, connection cut while a request runs, the request runs once and is answered")
{
    answerer.isKeeping = true;
    auto answer = asker.ask("b", { 1 });
    answerer.waitForKept(1);
    relay.cut(answerer.links.port());
    answerer.answerKept();
    CHECK(resultOf(answer).outcome == PeerOutcome::Answered);
    CHECK(answerer.runs() == 1);
    CHECK(asker.peerCounter("b", "links-opened") == 2);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, connection goes silent while a request runs, the request runs once and is answered over a new one")
{
    answerer.isKeeping = true;
    auto answer = asker.ask("b", { 1 });
    answerer.waitForKept(1);
    relay.silence();
    answerer.answerKept();
    CHECK(resultOf(answer).outcome == PeerOutcome::Answered);
    CHECK(answerer.runs() == 1);
    CHECK(asker.peerCounter("b", "silences") == 1);
    CHECK(answerer.counter("answers-repeated") == 1);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, idle connection went silent, the next request is answered over a new one")
{
    resultOf(asker.ask("b", { 1 }));
    relay.silence();
    CHECK(resultOf(asker.ask("b", { 2 })).outcome == PeerOutcome::Answered);
    CHECK(answerer.runs() == 2);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, host restarted while a request runs, the outcome is unknown and the new process does not run it")
{
    answerer.isKeeping = true;
    auto answer = asker.ask("b", { 1 });
    answerer.waitForKept(1);
    TestHost restarted("b", 2);
    relay.cut(restarted.links.port());
    CHECK(resultOf(answer).outcome == PeerOutcome::Unknown);
    CHECK(restarted.runs() == 0);
    CHECK(resultOf(asker.ask("b", { 2 })).body == std::vector<std::uint8_t> { 2 });
    answerer.answerKept();
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, asker restarted, an answer to its former life does not reach it")
{
    answerer.isKeeping = true;
    auto former = asker.ask("b", { 1 });
    answerer.waitForKept(1);
    TestHost restarted("a", 2);
    restarted.links.setPeer("b", "127.0.0.1", answerer.links.port());
    auto answer = restarted.ask("b", { 2 });
    answerer.waitForKept(2);
    answerer.answerKept();
    CHECK(resultOf(answer).body == std::vector<std::uint8_t> { 2 });
    CHECK(resultOf(former).body == std::vector<std::uint8_t> { 1 });
    CHECK(restarted.peerCounter("b", "answers-dropped") == 0);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, host with another secret, is refused and nothing runs")
{
    TestHost stranger("c", 1, "other");
    stranger.links.setPeer("b", "127.0.0.1", answerer.links.port());
    const auto answer = resultOf(stranger.ask("b", { 1 }));
    CHECK(answer.outcome == PeerOutcome::NotSent);
    CHECK(answer.error == static_cast<std::uint16_t>(ErrorCode::PeerUnauthenticated));
    CHECK(answerer.runs() == 0);
    CHECK(answerer.counter("proofs-refused") >= 1);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, another host at the address, is refused and nothing is sent")
{
    asker.links.setPeer("d", "127.0.0.1", answerer.links.port());
    CHECK(resultOf(asker.ask("d", { 1 })).outcome == PeerOutcome::NotSent);
    CHECK(answerer.runs() == 0);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, request before the proof, is dropped unread")
{
    namespace beast = boost::beast;
    boost::asio::io_context context;
    beast::websocket::stream<boost::asio::ip::tcp::socket> socket(context);
    socket.next_layer().connect({ boost::asio::ip::address_v4::loopback(), answerer.links.port() });
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
    CHECK(answerer.runs() == 0);
    CHECK(answerer.counter("proofs-refused") == 1);
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, nobody listens, the request is known not to be sent")
{
    answerer.links.stop();
    const auto port = answerer.links.port();
    asker.links.setPeer("b", "127.0.0.1", port);
    const auto answer = resultOf(asker.ask("b", { 1 }));
    CHECK(answer.outcome == PeerOutcome::NotSent);
    CHECK(answer.error == static_cast<std::uint16_t>(ErrorCode::PeerUnreachable));
    CHECK(resultOf(asker.ask("unheard-of", { 1 })).error == static_cast<std::uint16_t>(ErrorCode::HostUnknown));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, body over the limit, is refused on both ways")
{
    const std::vector<std::uint8_t> body(std::size_t { 17 } << 20U, 7);
    const auto answer = resultOf(asker.ask("b", body));
    CHECK(answer.outcome == PeerOutcome::NotSent);
    CHECK(answer.error == static_cast<std::uint16_t>(ErrorCode::MessageInvalid));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, host stops while a request runs, the request is answered and a new one is not run")
{
    answerer.isKeeping = true;
    auto answer = asker.ask("b", { 1 });
    answerer.waitForKept(1);
    std::thread stopping([this] { answerer.links.stop(); });
    auto late = asker.ask("b", { 2 });
    while (answerer.runs() == 1 && late.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) { }
    answerer.answerKept();
    stopping.join();
    CHECK(resultOf(answer).outcome == PeerOutcome::Answered);
    const auto refused = resultOf(late);
    CHECK((refused.outcome == PeerOutcome::NotSent) == (answerer.runs() == 1));
}

TEST_CASE_METHOD(PeerLinkFixture, "Peer link, asker stops, sent requests are unknown and later ones are not sent")
{
    answerer.isKeeping = true;
    auto answer = asker.ask("b", { 1 });
    answerer.waitForKept(1);
    asker.links.stop();
    CHECK(resultOf(answer).outcome == PeerOutcome::Unknown);
    CHECK(resultOf(asker.ask("b", { 2 })).outcome == PeerOutcome::NotSent);
    answerer.answerKept();
}
