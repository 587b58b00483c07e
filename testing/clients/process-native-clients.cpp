#include "Crowd.h"
#include "Deployment.h"
#include "ProcessUsage.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

constexpr std::size_t kibibyte = std::size_t { 1 } << 10U;
constexpr std::size_t mebibyte = std::size_t { 1 } << 20U;
constexpr std::size_t crowdSize = 24;
/// Memory of a node, from the capacity goals.
constexpr std::size_t memoryBytes = 128 * mebibyte;
constexpr std::size_t maximumBodyBytes = 8 * mebibyte;
constexpr std::size_t partBytes = 64 * kibibyte;
constexpr std::size_t partsOfLargestBody = maximumBodyBytes / partBytes;
constexpr std::uint64_t endlessParts = 4096;

std::string requestHead(const std::string& fields)
{
    return "POST /ledger/lookups HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer clerk-token\r\n" + fields + "\r\n";
}

ClientScript endlessTrailer()
{
    std::string lines;
    while (lines.size() < partBytes)
        lines += "X-Trailer: " + std::string(kibibyte, 'a') + "\r\n";
    return { requestHead("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\n", lines, endlessParts };
}

ClientScript largestBody(bool isCutShort)
{
    return { requestHead("Content-Length: " + std::to_string(maximumBodyBytes) + "\r\n"), std::string(partBytes, 'a'), partsOfLargestBody - 1, std::string(partBytes - (isCutShort ? 1 : 0), 'a') };
}

struct NativeClientsFixture {
    Host& host() { return *deployment.hosts.front(); }
    bool isOverMemory() { return peakMemory(host().process->id()).value_or(memoryBytes + 1) > memoryBytes; }

    void sendFrom(Crowd& crowd)
    {
        crowd.send([this] { return isOverMemory(); });
    }

    void checkHost()
    {
        const auto peak = settledMemory(host().process->id());
        REQUIRE(peak);
        INFO("peak " << *peak / mebibyte << " MiB of " << memoryBytes / mebibyte << " MiB, " << openDescriptors(host().process->id()) << " descriptors");
        CHECK(*peak <= memoryBytes);
        CHECK(openDescriptors(host().process->id()) <= maximumDescriptors);
        CHECK(answersOrdinaryRequest());
    }

    bool answersOrdinaryRequest()
    {
        for (unsigned attempt = 0; attempt < maximumAttempts; ++attempt) {
            const auto response = deployment.call(*host().callerClient, Deployment::lookupRequest("ordinary-" + std::to_string(attempt)));
            if (response && response.value().status == 200)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return false;
    }

    static constexpr std::size_t maximumDescriptors = 4000;
    static constexpr unsigned maximumAttempts = 20;
    Deployment deployment { { 1, 1, maximumBodyBytes } };
};

} // namespace

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, callers, trailers without end, host stays within its memory")
{
    Crowd crowd(host().callerPort, 4, endlessTrailer());
    sendFrom(crowd);
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, callers, bodies cut short, host stays within its memory")
{
    Crowd crowd(host().callerPort, crowdSize, largestBody(true));
    sendFrom(crowd);
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, callers, whole bodies at once, host stays within its memory")
{
    Crowd crowd(host().callerPort, crowdSize, largestBody(false));
    sendFrom(crowd);
    crowd.readAnswers([this] { return isOverMemory(); });
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, callers, step with millions of values, host stays within its memory")
{
    std::string values;
    while (values.size() < partBytes)
        values += "[],";
    const auto length = std::to_string(10 + (partsOfLargestBody - 1) * values.size() + 4);
    Crowd crowd(host().callerPort, 1, { "PUT /v1/trainers/invoice-draft/steps/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer trainer-token\r\nContent-Length: " + length + "\r\n\r\n{\"items\":[", values, partsOfLargestBody - 1, "[]]}" });
    sendFrom(crowd);
    crowd.readAnswers([this] { return isOverMemory(); });
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, admin, trailers without end, host stays within its memory")
{
    Crowd crowd(host().adminPort, 4, endlessTrailer());
    sendFrom(crowd);
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, admin, many bodies cut short, host stays within its memory")
{
    constexpr std::size_t clients = 200;
    constexpr std::size_t parts = mebibyte / partBytes;
    Crowd crowd(host().adminPort, clients, { requestHead("Content-Length: " + std::to_string(mebibyte) + "\r\n"), std::string(partBytes, 'a'), parts - 1, std::string(partBytes - 1, 'a') });
    sendFrom(crowd);
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, peers, handshakes without end, host stays within its memory")
{
    constexpr std::size_t clients = 1000;
    Crowd crowd(host().peerPort, clients, { "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nX-Long: ", std::string(kibibyte, 'a'), 64 });
    sendFrom(crowd);
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, peers, handshakes that stop short on very many connections, host stays within its memory")
{
    constexpr std::size_t clients = 6000;
    Crowd crowd(host().peerPort, clients, { "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nX-Long: " + std::string(15000, 'a') });
    sendFrom(crowd);
    checkHost();
}

TEST_CASE_METHOD(NativeClientsFixture, "clients: native, peers, messages without end before the proof, host stays within its memory")
{
    // A binary frame of 1 TiB.
    const std::string frame("\x82\xff\x00\x00\x01\x00\x00\x00\x00\x00mask", 14);
    Crowd crowd(host().peerPort, crowdSize, { "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n" + frame, std::string(partBytes, 'a'), endlessParts / crowdSize });
    sendFrom(crowd);
    checkHost();
}
