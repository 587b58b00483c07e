#include "cicadalb/transport/EngineHttpClient.h"

#include "cicadalb/services/EndlessServer.h"

#include <catch2/catch.hpp>

#include <future>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// An engine whose answers never end.
struct EndlessEngineFixture {
    WorkerPool workers { 1 };
    EndlessServer server { workers.context(0) };
    TargetClients clients { workers };
    EngineHttpClient engines { clients, 0, [this](const TargetId&) { return std::optional(Endpoint { "127.0.0.1", server.port() }); } };

    ~EndlessEngineFixture() { workers.stop(); }

    Task<void> generate(std::promise<bool>& hasFailed)
    {
        // Local variables, since GCC 12 destroys an aggregate temporary in a co_await expression twice.
        TargetId target("a");
        GenerationRequest request;
        const auto generation = co_await engines.generate(std::move(target), std::move(request), std::chrono::steady_clock::now() + 120s, {}, {});
        hasFailed.set_value(!generation && generation.error().code == ErrorCode::OutcomeUnknown);
    }

    /// Starts a generation with a deadline far beyond the time that this waits. @return whether it has failed with OutcomeUnknown
    bool generationFailsSoon()
    {
        std::promise<bool> hasFailed;
        auto failed = hasFailed.get_future();
        boost::asio::co_spawn(workers.context(0), generate(hasFailed), boost::asio::detached);
        return failed.wait_for(15s) == std::future_status::ready && failed.get();
    }
};

constexpr std::string_view head = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";

} // namespace

TEST_CASE_METHOD(EndlessEngineFixture, "engine client, generation that is no JSON and has no end, fails and closes the connection")
{
    server.begin = head;
    server.filler = std::string(65536, 'a');
    CHECK(generationFailsSoon());
}

TEST_CASE_METHOD(EndlessEngineFixture, "engine client, empty lines without end, fails and closes the connection")
{
    server.begin = head;
    server.filler = std::string(65536, '\n');
    CHECK(generationFailsSoon());
}

TEST_CASE_METHOD(EndlessEngineFixture, "engine client, error body without end, fails and closes the connection")
{
    server.begin = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 99999999999\r\n\r\n";
    server.filler = std::string(65536, 'a');
    CHECK(generationFailsSoon());
}
