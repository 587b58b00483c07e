#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadalb::testing {

/// @brief Bytes that a client sends: the head, the part as often as stated, then the end.
struct ClientScript {
    std::string head;
    std::string part = {};
    std::uint64_t partCount = 0;
    std::string end = {};
    /// Whether the client reads what it is sent.
    bool isReading = true;
};

/// @brief Clients of a loopback port that send the same bytes on a connection each, all at the same time, and keep their connections open.
class Crowd {
public:
    Crowd(std::uint16_t port, std::size_t clientCount, ClientScript);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// @brief Sends until each client has sent all or lost its connection, until nothing can be sent for a while, or until @p isOver returns true.
    void send(const std::function<bool()>& isOver);
    /// @brief Reads until each client has an answer's status or has lost its connection, until nothing arrives for a while, or until @p isOver returns true.
    void readAnswers(const std::function<bool()>& isOver);
    /// @brief Opens new connections in place of the lost ones.
    void reconnect();

    std::size_t openConnections() const;
    /// @brief Beginning of the answer that each client has received; empty for a client without one.
    std::vector<std::string> answers() const;

private:
    struct Client;

    void run(const std::function<bool()>& isOver, const std::function<bool(const Client&)>& isDone);

    std::uint16_t m_port;
    ClientScript m_script;
    std::vector<std::unique_ptr<Client>> m_clients;
};

} // namespace cicadalb::testing
