#pragma once

#include "PeerSocket.h"

#include "PeerProof.h"
#include "ReceivedRequests.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

/// @file
/// The links that other hosts open to this one. C++17, one thread.

namespace cicadalb::detail {

/// @brief Queues a function to run on the links' thread; discards it once the links are stopped. Thread-safe.
using LinkThreadPoster = std::function<void(std::function<void()>)>;

struct PeerListenerCounters {
    std::uint64_t proofsRefused = 0;
    std::uint64_t requestsRun = 0;
    std::uint64_t answersRepeated = 0;
    std::uint64_t answersDiscarded = 0;
};

class PeerListener {
public:
    PeerListener(boost::asio::io_context&, const PeerLinkSettings&, PeerRequestHandler, LinkThreadPoster);

    /// @return false, with a message in @p error, if the port cannot be opened
    bool listen(std::string& error);
    std::uint16_t port() const { return m_port; }
    /// @brief Drops links that did not authenticate in time or are idle, and discards senders without a link after the retention time.
    void tick(TimePoint now);
    /// @brief Refuses new links and requests from now on; running requests are still answered.
    void beginStop();
    bool isRunningRequests() const;
    void close();

    const PeerListenerCounters& counters() const { return m_counters; }
    std::size_t linkCount() const { return m_links.size(); }

private:
    struct Link {
        PeerConnection connection;
        std::string nonce;
        PeerIdentity peer;
        bool isAuthenticated = false;
        TimePoint openedAt;
        TimePoint lastReceived;
    };
    using LinkPointer = std::shared_ptr<Link>;

    struct SenderKey {
        std::string host;
        std::uint64_t incarnation = 0;
        bool operator<(const SenderKey& other) const;
    };

    /// Requests and newest link of one incarnation of another host.
    struct Sender {
        ReceivedRequests requests;
        /// The link that the sender opened last, or null if that link is closed.
        LinkPointer link;
        TimePoint lastUsed;
    };

    void handleAccept(const PeerSocketHandle&);
    void handleOpen(const PeerSocketHandle&);
    void handleClose(const LinkPointer&);
    void handleMessage(const LinkPointer&, const std::string& bytes);
    bool authenticate(const LinkPointer&, const PeerMessage&);
    void activateLink(const LinkPointer&, const PeerHandshake&);
    void handleRequest(const LinkPointer&, const PeerMessage&);
    void runRequest(const SenderKey&, const PeerMessage&);
    void finishRequest(const SenderKey&, std::uint64_t id, PeerAnswer);
    void sendAnswer(const SenderKey&, const Sender&, std::uint64_t id, const PeerAnswer&);
    void dropLink(const LinkPointer&);

    PeerLinkSettings m_settings;
    PeerRequestHandler m_handler;
    LinkThreadPoster m_post;
    PeerSocketServer m_server;
    std::uint16_t m_port = 0;
    bool m_isStopping = false;
    std::size_t m_handshakes = 0;
    std::set<LinkPointer> m_links;
    std::map<SenderKey, Sender> m_senders;
    PeerListenerCounters m_counters;
};

} // namespace cicadalb::detail
