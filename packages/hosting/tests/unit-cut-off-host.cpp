#include "ForwardingFixture.h"
#include "RecordingResponder.h"
#include "RequestRelay.h"
#include "SiteEndpoints.h"
#include "common/TcpRelay.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <vector>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

/// A port to which connections are neither accepted nor refused: the queue of the listening socket is full.
class SilentPort {
public:
    SilentPort()
    {
        m_acceptor.open(Tcp::v4());
        m_acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
        m_acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            auto& socket = m_sockets.emplace_back(m_context);
            socket.async_connect(m_acceptor.local_endpoint(), [](const auto&) {});
        }
        m_context.poll();
    }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor { m_context };
    std::vector<Tcp::socket> m_sockets;
};

/// A port on which nothing listens.
std::uint16_t refusingPort()
{
    boost::asio::io_context context;
    const Tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    return acceptor.local_endpoint().port();
}

TargetProbe makeProbe(TargetClients& clients)
{
    return [&clients](const Endpoint& endpoint, std::chrono::milliseconds timeout) -> Task<bool> {
        const auto client = clients.client(0, endpoint);
        co_return co_await client->acceptsConnections(timeout);
    };
}

/// The fixture's host forwards requests for another one, which has a registry with other addresses of the same targets.
struct CutOffHostFixture : ForwardingFixture {
    boost::asio::any_io_executor executor = workers.context(0).get_executor();
    std::shared_ptr<TargetReachability> helperReachability = std::make_shared<TargetReachability>(executor, directory, makeProbe(clients), clock, 1);
    RelayEndpoint relayEndpoint { directory, protocol, forwarder, *helperReachability };
    HttpListener helper { workers, {}, [this](auto& request, auto& responder) { return relayEndpoint.serve(request, responder); } };

    FakeKeyValueService cutOffStore { executor, storeClock };
    SiteDirectory cutOffDirectory { executor, cutOffStore, protocol, clock, {} };
    TargetClients cutOffClients { workers };
    RequestPermits cutOffPermits { executor, {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> cutOffCrashGuard = std::make_shared<CrashGuard>(executor, cutOffStore, HostId("cut-off"));
    std::shared_ptr<TargetReachability> reachability = std::make_shared<TargetReachability>(executor, cutOffDirectory, makeProbe(cutOffClients), clock, 2);
    RequestForwarder cutOffForwarder { cutOffDirectory, protocol, cutOffClients, cutOffPermits, *cutOffCrashGuard, clock, reachability.get() };
    std::unique_ptr<RequestRelay> relay;
    SubmissionIntake intake { cutOffStore };
    ResultReader reader { executor, cutOffStore, clock };
    std::shared_ptr<StreamOrigins> streamOrigins = std::make_shared<StreamOrigins>(executor, cutOffStore, clock);
    Metrics metrics;
    std::unique_ptr<SiteEndpoints> endpoints;
    SilentPort silent;
    static constexpr auto configuration = "5 ledger idempotent:app.example/lookup/ once:app.example/post/";

    CutOffHostFixture()
    {
        REQUIRE(helper.start());
        useHelpers({ helper.port() });
        onWorker([this] {
            store.put("site/configuration", configuration);
            cutOffStore.put("site/configuration", configuration);
            cutOffDirectory.start();
        });
    }

    ~CutOffHostFixture()
    {
        onWorker([this] {
            cutOffDirectory.stop();
            cutOffStore.advance(60s);
        });
        std::this_thread::sleep_for(TargetReachability::probeTimeout);
    }

    void useHelpers(const std::vector<std::uint16_t>& ports)
    {
        std::vector<Endpoint> helpers;
        helpers.reserve(ports.size());
        for (const auto port : ports)
            helpers.push_back({ "127.0.0.1", port });
        relay = std::make_unique<RequestRelay>(helpers.size(), 0, makeHttpRelayExchange(executor, helpers), clock);
        endpoints = std::make_unique<SiteEndpoints>(SiteEndpointsOptions { HostId("cut-off"), 1 }, cutOffDirectory, protocol, cutOffForwarder, intake, reader, *streamOrigins, metrics, clock, relay.get());
    }

    /// Sets the ports at which the cut-off host expects the targets.
    void expectTargetsAt(std::uint16_t firstPort, std::uint16_t secondPort)
    {
        const auto record = [](std::uint16_t port) { return "ledger 127.0.0.1:" + std::to_string(port) + " ready draft 1 100 r1"; };
        onWorker([&] {
            cutOffStore.put("targets/first", record(firstPort));
            cutOffStore.put("targets/second", record(secondPort));
        });
    }

    Task<void> serve(std::string path, std::string id, std::shared_ptr<RecordingResponder> responder)
    {
        ServerRequest request;
        request.method = "POST";
        request.path = std::move(path);
        request.fields = { { "Host", "app.example" }, { "Id", std::move(id) } };
        request.receivedAt = clock.now();
        co_await endpoints->serve(request, *responder);
    }

    HttpResponse call(const std::string& path, const std::string& id)
    {
        const auto responder = std::make_shared<RecordingResponder>();
        boost::asio::co_spawn(executor, serve(path, id, responder), boost::asio::use_future).get();
        return responder->response;
    }

    /// Sends a request; while a target runs it, the connections to all targets break, and new ones are refused from then on.
    HttpResponse callAndBreakConnections(const std::string& path, const std::string& id)
    {
        auto firstPath = std::make_unique<TcpRelay>(first.port());
        auto secondPath = std::make_unique<TcpRelay>(second.port());
        expectTargetsAt(firstPath->port(), secondPath->port());
        first.answerDelay = 300ms;
        second.answerDelay = 300ms;
        const auto responder = std::make_shared<RecordingResponder>();
        auto served = boost::asio::co_spawn(executor, serve(path, id, responder), boost::asio::use_future);
        while (requests() == 0)
            std::this_thread::sleep_for(5ms);
        // The connection of the request last, so that no target can be reached when it breaks.
        auto& carrying = first.requests > 0 ? firstPath : secondPath;
        auto& other = first.requests > 0 ? secondPath : firstPath;
        other.reset();
        carrying.reset();
        served.get();
        return responder->response;
    }

    unsigned requests() const { return first.requests + second.requests; }
    bool isCutOff()
    {
        bool result = false;
        onWorker([&] { result = reachability->isCutOff(); });
        return result;
    }
};

} // namespace

TEST_CASE_METHOD(CutOffHostFixture, "host that no target answers, requests go through another host and run once each")
{
    const auto port = GENERATE(true, false) ? silent.port() : refusingPort();
    expectTargetsAt(port, port);
    CHECK(call("/lookup/1", "a").status == 200);
    CHECK(isCutOff());
    for (int i = 0; i < 10; ++i) {
        CHECK(call("/lookup/1", "lookup-" + std::to_string(i)).status == 200);
        CHECK(call("/post/1", "post-" + std::to_string(i)).status == 200);
    }
    CHECK(requests() == 21);
}

TEST_CASE_METHOD(CutOffHostFixture, "host that no target answers, passes on the time that is left and reports no crash")
{
    expectTargetsAt(silent.port(), silent.port());
    CHECK(call("/lookup/1", "a").status == 200);
    const auto remaining = std::max(first.remaining.load(), second.remaining.load());
    // The route's timeout is 10 s; the attempt and the probes took a part of it.
    CHECK(remaining <= 10000 - 100);
    CHECK(remaining > 5000);
    CHECK(cutOffCrashGuard->knownSuspects().empty());
    CHECK_FALSE(cutOffCrashGuard->hasSuspects());
}

TEST_CASE_METHOD(CutOffHostFixture, "host whose connections to all targets break and are then refused, takes no target for crashed and has the request run elsewhere")
{
    const auto response = callAndBreakConnections("/lookup/1", "a");
    CHECK(isCutOff());
    CHECK(response.status == 200);
    CHECK_FALSE(cutOffCrashGuard->hasSuspects());
    CHECK(cutOffStore.entries().size() == 3);
}

TEST_CASE_METHOD(CutOffHostFixture, "host that is cut off during an attempt, leaves only the remaining attempts to the helper")
{
    std::vector<unsigned> attemptsLeft;
    RequestRelay recording(
        1, 0, [&](std::size_t, RelayRequest request, std::shared_ptr<HttpCancellation>) -> Task<Result<RelayReply>> {
        attemptsLeft.push_back(request.attemptsLeft);
        RelayReply reply;
        reply.hasForwarded = true;
        co_return reply; }, clock);
    endpoints = std::make_unique<SiteEndpoints>(SiteEndpointsOptions { HostId("cut-off"), 1 }, cutOffDirectory, protocol, cutOffForwarder, intake, reader, *streamOrigins, metrics, clock, &recording);
    (void)callAndBreakConnections("/lookup/1", "a");
    CHECK(call("/lookup/1", "b").status == 503);
    // The route permits three attempts.
    CHECK(attemptsLeft == std::vector<unsigned> { 2, 3 });
}

TEST_CASE_METHOD(CutOffHostFixture, "helper whose targets fail, sends the request to no more targets than the sender has left")
{
    first.isSpoilingAnswers = true;
    second.isSpoilingAnswers = true;
    const auto exchange = makeHttpRelayExchange(executor, { { "127.0.0.1", helper.port() } });
    const auto ask = [&](RelayRequest request) -> Task<std::optional<RelayReply>> {
        auto reply = co_await exchange(0, std::move(request), nullptr);
        if (!reply)
            co_return std::nullopt;
        co_return std::move(reply.value());
    };
    for (const unsigned attemptsLeft : { 1U, 2U }) {
        const auto before = requests();
        RelayRequest request;
        request.message = { "POST", "/lookup/1", { { "Host", "app.example" }, { "Id", "a" } }, "", false };
        request.pool = PoolName("ledger");
        request.remainingTime = 5s;
        request.attemptsLeft = attemptsLeft;
        const auto reply = boost::asio::co_spawn(executor, ask(request), boost::asio::use_future).get();
        REQUIRE(reply);
        CHECK(reply->hasForwarded);
        CHECK(reply->outcome.state == ForwardState::Unknown);
        CHECK(reply->outcome.attempts == attemptsLeft);
        CHECK(requests() == before + attemptsLeft);
    }
}

TEST_CASE_METHOD(CutOffHostFixture, "target that has failed while another accepts connections, requests do not go through another host")
{
    expectTargetsAt(refusingPort(), second.port());
    for (int i = 0; i < 10; ++i)
        CHECK(call("/lookup/1", "lookup-" + std::to_string(i)).status == 200);
    CHECK_FALSE(isCutOff());
    CHECK(first.requests == 0);
}

TEST_CASE_METHOD(CutOffHostFixture, "host whose connection to the targets is restored, sends requests itself again")
{
    expectTargetsAt(refusingPort(), refusingPort());
    CHECK(call("/lookup/1", "a").status == 200);
    expectTargetsAt(first.port(), second.port());
    for (int i = 0; i < 100 && isCutOff(); ++i)
        std::this_thread::sleep_for(50ms);
    CHECK_FALSE(isCutOff());
    useHelpers({});
    CHECK(call("/post/1", "b").status == 200);
}

TEST_CASE_METHOD(CutOffHostFixture, "host that no target answers, first helper is gone and second is cut off too, the third forwards the request")
{
    const auto secondHelperReachability = std::make_shared<TargetReachability>(executor, cutOffDirectory, makeProbe(cutOffClients), clock, 3);
    RelayEndpoint secondEndpoint { directory, protocol, forwarder, *secondHelperReachability };
    HttpListener secondHelper { workers, {}, [&](auto& request, auto& responder) { return secondEndpoint.serve(request, responder); } };
    REQUIRE(secondHelper.start());
    expectTargetsAt(refusingPort(), refusingPort());
    REQUIRE(boost::asio::co_spawn(executor, secondHelperReachability->examineFailure(TargetId("first")), boost::asio::use_future).get());
    useHelpers({ refusingPort(), secondHelper.port(), helper.port() });
    CHECK(call("/post/1", "a").status == 200);
    CHECK(requests() == 1);
}

TEST_CASE_METHOD(CutOffHostFixture, "host that no target answers and no helper replies, refuses a request that must run once as not run")
{
    expectTargetsAt(refusingPort(), refusingPort());
    useHelpers({ refusingPort() });
    const auto response = call("/post/1", "a");
    CHECK(response.status == 503);
    CHECK_FALSE(response.field("Retry-After").empty());
    CHECK(requests() == 0);
}

TEST_CASE_METHOD(CutOffHostFixture, "helper with an older configuration or about to stop, leaves requests to others")
{
    expectTargetsAt(refusingPort(), refusingPort());
    onWorker([this] { cutOffStore.put("site/configuration", std::string("6").append(std::string(configuration).substr(1))); });
    CHECK(call("/post/1", "a").status == 503);
    onWorker([this] { store.put("site/configuration", std::string("6").append(std::string(configuration).substr(1))); });
    CHECK(call("/post/1", "b").status == 200);
    onWorker([this] { relayEndpoint.beginStopping(); });
    CHECK(call("/post/1", "c").status == 503);
    CHECK(requests() == 1);
}

TEST_CASE_METHOD(CutOffHostFixture, "caller that leaves while another host forwards its request, ends the work of the target")
{
    expectTargetsAt(refusingPort(), refusingPort());
    CHECK(call("/lookup/1", "a").status == 200);
    first.answerDelay = 1500ms;
    second.answerDelay = 1500ms;
    const auto responder = std::make_shared<RecordingResponder>();
    auto served = boost::asio::co_spawn(executor, serve("/post/1", "b", responder), boost::asio::use_future);
    while (requests() < 2)
        std::this_thread::sleep_for(5ms);
    onWorker([&] { responder->disconnect(); });
    for (int i = 0; i < 100 && first.abandoned + second.abandoned == 0; ++i)
        std::this_thread::sleep_for(10ms);
    CHECK(first.abandoned + second.abandoned == 1);
    served.get();
    // The targets use the fixture until they have answered.
    std::this_thread::sleep_for(1500ms);
}

TEST_CASE_METHOD(CutOffHostFixture, "helper that is lost while it forwards a request that must run once, leaves the request's run unknown")
{
    unsigned exchanges = 0;
    RequestRelay lost(
        2, 0, [&](std::size_t, RelayRequest, std::shared_ptr<HttpCancellation>) -> Task<Result<RelayReply>> {
        ++exchanges;
        co_return failure(ErrorCode::OutcomeUnknown, "end of stream"); }, clock);
    endpoints = std::make_unique<SiteEndpoints>(SiteEndpointsOptions { HostId("cut-off"), 1 }, cutOffDirectory, protocol, cutOffForwarder, intake, reader, *streamOrigins, metrics, clock, &lost);
    expectTargetsAt(refusingPort(), refusingPort());
    CHECK(call("/post/1", "a").status == 502);
    CHECK(exchanges == 1);
}

TEST_CASE("relay messages decode to what was encoded, with bytes of any value")
{
    RelayRequest request;
    request.message = { "POST", "/a?b", { { "X", "\xff\xfe" } }, std::string("\0\x80", 2), false };
    request.pool = PoolName("ledger");
    request.configurationVersion = 7;
    request.remainingTime = 640ms;
    request.attemptsLeft = 2;
    request.requiredRelease = SoftwareRelease { PoolName("ledger"), SoftwareVersion("r1") };
    const auto decoded = decodeRelayRequest(encodeRelayRequest(request));
    REQUIRE(decoded);
    CHECK(decoded.value().message.fields == request.message.fields);
    CHECK(decoded.value().message.body == request.message.body);
    CHECK(decoded.value().remainingTime == 640ms);
    CHECK(decoded.value().requiredRelease->isCompatibleWith(*request.requiredRelease));
    RelayReply reply;
    reply.hasForwarded = true;
    reply.outcome.state = ForwardState::Answered;
    reply.outcome.answer = { 200, { { "Id", "a" } }, "\xff" };
    reply.outcome.attempts = 2;
    const auto decodedReply = decodeRelayReply(encodeRelayReply(reply));
    REQUIRE(decodedReply);
    CHECK(decodedReply.value().outcome.answer.body == "\xff");
    CHECK(decodedReply.value().outcome.state == ForwardState::Answered);
    CHECK(decodeRelayRequest("odd").error().code == ErrorCode::RecordInvalid);
    CHECK(decodeRelayReply("\x60").error().code == ErrorCode::RecordInvalid);
}
