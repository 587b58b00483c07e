#pragma once

#include "PeerSocket.h"

#include "OutstandingRequests.h"
#include "PeerProof.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

/// @file
/// The link that this host opens to one other host. C++17, one thread.

namespace cicadalb::detail {

enum class PeerLinkState : std::uint8_t {
    Closed,
    /// TCP and websocket handshake.
    Connecting,
    /// Mutual authentication.
    Authenticating,
    Open,
};

struct PeerConnectorCounters {
    std::uint64_t linksOpened = 0;
    std::uint64_t linksLost = 0;
    std::uint64_t livenessTimeouts = 0;
    std::uint64_t answersDropped = 0;
};

/// @brief Opens the link when there is a request, replaces it after a liveness timeout, and closes it when it is idle.
class PeerConnector {
public:
    PeerConnector(PeerSocketClient&, const PeerLinkSettings&, std::string hostId);
    ~PeerConnector();
    PeerConnector(const PeerConnector&) = delete;
    PeerConnector& operator=(const PeerConnector&) = delete;

    /// @brief Sets the host's address. A changed address replaces the link; outstanding requests are sent over the new one.
    void setAddress(const std::string& address, std::uint16_t port);
    void request(PeerRequest, TimePoint deadline, PeerReplyCallback, TimePoint now);
    void tick(TimePoint now);
    /// @brief Fails all outstanding requests and closes the link.
    void close(const PeerFailure&);

    PeerLinkState state() const { return m_state; }
    std::size_t outstandingCount() const { return m_outstanding.size(); }
    const PeerConnectorCounters& counters() const { return m_counters; }
    std::string address() const { return m_address + ":" + std::to_string(m_port); }

private:
    /// One connection. Its handlers share it and do nothing once the owner is null.
    struct Session {
        PeerConnector* owner = nullptr;
        PeerConnection connection;
    };

    void connect(TimePoint now);
    void installHandlers(const std::shared_ptr<Session>&);
    void handleOpen();
    void handleConnectionEnd();
    void handleMessage(const std::string& bytes);
    bool answerChallenge(const PeerMessage&);
    bool acceptWelcome(const PeerMessage&);
    void handleAnswer(const PeerMessage&);
    void updateLastReceived();
    void checkLiveness(TimePoint now);
    void handleLinkLoss(TimePoint now, const PeerFailure&, bool isHostGone);
    void releaseSession();
    void writeRequest(std::uint64_t id, const PeerRequest&);
    OutstandingRequests::Writer requestWriter();

    PeerSocketClient& m_client;
    PeerLinkSettings m_settings;
    std::string m_hostId;
    std::string m_address;
    std::uint16_t m_port = 0;

    PeerLinkState m_state = PeerLinkState::Closed;
    std::shared_ptr<Session> m_session;
    PeerHandshake m_handshake;
    std::uint64_t m_peerIncarnation = 0;
    OutstandingRequests m_outstanding;
    PeerConnectorCounters m_counters;

    TimePoint m_connectStartTime;
    TimePoint m_nextConnectTime;
    std::chrono::milliseconds m_retryDelay;
    TimePoint m_lastReceived;
    TimePoint m_lastPing;
    TimePoint m_outstandingSince;
    TimePoint m_lastUsed;
};

} // namespace cicadalb::detail
