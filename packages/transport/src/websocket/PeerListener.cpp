#include "PeerListener.h"

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>
#include <vector>

namespace cicadalb::detail {

namespace {

    constexpr std::chrono::seconds authenticationTimeout { 2 };
    constexpr std::chrono::seconds idleTimeout { 120 };
    /// Longer than the longest request timeout, so that a request that is sent again is still recognised.
    constexpr std::chrono::minutes senderRetentionTime { 10 };
    constexpr std::size_t maximumUnauthenticatedLinks = 256;
    /// Connections whose websocket handshake is not complete; each holds some 40 KiB.
    constexpr std::size_t maximumHandshakes = 256;

    TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

    PeerAnswer failedAnswer(PeerOutcome outcome, ErrorCode error, std::string message)
    {
        PeerAnswer answer;
        answer.outcome = outcome;
        answer.error = static_cast<std::uint16_t>(error);
        answer.message = std::move(message);
        return answer;
    }

} // namespace

bool PeerListener::SenderKey::operator<(const SenderKey& other) const
{
    return std::tie(host, incarnation) < std::tie(other.host, other.incarnation);
}

PeerListener::PeerListener(boost::asio::io_context& context, const PeerLinkSettings& settings, PeerRequestHandler handler, LinkThreadPoster post)
    : m_settings(settings)
    , m_handler(std::move(handler))
    , m_post(std::move(post))
{
    m_server.init_asio(&context);
    m_server.set_reuse_addr(true);
    m_server.set_tcp_pre_init_handler([this](const PeerSocketHandle& handle) { handleAccept(handle); });
    m_server.set_open_handler([this](const PeerSocketHandle& handle) {
        --m_handshakes;
        handleOpen(handle);
    });
    m_server.set_fail_handler([this](const PeerSocketHandle&) { --m_handshakes; });
}

void PeerListener::handleAccept(const PeerSocketHandle& handle)
{
    if (++m_handshakes <= maximumHandshakes)
        return;
    // The handshake then fails, which takes it out of the count.
    boost::system::error_code ignored;
    m_server.get_con_from_hdl(handle)->get_raw_socket().close(ignored);
}

bool PeerListener::listen(std::string& error)
{
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(m_settings.listenAddress, addressError);
    if (addressError) {
        error = "not an IP address: " + m_settings.listenAddress;
        return false;
    }
    PeerSocketError listenError;
    m_server.listen(boost::asio::ip::tcp::endpoint(address, m_settings.listenPort), listenError);
    if (!listenError)
        m_server.start_accept(listenError);
    if (listenError) {
        error = "cannot listen for links from other hosts: " + listenError.message();
        return false;
    }
    m_port = m_server.get_local_endpoint(addressError).port();
    return true;
}

void PeerListener::tick(TimePoint now)
{
    const auto links = m_links;
    for (const auto& link : links) {
        const bool hasTimedOut = !link->isAuthenticated && now - link->openedAt > authenticationTimeout;
        const bool isIdle = now - link->lastReceived > idleTimeout;
        if (hasTimedOut || isIdle)
            dropLink(link);
    }
    for (auto next = m_senders.begin(); next != m_senders.end();) {
        const auto sender = next++;
        const bool isInactive = !sender->second.link && sender->second.requests.runningCount() == 0;
        if (isInactive && now - sender->second.lastUsed > senderRetentionTime)
            m_senders.erase(sender);
    }
}

void PeerListener::beginStop()
{
    m_isStopping = true;
    PeerSocketError ignored;
    m_server.stop_listening(ignored);
}

bool PeerListener::isRunningRequests() const
{
    return std::any_of(m_senders.begin(), m_senders.end(), [](const auto& entry) { return entry.second.requests.runningCount() > 0; });
}

void PeerListener::close()
{
    const auto links = m_links;
    for (const auto& link : links)
        dropLink(link);
}

void PeerListener::handleOpen(const PeerSocketHandle& handle)
{
    const auto connection = m_server.get_con_from_hdl(handle);
    const auto unauthenticatedCount = std::count_if(m_links.begin(), m_links.end(), [](const auto& link) { return !link->isAuthenticated; });
    if (m_isStopping || static_cast<std::size_t>(unauthenticatedCount) >= maximumUnauthenticatedLinks) {
        terminateConnection(connection);
        return;
    }
    const auto link = std::make_shared<Link>();
    link->connection = connection;
    link->nonce = randomNonce();
    link->openedAt = steadyNow();
    link->lastReceived = link->openedAt;
    m_links.insert(link);
    disableNagleAlgorithm(connection);
    const std::weak_ptr<Link> weak = link;
    connection->set_message_handler([this, weak](const PeerSocketHandle&, const PeerSocketMessage& message) {
        if (const auto current = weak.lock())
            handleMessage(current, message->get_payload());
    });
    connection->set_ping_handler([weak](const PeerSocketHandle&, const std::string&) {
        if (const auto current = weak.lock())
            current->lastReceived = steadyNow();
        return true;
    });
    connection->set_close_handler([this, weak](const PeerSocketHandle&) {
        if (const auto current = weak.lock())
            handleClose(current);
    });
    PeerMessage challenge;
    challenge.type = PeerMessageType::Challenge;
    challenge.host = m_settings.hostId;
    challenge.incarnation = m_settings.incarnation;
    challenge.nonce = link->nonce;
    sendMessage(connection, challenge);
}

void PeerListener::handleClose(const LinkPointer& link)
{
    m_links.erase(link);
    link->connection = nullptr;
    const auto sender = m_senders.find(SenderKey { link->peer.host, link->peer.incarnation });
    if (sender == m_senders.end() || sender->second.link != link)
        return;
    sender->second.link = nullptr;
    sender->second.lastUsed = steadyNow();
}

void PeerListener::dropLink(const LinkPointer& link)
{
    const auto connection = link->connection;
    handleClose(link);
    if (connection)
        terminateConnection(connection);
}

void PeerListener::handleMessage(const LinkPointer& link, const std::string& bytes)
{
    if (!link->connection)
        return;
    link->lastReceived = steadyNow();
    const auto message = decode(bytes);
    if (!message) {
        dropLink(link);
        return;
    }
    if (!link->isAuthenticated) {
        if (!authenticate(link, *message)) {
            ++m_counters.proofsRefused;
            dropLink(link);
        }
        return;
    }
    const bool isExpected = message->host == link->peer.host && message->incarnation == link->peer.incarnation
        && message->receiverIncarnation == m_settings.incarnation;
    if (message->type != PeerMessageType::Request || !isExpected) {
        dropLink(link);
        return;
    }
    handleRequest(link, *message);
}

bool PeerListener::authenticate(const LinkPointer& link, const PeerMessage& message)
{
    if (message.type != PeerMessageType::Proof || message.host.empty() || message.nonce.empty())
        return false;
    const PeerHandshake handshake { { m_settings.hostId, m_settings.incarnation }, { message.host, message.incarnation }, link->nonce, message.nonce };
    if (!equalConstantTime(message.proof, connectorProof(m_settings.secret, handshake)))
        return false;
    link->isAuthenticated = true;
    link->peer = handshake.connector;
    link->connection->set_max_message_size(maximumAuthenticatedMessageBytes);
    activateLink(link, handshake);
    return true;
}

void PeerListener::activateLink(const LinkPointer& link, const PeerHandshake& handshake)
{
    auto& sender = m_senders[SenderKey { link->peer.host, link->peer.incarnation }];
    const auto previous = std::exchange(sender.link, link);
    sender.lastUsed = steadyNow();
    if (previous)
        dropLink(previous);
    PeerMessage message;
    message.type = PeerMessageType::Welcome;
    message.host = m_settings.hostId;
    message.incarnation = m_settings.incarnation;
    message.receiverIncarnation = link->peer.incarnation;
    message.proof = listenerProof(m_settings.secret, handshake);
    sendMessage(link->connection, message);
}

void PeerListener::handleRequest(const LinkPointer& link, const PeerMessage& message)
{
    const SenderKey key { link->peer.host, link->peer.incarnation };
    auto& sender = m_senders[key];
    sender.lastUsed = link->lastReceived;
    const auto kind = sender.requests.receive(message.requestId, message.acknowledgedBelow, m_isStopping);
    switch (kind) {
    case ReceiveOutcome::New:
        runRequest(key, message);
        break;
    case ReceiveOutcome::Running:
        break;
    case ReceiveOutcome::Answered:
        ++m_counters.answersRepeated;
        sendAnswer(key, sender, message.requestId, *sender.requests.storedAnswer(message.requestId));
        break;
    case ReceiveOutcome::Discarded:
        ++m_counters.answersDiscarded;
        sendAnswer(key, sender, message.requestId, failedAnswer(PeerOutcome::Unknown, ErrorCode::OutcomeUnknown, "the request was run, but its answer is no longer stored"));
        break;
    case ReceiveOutcome::Refused:
        sendAnswer(key, sender, message.requestId, failedAnswer(PeerOutcome::NotSent, ErrorCode::Overloaded, "the host is stopping or already runs the maximum number of requests of this sender"));
        break;
    }
}

void PeerListener::runRequest(const SenderKey& key, const PeerMessage& message)
{
    ++m_counters.requestsRun;
    const auto id = message.requestId;
    m_handler(key.host, message.request, [this, post = m_post, key, id](PeerAnswer answer) {
        post([this, key, id, answer = std::move(answer)] { finishRequest(key, id, answer); });
    });
}

void PeerListener::finishRequest(const SenderKey& key, std::uint64_t id, PeerAnswer answer)
{
    const auto sender = m_senders.find(key);
    if (sender == m_senders.end())
        return;
    if (answer.body.size() > maximumBodyBytes)
        answer = failedAnswer(PeerOutcome::Answered, ErrorCode::MessageInvalid, "the answer exceeds the maximum message size of a link");
    if (!sender->second.requests.storeAnswer(id, answer))
        return;
    sendAnswer(key, sender->second, id, answer);
}

void PeerListener::sendAnswer(const SenderKey& key, const Sender& sender, std::uint64_t id, const PeerAnswer& answer)
{
    if (!sender.link || !sender.link->connection)
        return;
    PeerMessage message;
    message.type = PeerMessageType::Answer;
    message.host = m_settings.hostId;
    message.incarnation = m_settings.incarnation;
    message.receiverIncarnation = key.incarnation;
    message.requestId = id;
    message.answer = answer;
    sendMessage(sender.link->connection, message);
}

} // namespace cicadalb::detail
