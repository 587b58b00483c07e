#include "Deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

/// The body that a caller received, and whether the answer was whole.
struct ReceivedStream {
    std::string body;
    bool isWhole = false;
};

ReceivedStream streamDraft(const Host& host, const std::string& key)
{
    auto request = Deployment::draftRequest(key);
    request.fields.emplace_back("Accept", "application/x-ndjson");
    ReceivedStream received;
    HttpStreamHandler handler;
    handler.onPart = [&received](std::string_view part) -> Task<bool> {
        received.body += part;
        co_return true;
    };
    boost::asio::io_context context;
    HttpClient client(context.get_executor(), Endpoint { "127.0.0.1", host.callerPort });
    const auto receive = [&]() -> Task<void> {
        const auto answer = co_await client.stream(std::move(request), std::chrono::steady_clock::now() + waitTimeout, std::move(handler));
        received.isWhole = answer.has_value();
    };
    boost::asio::co_spawn(context, receive(), boost::asio::detached);
    context.run();
    return received;
}

} // namespace

// Issue 43, third report: the error of the next target was found in the middle of a stream that had broken off.
TEST_CASE("Draft is streamed to its caller and its engine breaks off in the middle, no other attempt is made and the stream ends with the generated lines")
{
    Deployment deployment { { 1, 1 } };
    deployment.control(*deployment.engine, { { "cut-answers", 1 } });
    const auto received = streamDraft(*deployment.hosts[0], "broken");
    CHECK_FALSE(received.isWhole);
    std::istringstream lines(received.body);
    unsigned count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        CAPTURE(line);
        REQUIRE(json.is_object());
        CHECK(json.contains("text"));
        CHECK(json.contains("tokens"));
    }
    CHECK(count > 0);
    const auto counters = deployment.control(*deployment.engine, nlohmann::json::object());
    CHECK(counters.at("started") == 1);
    CHECK(counters.at("refused") == 0);
}
