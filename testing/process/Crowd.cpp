#include "Crowd.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cicadalb::testing {

namespace {

    /// Time without progress after which a host is taken to have stopped reading or answering.
    constexpr std::chrono::milliseconds quietTime { 3000 };
    constexpr int pollMilliseconds = 20;
    constexpr std::size_t maximumAnswerBytes = 4096;

    int connectTo(std::uint16_t port, bool isReading)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(socket >= 0);
        // Otherwise the kernel takes a whole answer for the client.
        const int smallestBuffer = 1;
        if (!isReading)
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &smallestBuffer, sizeof(smallestBuffer));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            ::close(socket);
            return -1;
        }
        ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
        return socket;
    }

    bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

} // namespace

struct Crowd::Client {
    int socket = -1;
    std::uint64_t nextPiece = 0;
    std::size_t sentOfPiece = 0;
    std::string answer;

    ~Client() { disconnect(); }

    void disconnect()
    {
        if (socket >= 0)
            ::close(socket);
        socket = -1;
    }

    static std::uint64_t pieceCount(const ClientScript& script) { return script.partCount + 2; }

    const std::string& piece(const ClientScript& script) const
    {
        if (nextPiece == 0)
            return script.head;
        return nextPiece <= script.partCount ? script.part : script.end;
    }

    bool hasSentAll(const ClientScript& script) const { return nextPiece >= pieceCount(script); }

    /// @return whether bytes were sent or the connection was lost
    bool send(const ClientScript& script)
    {
        bool hasProgress = false;
        while (!hasSentAll(script)) {
            const auto& bytes = piece(script);
            if (sentOfPiece == bytes.size()) {
                ++nextPiece;
                sentOfPiece = 0;
                continue;
            }
            const auto length = ::send(socket, bytes.data() + sentOfPiece, bytes.size() - sentOfPiece, MSG_NOSIGNAL);
            if (length < 0 && wouldBlock())
                return hasProgress;
            hasProgress = true;
            if (length < 0) {
                disconnect();
                return true;
            }
            sentOfPiece += static_cast<std::size_t>(length);
            // Lets the other clients send as well.
            if (length > 0 && sentOfPiece == bytes.size())
                return true;
        }
        return hasProgress;
    }

    /// @return whether bytes were received or the connection was lost
    bool receive()
    {
        char bytes[16384];
        const auto length = ::recv(socket, bytes, sizeof(bytes), 0);
        if (length < 0 && wouldBlock())
            return false;
        if (length <= 0) {
            disconnect();
            return true;
        }
        answer.append(bytes, std::min(static_cast<std::size_t>(length), maximumAnswerBytes - std::min(maximumAnswerBytes, answer.size())));
        return true;
    }
};

Crowd::Crowd(std::uint16_t port, std::size_t clientCount, ClientScript script)
    : m_port(port)
    , m_script(std::move(script))
{
    rlimit descriptors {};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    for (std::size_t i = 0; i < clientCount; ++i)
        m_clients.push_back(std::make_unique<Client>());
    reconnect();
}

Crowd::~Crowd() = default;

void Crowd::reconnect()
{
    for (auto& client : m_clients) {
        if (client->socket >= 0)
            continue;
        client = std::make_unique<Client>();
        client->socket = connectTo(m_port, m_script.isReading);
    }
}

void Crowd::send(const std::function<bool()>& isOver)
{
    run(isOver, [this](const Client& client) { return client.hasSentAll(m_script); });
}

void Crowd::readAnswers(const std::function<bool()>& isOver)
{
    run(isOver, [](const Client& client) { return !client.answer.empty(); });
}

void Crowd::run(const std::function<bool()>& isOver, const std::function<bool(const Client&)>& isDone)
{
    auto lastProgressAt = std::chrono::steady_clock::now();
    while (!isOver() && std::chrono::steady_clock::now() - lastProgressAt < quietTime) {
        std::vector<pollfd> sockets;
        std::vector<Client*> clients;
        bool areAllDone = true;
        for (const auto& client : m_clients) {
            if (client->socket < 0)
                continue;
            areAllDone = areAllDone && isDone(*client);
            const auto events = static_cast<short>((m_script.isReading ? POLLIN : 0) | (client->hasSentAll(m_script) ? 0 : POLLOUT));
            sockets.push_back({ client->socket, events, 0 });
            clients.push_back(client.get());
        }
        if (areAllDone || ::poll(sockets.data(), sockets.size(), pollMilliseconds) < 0)
            return;
        bool hasProgress = false;
        for (std::size_t i = 0; i < clients.size(); ++i) {
            auto& client = *clients[i];
            if (m_script.isReading && (sockets[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0)
                hasProgress = client.receive() || hasProgress;
            else if (!m_script.isReading && (sockets[i].revents & POLLERR) != 0)
                client.disconnect();
            if (client.socket >= 0 && (sockets[i].revents & POLLOUT) != 0)
                hasProgress = client.send(m_script) || hasProgress;
        }
        if (hasProgress)
            lastProgressAt = std::chrono::steady_clock::now();
    }
}

std::size_t Crowd::openConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_clients.begin(), m_clients.end(), [](const auto& client) { return client->socket >= 0; }));
}

std::vector<std::string> Crowd::answers() const
{
    std::vector<std::string> answers;
    answers.reserve(m_clients.size());
    for (const auto& client : m_clients)
        answers.push_back(client->answer);
    return answers;
}

} // namespace cicadalb::testing
