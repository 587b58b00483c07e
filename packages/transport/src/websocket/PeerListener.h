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

/// @brief Runs a function on the links' thread, or drops it when the links are gone. Thread-safe.
using PeerPost = std::function<void(std::function<void()>)>;

struct PeerListenerCounters {
    std::uint64_t proofsRefused = 0;
    std::uint64_t requestsRun = 0;
    std::uint64_t answersRepeated = 0;
    std::uint64_t answersForgotten = 0;
};

class PeerListener {
public:
    PeerListener(boost::asio::io_context&, const PeerLinkSettings&, PeerHandler, PeerPost);

    bool listen(std::string& error);
    std::uint16_t port() const { return m_port; }
    /// @brief Drops links that are unproven or idle for too long, and the memory of hosts that are gone.
    void tick(TimePoint now);
    /// @brief Takes no new links or requests; requests that run are still answered.
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
        bool isProven = false;
        TimePoint openedAt;
        TimePoint lastHeard;
    };
    using LinkPointer = std::shared_ptr<Link>;

    struct SenderKey {
        std::string host;
        std::uint64_t incarnation = 0;
        bool operator<(const SenderKey& other) const;
    };

    /// One incarnation of another host.
    struct Sender {
        ReceivedRequests requests;
        /// The link that it opened last, or null.
        LinkPointer link;
        TimePoint lastUsed;
    };

    void opened(const PeerSocketHandle&);
    void closed(const LinkPointer&);
    void received(const LinkPointer&, const std::string& bytes);
    bool prove(const LinkPointer&, const PeerMessage&);
    void welcome(const LinkPointer&, const PeerOpening&);
    void handleRequest(const LinkPointer&, const PeerMessage&);
    void run(const SenderKey&, const PeerMessage&);
    void finish(const SenderKey&, std::uint64_t id, PeerAnswer);
    void sendAnswer(const SenderKey&, const Sender&, std::uint64_t id, const PeerAnswer&);
    void drop(const LinkPointer&);

    PeerLinkSettings m_settings;
    PeerHandler m_handler;
    PeerPost m_post;
    PeerServer m_server;
    std::uint16_t m_port = 0;
    bool m_isStopping = false;
    std::set<LinkPointer> m_links;
    std::map<SenderKey, Sender> m_senders;
    PeerListenerCounters m_counters;
};

} // namespace cicadalb::detail
