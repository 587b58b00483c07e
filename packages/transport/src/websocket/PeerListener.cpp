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

    constexpr std::chrono::seconds proofTime { 2 };
    constexpr std::chrono::seconds idleTime { 120 };
    /// Longer than any request lives.
    constexpr std::chrono::minutes memoryTime { 10 };
    constexpr std::size_t maximumUnprovenLinks = 256;

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

PeerListener::PeerListener(boost::asio::io_context& context, const PeerLinkSettings& settings, PeerHandler handler, PeerPost post)
    : m_settings(settings)
    , m_handler(std::move(handler))
    , m_post(std::move(post))
{
    m_server.init_asio(&context);
    m_server.set_reuse_addr(true);
    m_server.set_open_handler([this](const PeerSocketHandle& handle) { opened(handle); });
}

bool PeerListener::listen(std::string& error)
{
    boost::system::error_code problem;
    const auto address = boost::asio::ip::make_address(m_settings.listenAddress, problem);
    if (problem) {
        error = "not an IP number: " + m_settings.listenAddress;
        return false;
    }
    PeerSocketError failure;
    m_server.listen(boost::asio::ip::tcp::endpoint(address, m_settings.listenPort), failure);
    if (!failure)
        m_server.start_accept(failure);
    if (failure) {
        error = "cannot listen: " + failure.message();
        return false;
    }
    m_port = m_server.get_local_endpoint(problem).port();
    return true;
}

void PeerListener::tick(TimePoint now)
{
    const auto links = m_links;
    for (const auto& link : links) {
        const bool isLate = !link->isProven && now - link->openedAt > proofTime;
        const bool isIdle = now - link->lastHeard > idleTime;
        if (isLate || isIdle)
            drop(link);
    }
    for (auto next = m_senders.begin(); next != m_senders.end();) {
        const auto sender = next++;
        const bool isGone = !sender->second.link && sender->second.requests.runningCount() == 0;
        if (isGone && now - sender->second.lastUsed > memoryTime)
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
        drop(link);
}

void PeerListener::opened(const PeerSocketHandle& handle)
{
    const auto connection = m_server.get_con_from_hdl(handle);
    const auto unproven = std::count_if(m_links.begin(), m_links.end(), [](const auto& link) { return !link->isProven; });
    if (m_isStopping || static_cast<std::size_t>(unproven) >= maximumUnprovenLinks) {
        dropConnection(connection);
        return;
    }
    const auto link = std::make_shared<Link>();
    link->connection = connection;
    link->nonce = randomNonce();
    link->openedAt = steadyNow();
    link->lastHeard = link->openedAt;
    m_links.insert(link);
    disableDelay(connection);
    const std::weak_ptr<Link> weak = link;
    connection->set_message_handler([this, weak](const PeerSocketHandle&, const PeerFrame& frame) {
        if (const auto current = weak.lock())
            received(current, frame->get_payload());
    });
    connection->set_ping_handler([weak](const PeerSocketHandle&, const std::string&) {
        if (const auto current = weak.lock())
            current->lastHeard = steadyNow();
        return true;
    });
    connection->set_close_handler([this, weak](const PeerSocketHandle&) {
        if (const auto current = weak.lock())
            closed(current);
    });
    PeerMessage challenge;
    challenge.type = PeerMessageType::Challenge;
    challenge.host = m_settings.hostId;
    challenge.incarnation = m_settings.incarnation;
    challenge.nonce = link->nonce;
    sendMessage(connection, challenge);
}

void PeerListener::closed(const LinkPointer& link)
{
    m_links.erase(link);
    link->connection = nullptr;
    const auto sender = m_senders.find(SenderKey { link->peer.host, link->peer.incarnation });
    if (sender == m_senders.end() || sender->second.link != link)
        return;
    sender->second.link = nullptr;
    sender->second.lastUsed = steadyNow();
}

void PeerListener::drop(const LinkPointer& link)
{
    const auto connection = link->connection;
    closed(link);
    if (connection)
        dropConnection(connection);
}

void PeerListener::received(const LinkPointer& link, const std::string& bytes)
{
    if (!link->connection)
        return;
    link->lastHeard = steadyNow();
    const auto message = decode(bytes);
    if (!message) {
        drop(link);
        return;
    }
    if (!link->isProven) {
        if (!prove(link, *message)) {
            ++m_counters.proofsRefused;
            drop(link);
        }
        return;
    }
    const bool isOwn = message->host == link->peer.host && message->incarnation == link->peer.incarnation
        && message->receiverIncarnation == m_settings.incarnation;
    if (message->type != PeerMessageType::Request || !isOwn) {
        drop(link);
        return;
    }
    handleRequest(link, *message);
}

bool PeerListener::prove(const LinkPointer& link, const PeerMessage& message)
{
    if (message.type != PeerMessageType::Proof || message.host.empty() || message.nonce.empty())
        return false;
    const PeerOpening opening { { m_settings.hostId, m_settings.incarnation }, { message.host, message.incarnation }, link->nonce, message.nonce };
    if (!equalConstantTime(message.proof, connectorProof(m_settings.secret, opening)))
        return false;
    link->isProven = true;
    link->peer = opening.connector;
    link->connection->set_max_message_size(provenMessageBytes);
    welcome(link, opening);
    return true;
}

void PeerListener::welcome(const LinkPointer& link, const PeerOpening& opening)
{
    auto& sender = m_senders[SenderKey { link->peer.host, link->peer.incarnation }];
    const auto previous = std::exchange(sender.link, link);
    sender.lastUsed = steadyNow();
    if (previous)
        drop(previous);
    PeerMessage message;
    message.type = PeerMessageType::Welcome;
    message.host = m_settings.hostId;
    message.incarnation = m_settings.incarnation;
    message.receiverIncarnation = link->peer.incarnation;
    message.proof = listenerProof(m_settings.secret, opening);
    sendMessage(link->connection, message);
}

void PeerListener::handleRequest(const LinkPointer& link, const PeerMessage& message)
{
    const SenderKey key { link->peer.host, link->peer.incarnation };
    auto& sender = m_senders[key];
    sender.lastUsed = link->lastHeard;
    const auto kind = sender.requests.receive(message.requestId, message.acknowledgedBelow, m_isStopping);
    switch (kind) {
    case ReceivedKind::New:
        run(key, message);
        break;
    case ReceivedKind::Running:
        break;
    case ReceivedKind::Answered:
        ++m_counters.answersRepeated;
        sendAnswer(key, sender, message.requestId, *sender.requests.answerTo(message.requestId));
        break;
    case ReceivedKind::Forgotten:
        ++m_counters.answersForgotten;
        sendAnswer(key, sender, message.requestId, failedAnswer(PeerOutcome::Unknown, ErrorCode::OutcomeUnknown, "the answer is not held any more"));
        break;
    case ReceivedKind::Refused:
        sendAnswer(key, sender, message.requestId, failedAnswer(PeerOutcome::NotSent, ErrorCode::Overloaded, "the host takes no more requests"));
        break;
    }
}

void PeerListener::run(const SenderKey& key, const PeerMessage& message)
{
    ++m_counters.requestsRun;
    const auto id = message.requestId;
    m_handler(key.host, message.request, [this, post = m_post, key, id](PeerAnswer answer) {
        post([this, key, id, answer = std::move(answer)] { finish(key, id, answer); });
    });
}

void PeerListener::finish(const SenderKey& key, std::uint64_t id, PeerAnswer answer)
{
    const auto sender = m_senders.find(key);
    if (sender == m_senders.end())
        return;
    if (answer.body.size() > maximumBodyBytes)
        answer = failedAnswer(PeerOutcome::Answered, ErrorCode::MessageInvalid, "the answer is larger than a link carries");
    if (!sender->second.requests.answer(id, answer))
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
