#include "PeerConnector.h"

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <utility>

namespace cicadalb::detail {

namespace {

    constexpr std::chrono::milliseconds initialRetryDelay { 50 };
    constexpr std::chrono::milliseconds maximumRetryDelay { 1000 };
    constexpr std::chrono::seconds idleTimeout { 30 };

    TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

    PeerFailure unreachable(std::string message)
    {
        return { static_cast<std::uint16_t>(ErrorCode::PeerUnreachable), std::move(message) };
    }

    PeerFailure unauthenticated()
    {
        return { static_cast<std::uint16_t>(ErrorCode::PeerUnauthenticated), "the other end did not prove that it knows the shared secret" };
    }

} // namespace

PeerConnector::PeerConnector(PeerSocketClient& client, const PeerLinkSettings& settings, std::string hostId)
    : m_client(client)
    , m_settings(settings)
    , m_hostId(std::move(hostId))
    , m_retryDelay(initialRetryDelay)
{
}

PeerConnector::~PeerConnector() { releaseSession(); }

void PeerConnector::setAddress(const std::string& address, std::uint16_t port)
{
    if (address == m_address && port == m_port)
        return;
    m_address = address;
    m_port = port;
    m_nextConnectTime = {};
    m_retryDelay = initialRetryDelay;
    releaseSession();
    m_state = PeerLinkState::Closed;
    if (!m_outstanding.empty())
        connect(steadyNow());
}

void PeerConnector::request(PeerRequest request, TimePoint deadline, PeerReplyCallback reply, TimePoint now)
{
    if (m_outstanding.empty())
        m_outstandingSince = now;
    m_lastUsed = now;
    const auto id = m_outstanding.add(std::move(request), deadline, std::move(reply));
    if (m_state == PeerLinkState::Open)
        m_outstanding.send(id, m_peerIncarnation, requestWriter());
    else if (m_state == PeerLinkState::Closed && now >= m_nextConnectTime)
        connect(now);
}

void PeerConnector::tick(TimePoint now)
{
    m_outstanding.expire(now, { static_cast<std::uint16_t>(ErrorCode::DeadlineExceeded), "no answer was received by the deadline" });
    if (m_state == PeerLinkState::Closed) {
        if (!m_outstanding.empty() && now >= m_nextConnectTime)
            connect(now);
        return;
    }
    checkLiveness(now);
}

void PeerConnector::close(const PeerFailure& reason)
{
    m_outstanding.failAll(reason);
    releaseSession();
    m_state = PeerLinkState::Closed;
}

void PeerConnector::checkLiveness(TimePoint now)
{
    const std::chrono::milliseconds livenessTimeout(m_settings.livenessTimeoutMilliseconds);
    if (m_state != PeerLinkState::Open) {
        if (now - m_connectStartTime > livenessTimeout)
            handleLinkLoss(now, unreachable("the link was not opened within the liveness timeout"), false);
        return;
    }
    if (m_outstanding.empty()) {
        if (now - m_lastUsed > idleTimeout) {
            releaseSession();
            m_state = PeerLinkState::Closed;
        }
        return;
    }
    if (now - std::max(m_lastReceived, m_outstandingSince) > livenessTimeout) {
        ++m_counters.livenessTimeouts;
        handleLinkLoss(now, unreachable("nothing was received on the link within the liveness timeout"), false);
        return;
    }
    if (now - m_lastPing >= std::chrono::milliseconds(m_settings.pingIntervalMilliseconds)) {
        m_lastPing = now;
        PeerSocketError ignored;
        m_session->connection->ping({}, ignored);
    }
}

void PeerConnector::connect(TimePoint now)
{
    PeerSocketError error;
    const auto connection = m_client.get_connection("ws://" + address() + "/", error);
    m_connectStartTime = now;
    if (error) {
        handleLinkLoss(now, unreachable("invalid address: " + address()), false);
        return;
    }
    m_state = PeerLinkState::Connecting;
    m_session = std::make_shared<Session>();
    m_session->owner = this;
    m_session->connection = connection;
    installHandlers(m_session);
    m_client.connect(connection);
}

void PeerConnector::installHandlers(const std::shared_ptr<Session>& session)
{
    const auto& connection = session->connection;
    connection->set_open_handler([this, session](const PeerSocketHandle& handle) {
        if (session->owner)
            handleOpen();
        else
            terminateConnection(m_client.get_con_from_hdl(handle));
    });
    connection->set_message_handler([session](const PeerSocketHandle&, const PeerSocketMessage& message) {
        if (session->owner)
            session->owner->handleMessage(message->get_payload());
    });
    connection->set_pong_handler([session](const PeerSocketHandle&, const std::string&) {
        if (session->owner)
            session->owner->updateLastReceived();
    });
    const auto onEnd = [session](const PeerSocketHandle&) {
        if (session->owner)
            session->owner->handleConnectionEnd();
    };
    connection->set_fail_handler(onEnd);
    connection->set_close_handler(onEnd);
}

void PeerConnector::handleOpen()
{
    disableNagleAlgorithm(m_session->connection);
    m_state = PeerLinkState::Authenticating;
    m_handshake = {};
}

void PeerConnector::handleConnectionEnd()
{
    const auto transportError = m_session->connection->get_transport_ec();
    const bool isConnectionRefused = transportError == boost::asio::error::connection_refused;
    const bool wasAuthenticating = m_state == PeerLinkState::Authenticating;
    const auto reason = wasAuthenticating ? unauthenticated() : unreachable("cannot connect to " + address() + ": " + m_session->connection->get_ec().message());
    handleLinkLoss(steadyNow(), reason, isConnectionRefused);
}

void PeerConnector::handleMessage(const std::string& bytes)
{
    updateLastReceived();
    const auto message = decode(bytes);
    bool isValid = false;
    if (message && m_state == PeerLinkState::Open) {
        isValid = message->type == PeerMessageType::Answer;
        if (isValid)
            handleAnswer(*message);
    } else if (message && m_state == PeerLinkState::Authenticating) {
        isValid = m_handshake.listenerNonce.empty() ? answerChallenge(*message) : acceptWelcome(*message);
    }
    if (!isValid)
        handleLinkLoss(steadyNow(), unauthenticated(), false);
}

bool PeerConnector::answerChallenge(const PeerMessage& challenge)
{
    if (challenge.type != PeerMessageType::Challenge || challenge.nonce.empty() || challenge.host != m_hostId)
        return false;
    m_handshake = { { challenge.host, challenge.incarnation }, { m_settings.hostId, m_settings.incarnation }, challenge.nonce, randomNonce() };
    PeerMessage proof;
    proof.type = PeerMessageType::Proof;
    proof.host = m_settings.hostId;
    proof.incarnation = m_settings.incarnation;
    proof.receiverIncarnation = challenge.incarnation;
    proof.nonce = m_handshake.connectorNonce;
    proof.proof = connectorProof(m_settings.secret, m_handshake);
    sendMessage(m_session->connection, proof);
    return true;
}

bool PeerConnector::acceptWelcome(const PeerMessage& welcome)
{
    if (welcome.type != PeerMessageType::Welcome || !equalConstantTime(welcome.proof, listenerProof(m_settings.secret, m_handshake)))
        return false;
    m_state = PeerLinkState::Open;
    m_peerIncarnation = m_handshake.listener.incarnation;
    m_retryDelay = initialRetryDelay;
    m_outstandingSince = steadyNow();
    ++m_counters.linksOpened;
    m_session->connection->set_max_message_size(maximumAuthenticatedMessageBytes);
    logEvent(Event::PeerLinkOpened, { { "peer", m_hostId } });
    m_outstanding.resendAll(m_peerIncarnation, requestWriter());
    return true;
}

void PeerConnector::handleAnswer(const PeerMessage& answer)
{
    const bool isExpected = answer.host == m_hostId && answer.receiverIncarnation == m_settings.incarnation;
    if (!isExpected || !m_outstanding.complete(answer))
        ++m_counters.answersDropped;
    m_lastUsed = m_lastReceived;
}

void PeerConnector::updateLastReceived() { m_lastReceived = steadyNow(); }

void PeerConnector::handleLinkLoss(TimePoint now, const PeerFailure& reason, bool isHostGone)
{
    if (m_state == PeerLinkState::Open) {
        ++m_counters.linksLost;
        logEvent(Event::PeerLinkLost, { { "peer", m_hostId }, { "reason", reason.message } });
        m_nextConnectTime = now + initialRetryDelay;
    } else {
        m_nextConnectTime = now + m_retryDelay;
        m_retryDelay = std::min(2 * m_retryDelay, maximumRetryDelay);
        m_outstanding.failUnsent(reason);
    }
    if (isHostGone)
        m_outstanding.failAll(reason);
    releaseSession();
    m_state = PeerLinkState::Closed;
}

void PeerConnector::releaseSession()
{
    if (!m_session)
        return;
    const auto session = std::exchange(m_session, nullptr);
    const auto connection = std::exchange(session->connection, nullptr);
    session->owner = nullptr;
    if (m_state != PeerLinkState::Connecting)
        terminateConnection(connection);
}

OutstandingRequests::Writer PeerConnector::requestWriter()
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
    sendMessage(m_session->connection, message);
}

} // namespace cicadalb::detail
