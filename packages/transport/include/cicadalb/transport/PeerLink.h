#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Requests and answers between hosts, as CBOR messages over websockets. Uses neither coroutines nor C++20, because the sources
/// that include the websocket library are compiled as C++17.

namespace cicadalb {

/// @brief The operation that a request to another host names.
enum class PeerRequestKind : std::uint8_t {
    SubmitStep,
    PullBatch,
    FetchConfiguration,
    State,
};

/// @brief A request to another host. @p body is a JSON value in CBOR; @p kind defines its members (docs/PROTOCOLS.md).
struct PeerRequest {
    PeerRequestKind kind = PeerRequestKind::State;
    std::vector<std::uint8_t> body;
};

/// @brief How a request to another host ended.
enum class PeerOutcome : std::uint8_t {
    Answered,
    /// The request was never written to a link, or the other host refused to run it.
    NotSent,
    /// The request was sent and may have been run, but its result is not known.
    Unknown,
};

struct PeerAnswer {
    PeerOutcome outcome = PeerOutcome::Unknown;
    /// Number of an ErrorCode, or 0 for success.
    std::uint16_t error = 0;
    std::string message;
    std::vector<std::uint8_t> body;
};

/// @brief Receives the answer to one request. Called exactly once, from any thread.
using PeerReplyCallback = std::function<void(PeerAnswer)>;
/// @brief Handles a request from an authenticated host.
using PeerRequestHandler = std::function<void(const std::string& fromHost, PeerRequest, PeerReplyCallback)>;

struct PeerLinkSettings {
    std::string hostId;
    std::uint64_t incarnation = 0;
    std::string listenAddress;
    std::uint16_t listenPort = 0;
    /// Shared secret; each end proves by HMAC that it knows it.
    std::string secret;
    /// A link on which nothing is received for this long while requests are outstanding is replaced. Also the time limit for opening a link.
    std::uint32_t livenessTimeoutMilliseconds = 1500;
    std::uint32_t pingIntervalMilliseconds = 500;
};

/// @brief All links between this host and other hosts. Runs on its own thread; thread-safe.
class PeerLinks {
public:
    PeerLinks(PeerLinkSettings, PeerRequestHandler);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /// @brief Starts to listen. @return false, with a message in @p error, if the port cannot be opened
    bool start(std::string& error);
    /// @brief The listening port; the port that was assigned if the settings say 0.
    std::uint16_t port() const;
    /// @brief Sets the address of a host. A changed address replaces the link.
    void setPeer(const std::string& hostId, const std::string& address, std::uint16_t port);
    void removePeer(const std::string& hostId);
    /// @brief Sends a request; @p reply is called once, at the latest after the timeout. If the link is lost, the request is sent
    /// again on the next link under the same id, and the other host runs it only once. If the other host
    /// was restarted after the request had been sent, the outcome is Unknown.
    void request(const std::string& hostId, PeerRequest, std::uint32_t timeoutMilliseconds, PeerReplyCallback reply);
    /// @brief State of the links as JSON text, for the /state page of the admin port.
    std::string state() const;
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
