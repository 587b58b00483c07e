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
    /// Exchange of proofs.
    Proving,
    Open,
};

struct PeerConnectorCounters {
    std::uint64_t linksOpened = 0;
    std::uint64_t linksLost = 0;
    std::uint64_t silences = 0;
    std::uint64_t answersDropped = 0;
};

/// @brief Opens the link when there is a request, replaces it when it is silent, closes it when it is idle.
class PeerConnector {
public:
    PeerConnector(PeerClient&, const PeerLinkSettings&, std::string hostId);
    ~PeerConnector();
    PeerConnector(const PeerConnector&) = delete;
    PeerConnector& operator=(const PeerConnector&) = delete;

    /// @brief Another address replaces the link; the requests go on over the next.
    void setAddress(const std::string& address, std::uint16_t port);
    void request(PeerRequest, TimePoint deadline, PeerReply, TimePoint now);
    void tick(TimePoint now);
    /// @brief Ends all requests and the link.
    void close(const PeerFailure&);

    PeerLinkState state() const { return m_state; }
    std::size_t outstandingCount() const { return m_outstanding.size(); }
    const PeerConnectorCounters& counters() const { return m_counters; }
    std::string address() const { return m_address + ":" + std::to_string(m_port); }

private:
    /// One connection; its handlers do nothing once the owner has let it go.
    struct Attempt {
        PeerConnector* owner = nullptr;
        PeerConnection connection;
    };

    void connect(TimePoint now);
    void installHandlers(const std::shared_ptr<Attempt>&);
    void opened();
    void failed();
    void received(const std::string& bytes);
    bool answerChallenge(const PeerMessage&);
    bool acceptWelcome(const PeerMessage&);
    void handleAnswer(const PeerMessage&);
    void heard();
    void checkLife(TimePoint now);
    void lose(TimePoint now, const PeerFailure&, bool isHostGone);
    void releaseAttempt();
    void writeRequest(std::uint64_t id, const PeerRequest&);
    OutstandingRequests::Write writer();

    PeerClient& m_client;
    PeerLinkSettings m_settings;
    std::string m_hostId;
    std::string m_address;
    std::uint16_t m_port = 0;

    PeerLinkState m_state = PeerLinkState::Closed;
    std::shared_ptr<Attempt> m_attempt;
    PeerOpening m_opening;
    std::uint64_t m_peerIncarnation = 0;
    OutstandingRequests m_outstanding;
    PeerConnectorCounters m_counters;

    TimePoint m_attemptStarted;
    TimePoint m_nextAttempt;
    std::chrono::milliseconds m_retryDelay;
    TimePoint m_lastHeard;
    TimePoint m_lastPing;
    TimePoint m_waitingSince;
    TimePoint m_lastUsed;
};

} // namespace cicadalb::detail
