#include "PeerConnector.h"

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <utility>

namespace cicadalb::detail {

namespace {

    constexpr std::chrono::milliseconds firstRetryDelay { 50 };
    constexpr std::chrono::milliseconds longestRetryDelay { 1000 };
    constexpr std::chrono::seconds idleTime { 30 };

    TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

    PeerFailure unreachable(std::string message)
    {
        return { static_cast<std::uint16_t>(ErrorCode::PeerUnreachable), std::move(message) };
    }

    PeerFailure unauthenticated()
    {
        return { static_cast<std::uint16_t>(ErrorCode::PeerUnauthenticated), "the other end does not prove the shared secret" };
    }

} // namespace

PeerConnector::PeerConnector(PeerClient& client, const PeerLinkSettings& settings, std::string hostId)
    : m_client(client)
    , m_settings(settings)
    , m_hostId(std::move(hostId))
    , m_retryDelay(firstRetryDelay)
{
}

PeerConnector::~PeerConnector() { releaseAttempt(); }

void PeerConnector::setAddress(const std::string& address, std::uint16_t port)
{
    if (address == m_address && port == m_port)
        return;
    m_address = address;
    m_port = port;
    m_nextAttempt = {};
    m_retryDelay = firstRetryDelay;
    releaseAttempt();
    m_state = PeerLinkState::Closed;
    if (!m_outstanding.empty())
        connect(steadyNow());
}

void PeerConnector::request(PeerRequest request, TimePoint deadline, PeerReply reply, TimePoint now)
{
    if (m_outstanding.empty())
        m_waitingSince = now;
    m_lastUsed = now;
    const auto id = m_outstanding.add(std::move(request), deadline, std::move(reply));
    if (m_state == PeerLinkState::Open)
        m_outstanding.send(id, m_peerIncarnation, writer());
    else if (m_state == PeerLinkState::Closed && now >= m_nextAttempt)
        connect(now);
}

void PeerConnector::tick(TimePoint now)
{
    m_outstanding.expire(now, { static_cast<std::uint16_t>(ErrorCode::DeadlineExceeded), "no answer by the deadline" });
    if (m_state == PeerLinkState::Closed) {
        if (!m_outstanding.empty() && now >= m_nextAttempt)
            connect(now);
        return;
    }
    checkLife(now);
}

void PeerConnector::close(const PeerFailure& reason)
{
    m_outstanding.endAll(reason);
    releaseAttempt();
    m_state = PeerLinkState::Closed;
}

void PeerConnector::checkLife(TimePoint now)
{
    const std::chrono::milliseconds silence(m_settings.silenceMilliseconds);
    if (m_state != PeerLinkState::Open) {
        if (now - m_attemptStarted > silence)
            lose(now, unreachable("no link within the time for it"), false);
        return;
    }
    if (m_outstanding.empty()) {
        if (now - m_lastUsed > idleTime) {
            releaseAttempt();
            m_state = PeerLinkState::Closed;
        }
        return;
    }
    if (now - std::max(m_lastHeard, m_waitingSince) > silence) {
        ++m_counters.silences;
        lose(now, unreachable("the link went silent"), false);
        return;
    }
    if (now - m_lastPing >= std::chrono::milliseconds(m_settings.pingMilliseconds)) {
        m_lastPing = now;
        PeerSocketError ignored;
        m_attempt->connection->ping({}, ignored);
    }
}

void PeerConnector::connect(TimePoint now)
{
    PeerSocketError error;
    const auto connection = m_client.get_connection("ws://" + address() + "/", error);
    m_attemptStarted = now;
    if (error) {
        lose(now, unreachable("not an address: " + address()), false);
        return;
    }
    m_state = PeerLinkState::Connecting;
    m_attempt = std::make_shared<Attempt>();
    m_attempt->owner = this;
    m_attempt->connection = connection;
    installHandlers(m_attempt);
    m_client.connect(connection);
}

void PeerConnector::installHandlers(const std::shared_ptr<Attempt>& attempt)
{
    const auto& connection = attempt->connection;
    connection->set_open_handler([this, attempt](const PeerSocketHandle& handle) {
        if (attempt->owner)
            opened();
        else
            dropConnection(m_client.get_con_from_hdl(handle));
    });
    connection->set_message_handler([attempt](const PeerSocketHandle&, const PeerFrame& frame) {
        if (attempt->owner)
            attempt->owner->received(frame->get_payload());
    });
    connection->set_pong_handler([attempt](const PeerSocketHandle&, const std::string&) {
        if (attempt->owner)
            attempt->owner->heard();
    });
    const auto onEnd = [attempt](const PeerSocketHandle&) {
        if (attempt->owner)
            attempt->owner->failed();
    };
    connection->set_fail_handler(onEnd);
    connection->set_close_handler(onEnd);
}

void PeerConnector::opened()
{
    disableDelay(m_attempt->connection);
    m_state = PeerLinkState::Proving;
    m_opening = {};
}

void PeerConnector::failed()
{
    const auto transportError = m_attempt->connection->get_transport_ec();
    const bool isRefused = transportError == boost::asio::error::connection_refused;
    const bool wasProving = m_state == PeerLinkState::Proving;
    const auto reason = wasProving ? unauthenticated() : unreachable("cannot connect to " + address() + ": " + m_attempt->connection->get_ec().message());
    lose(steadyNow(), reason, isRefused);
}

void PeerConnector::received(const std::string& bytes)
{
    heard();
    const auto message = decode(bytes);
    bool isGood = false;
    if (message && m_state == PeerLinkState::Open) {
        isGood = message->type == PeerMessageType::Answer;
        if (isGood)
            handleAnswer(*message);
    } else if (message && m_state == PeerLinkState::Proving) {
        isGood = m_opening.listenerNonce.empty() ? answerChallenge(*message) : acceptWelcome(*message);
    }
    if (!isGood)
        lose(steadyNow(), unauthenticated(), false);
}

bool PeerConnector::answerChallenge(const PeerMessage& challenge)
{
    if (challenge.type != PeerMessageType::Challenge || challenge.nonce.empty() || challenge.host != m_hostId)
        return false;
    m_opening = { { challenge.host, challenge.incarnation }, { m_settings.hostId, m_settings.incarnation }, challenge.nonce, randomNonce() };
    PeerMessage proof;
    proof.type = PeerMessageType::Proof;
    proof.host = m_settings.hostId;
    proof.incarnation = m_settings.incarnation;
    proof.receiverIncarnation = challenge.incarnation;
    proof.nonce = m_opening.connectorNonce;
    proof.proof = connectorProof(m_settings.secret, m_opening);
    sendMessage(m_attempt->connection, proof);
    return true;
}

bool PeerConnector::acceptWelcome(const PeerMessage& welcome)
{
    if (welcome.type != PeerMessageType::Welcome || !equalConstantTime(welcome.proof, listenerProof(m_settings.secret, m_opening)))
        return false;
    m_state = PeerLinkState::Open;
    m_peerIncarnation = m_opening.listener.incarnation;
    m_retryDelay = firstRetryDelay;
    m_waitingSince = steadyNow();
    ++m_counters.linksOpened;
    m_attempt->connection->set_max_message_size(provenMessageBytes);
    logEvent(Event::PeerLinkOpened, { { "peer", m_hostId } });
    m_outstanding.resume(m_peerIncarnation, writer());
    return true;
}

void PeerConnector::handleAnswer(const PeerMessage& answer)
{
    const bool isOwn = answer.host == m_hostId && answer.receiverIncarnation == m_settings.incarnation;
    if (!isOwn || !m_outstanding.accept(answer))
        ++m_counters.answersDropped;
    m_lastUsed = m_lastHeard;
}

void PeerConnector::heard() { m_lastHeard = steadyNow(); }

void PeerConnector::lose(TimePoint now, const PeerFailure& reason, bool isHostGone)
{
    if (m_state == PeerLinkState::Open) {
        ++m_counters.linksLost;
        logEvent(Event::PeerLinkLost, { { "peer", m_hostId }, { "reason", reason.message } });
        m_nextAttempt = now + firstRetryDelay;
    } else {
        m_nextAttempt = now + m_retryDelay;
        m_retryDelay = std::min(2 * m_retryDelay, longestRetryDelay);
        m_outstanding.endUnsent(reason);
    }
    if (isHostGone)
        m_outstanding.endAll(reason);
    releaseAttempt();
    m_state = PeerLinkState::Closed;
}

void PeerConnector::releaseAttempt()
{
    if (!m_attempt)
        return;
    const auto attempt = std::exchange(m_attempt, nullptr);
    const auto connection = std::exchange(attempt->connection, nullptr);
    attempt->owner = nullptr;
    if (m_state != PeerLinkState::Connecting)
        dropConnection(connection);
}

OutstandingRequests::Write PeerConnector::writer()
{
    return [this](std::uint64_t id, const PeerRequest& request) { writeRequest(id, request); };
}

void PeerConnector::writeRequest(std::uint64_t id, const PeerRequest& request)
{
    PeerMessage message;
    message.type = PeerMessageType::Request;
    message.host = m_settings.hostId;
    message.incarnation = m_settings.incarnation;
    message.receiverIncarnation = m_peerIncarnation;
    message.requestId = id;
    message.acknowledgedBelow = m_outstanding.lowestId();
    message.request = request;
    sendMessage(m_attempt->connection, message);
}

} // namespace cicadalb::detail
