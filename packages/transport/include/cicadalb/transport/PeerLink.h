#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Requests and answers between hosts over websockets with CBOR. Free of coroutines and C++20, since the websocket library's
/// translation units are C++17.

namespace cicadalb {

/// @brief What a message between hosts asks for.
enum class PeerRequestKind : std::uint8_t {
    SubmitStep,
    PullBatch,
    FetchConfiguration,
    State,
};

/// @brief A request to another host. @p body is CBOR of a JSON value that the kind defines (docs/PROTOCOLS.md).
struct PeerRequest {
    PeerRequestKind kind = PeerRequestKind::State;
    std::vector<std::uint8_t> body;
};

/// @brief How a request to another host ended.
enum class PeerOutcome : std::uint8_t {
    Answered,
    /// It was never written to a link.
    NotSent,
    /// It may have been handled; no answer came by the deadline.
    Unknown,
};

struct PeerAnswer {
    PeerOutcome outcome = PeerOutcome::Unknown;
    /// 0 or an ErrorCode's number.
    std::uint16_t error = 0;
    std::string message;
    std::vector<std::uint8_t> body;
};

/// @brief Answers one request; called once, from any thread.
using PeerReply = std::function<void(PeerAnswer)>;
/// @brief Handles a request of an authenticated host.
using PeerHandler = std::function<void(const std::string& fromHost, PeerRequest, PeerReply)>;

struct PeerLinkSettings {
    std::string hostId;
    std::uint64_t incarnation = 0;
    std::string listenAddress;
    std::uint16_t listenPort = 0;
    /// Shared secret that both ends prove by HMAC.
    std::string secret;
    /// A link that shows no life for so long is replaced.
    std::uint32_t silenceMilliseconds = 1500;
    std::uint32_t pingMilliseconds = 500;
};

/// @brief All links of one host. Runs on its own thread; thread-safe.
class PeerLinks {
public:
    PeerLinks(PeerLinkSettings, PeerHandler);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /// @brief Starts to listen. @return false and a message if the port cannot be had
    bool start(std::string& error);
    /// @brief Port in use, also if 0 was asked for.
    std::uint16_t port() const;
    /// @brief Names the address of a host; a changed address replaces the link.
    void setPeer(const std::string& hostId, const std::string& address, std::uint16_t port);
    void removePeer(const std::string& hostId);
    /// @brief Sends a request; @p reply is called once, by the timeout at the latest. The request survives a link that goes silent:
    /// it is sent again with its id on the next link, and the other host runs it once.
    void request(const std::string& hostId, PeerRequest, std::uint32_t timeoutMilliseconds, PeerReply reply);
    /// @brief JSON text of the links' state for the dump.
    std::string state() const;
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
