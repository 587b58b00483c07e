#include "cicadalb/services/DocumentMemory.h"
#include "cicadalb/services/EndlessServer.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/services/MessageMemory.h"
#include "cicadalb/services/ResettingServer.h"
#include "cicadalb/services/RunTask.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <fstream>
#include <limits>
#include <list>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1 } << 20U;

/// Resident memory of this process in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t pages = 0;
    std::size_t resident = 0;
    file >> pages >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Several servers whose answers never end, and one that answers with a short body, all called by the same process.
struct EndlessAnswersFixture {
    static constexpr std::size_t servers = 16;
    static constexpr std::size_t capacity = 16 * mebibyte;
    /// Buffers of connections and sockets, and copies of parts, beside the bodies.
    static constexpr std::size_t allowance = 32 * mebibyte;

    boost::asio::io_context context;
    std::list<EndlessServer> endless;
    ResettingServer sound { context };
    std::list<HttpClient> clients;
    HttpClient soundClient { context.get_executor(), Endpoint { "127.0.0.1", sound.port() } };
    std::vector<Pending<Result<HttpResponse>>> calls;
    std::size_t highest = 0;

    EndlessAnswersFixture()
    {
        MessageMemory::ofProcess()->setCapacity(capacity);
        sound.body = std::string(10000, 's');
        sound.answersPerConnection = std::numeric_limits<int>::max();
    }

    ~EndlessAnswersFixture() { MessageMemory::ofProcess()->setCapacity(MessageMemory::defaultCapacity); }

    void callAll(const std::string& begin)
    {
        const auto deadline = std::chrono::steady_clock::now() + 60s;
        for (std::size_t i = 0; i < servers; ++i) {
            auto& server = endless.emplace_back(context);
            server.begin = begin;
            server.filler = std::string(mebibyte / 16, 'a');
            auto& client = clients.emplace_back(context.get_executor(), Endpoint { "127.0.0.1", server.port() });
            calls.push_back(startTask(context.get_executor(), client.send({}, deadline)));
        }
    }

    /// Runs until all calls to the endless servers have ended; calls the sound server meanwhile. @return the number of its answers
    std::size_t answersOfSoundServer()
    {
        std::size_t answers = 0;
        const auto limit = std::chrono::steady_clock::now() + 20s;
        auto call = startTask(context.get_executor(), soundClient.send({}, limit));
        const auto isPending = [](const auto& pending) { return !pending->has_value(); };
        while ((std::any_of(calls.begin(), calls.end(), isPending) || answers == 0) && std::chrono::steady_clock::now() < limit) {
            context.restart();
            context.run_for(1ms);
            highest = std::max(highest, residentBytes());
            if (!call->has_value())
                continue;
            REQUIRE(call->value());
            ++answers;
            call = startTask(context.get_executor(), soundClient.send({}, limit));
        }
        CHECK(std::none_of(calls.begin(), calls.end(), isPending));
        return answers;
    }

    void checkMemory(const std::string& begin)
    {
        const auto before = residentBytes();
        callAll(begin);
        CHECK(answersOfSoundServer() > 0);
        CHECK(highest - before <= capacity + allowance);
        for (const auto& call : calls)
            CHECK_FALSE(call->value());
        CHECK(MessageMemory::ofProcess()->used() <= 2 * mebibyte);
    }
};

} // namespace

// Guards against several endless answers that take the memory of the process together, although each of them is limited.
TEST_CASE_METHOD(EndlessAnswersFixture, "HTTP clients, bodies without end on many connections at once, stay within the memory of all answers")
{
    checkMemory("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
}

TEST_CASE_METHOD(EndlessAnswersFixture, "HTTP clients, heads without end on many connections at once, stay within the memory of all answers")
{
    checkMemory("HTTP/1.1 200 OK\r\nX-Long: ");
}

TEST_CASE_METHOD(EndlessAnswersFixture, "HTTP client, answer that is kept by its reader, counts until it is given up")
{
    sound.body = std::string(3 * mebibyte, 's');
    auto call = startTask(context.get_executor(), soundClient.send({}, std::chrono::steady_clock::now() + 30s));
    while (!call->has_value() && context.run_one() > 0) { }
    REQUIRE(call->value());
    CHECK(MessageMemory::ofProcess()->used() >= 3 * mebibyte);
    call->reset();
    CHECK(MessageMemory::ofProcess()->used() < 3 * mebibyte);
}

TEST_CASE_METHOD(EndlessAnswersFixture, "HTTP client, answer longer than its request allows, is rejected")
{
    sound.body = std::string(2000, 's');
    for (const auto& [maximum, isAccepted] : { std::pair<std::size_t, bool>(1999, false), std::pair<std::size_t, bool>(2000, true), std::pair<std::size_t, bool>(0, true) }) {
        HttpRequest request;
        request.maximumAnswerBytes = maximum;
        auto call = startTask(context.get_executor(), soundClient.send(std::move(request), std::chrono::steady_clock::now() + 30s));
        while (!call->has_value() && context.run_one() > 0) { }
        CHECK(call->value().has_value() == isAccepted);
    }
}

TEST_CASE("answer memory, answers that grow and end in any order, is never exceeded and serves small answers")
{
    CHECK(rc::check([] {
        constexpr std::size_t capacity = 1000;
        const auto memory = std::make_shared<MessageMemory>(capacity);
        std::vector<std::pair<std::unique_ptr<MessageMemory::Share>, std::size_t>> shares;
        constexpr std::size_t answers = 8;
        shares.reserve(answers);
        for (std::size_t i = 0; i < answers; ++i)
            shares.emplace_back(std::make_unique<MessageMemory::Share>(memory), 0);
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            auto& [share, bytes] = shares[*rc::gen::inRange<std::size_t>(0, shares.size())];
            const auto wanted = *rc::gen::inRange<std::size_t>(0, 1200);
            if (share->resize(wanted))
                bytes = wanted;
            else
                RC_ASSERT(wanted > bytes);
            std::size_t sum = 0;
            for (const auto& entry : shares)
                sum += entry.second;
            RC_ASSERT(memory->used() == sum);
            RC_ASSERT(sum <= capacity);
        }
        // What is left when large answers have stopped growing is enough for a small one.
        MessageMemory::Share small(memory);
        RC_ASSERT(memory->used() > capacity - capacity / 10 || small.resize(capacity / 20));
        for (auto& [share, bytes] : shares)
            share.reset();
    }));
}

TEST_CASE("document memory, values that need few bytes of text, are counted one by one")
{
    constexpr std::size_t valueBytes = 128;
    CHECK(jsonDocumentBytes("[[],[],[]]") >= 4 * valueBytes);
    CHECK(jsonDocumentBytes(R"({"a":0,"b":{}})") >= 3 * valueBytes);
    CHECK(jsonDocumentBytes(R"("no other value")") < 2 * valueBytes);
    CHECK(cborDocumentBytes("\x83\x80\x80\x80") >= 4 * valueBytes);
    // A byte string is one value, whatever it holds.
    CHECK(cborDocumentBytes("\x44\x80\x80\x80\x80") < 2 * valueBytes);
}

TEST_CASE("document memory, random documents, is no less than what their values take")
{
    CHECK(rc::check([] {
        const auto members = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        nlohmann::json document = nlohmann::json::array();
        std::size_t values = 1;
        for (const auto member : members) {
            ++values;
            if (member == 0)
                document.push_back(nlohmann::json::array());
            else if (member == 1)
                document.push_back(nlohmann::json::object());
            else if (member == 2)
                document.push_back("a text, with a comma");
            else if (member == 3)
                document.push_back(17);
            else
                document = nlohmann::json::array({ std::move(document) });
        }
        constexpr std::size_t valueBytes = 128;
        RC_ASSERT(jsonDocumentBytes(document.dump()) >= values * valueBytes);
        const auto cbor = nlohmann::json::to_cbor(document);
        RC_ASSERT(cborDocumentBytes({ reinterpret_cast<const char*>(cbor.data()), cbor.size() }) >= values * valueBytes);
    }));
}

TEST_CASE("message memory, shares that are offered, are taken back in the order of their last progress and only once they have stalled")
{
    const auto memory = std::make_shared<MessageMemory>(10 * mebibyte);
    const TimePoint start {};
    std::vector<int> released;
    MessageMemory::Share first(memory);
    MessageMemory::Share second(memory);
    MessageMemory::Share third(memory);
    for (auto* share : { &first, &second, &third })
        REQUIRE(share->resize(mebibyte));
    first.offer([&] { released.push_back(1); }, start);
    second.offer([&] { released.push_back(2); }, start);
    third.offer([&] { released.push_back(3); }, start);
    first.noteProgress(start + 100ms, 3 * mebibyte);
    third.keep();
    CHECK_FALSE(memory->reclaim(mebibyte, start + MessageMemory::stallTime - 1ms));
    CHECK(memory->reclaim(mebibyte, start + MessageMemory::stallTime));
    CHECK(released == std::vector<int> { 2 });
    CHECK_FALSE(memory->reclaim(mebibyte, start + MessageMemory::stallTime));
    CHECK(memory->reclaim(3 * mebibyte, start + MessageMemory::stallTime + 100ms));
    CHECK(released == std::vector<int> { 2, 1 });
}

TEST_CASE("message memory, stalled sender that gives back enough, is the only one that is asked")
{
    const auto memory = std::make_shared<MessageMemory>(10 * mebibyte);
    const TimePoint start {};
    std::vector<int> released;
    MessageMemory::Share first(memory);
    MessageMemory::Share second(memory);
    first.offer([&] { released.push_back(1); }, start);
    second.offer([&] { released.push_back(2); }, start);
    first.noteProgress(start, 2 * mebibyte);
    second.noteProgress(start, 2 * mebibyte);
    CHECK(memory->reclaim(mebibyte, start + MessageMemory::stallTime));
    CHECK(released == std::vector<int> { 1 });
}
