#include "PeerSocket.h"

#include "PeerConnector.h"
#include "PeerListener.h"

#include "cicadalb/base/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace cicadalb {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 25 };
    /// How long running requests of other hosts may take to end when the links stop.
    constexpr std::chrono::milliseconds stopGracePeriod { 2000 };
    /// Shorter than the time for which a receiver keeps a sender's requests and answers (senderRetentionTime).
    constexpr std::uint32_t maximumTimeoutMilliseconds = 300'000;

    constexpr const char* stateNames[] = { "closed", "connecting", "proving", "open" };

    PeerAnswer notSentAnswer(ErrorCode error, std::string message)
    {
        PeerAnswer answer;
        answer.outcome = PeerOutcome::NotSent;
        answer.error = static_cast<std::uint16_t>(error);
        answer.message = std::move(message);
        return answer;
    }

    detail::PeerFailure stoppingFailure() { return { static_cast<std::uint16_t>(ErrorCode::HostStopping), "the links are stopped" }; }

} // namespace

class PeerLinks::Implementation : public std::enable_shared_from_this<PeerLinks::Implementation> {
public:
    Implementation(PeerLinkSettings settings, PeerRequestHandler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_timer(m_context)
    {
        m_client.init_asio(&m_context);
    }

    bool start(std::string& error)
    {
        m_listener = std::make_unique<detail::PeerListener>(m_context, m_settings, m_handler, makePoster());
        if (!m_listener->listen(error))
            return false;
        m_port = m_listener->port();
        tick();
        m_thread = std::thread([this] { m_context.run(); });
        return true;
    }

    std::uint16_t port() const { return m_port; }

    /// Queues @p function to run on the links' thread. @return false, without queueing, once the links are stopped
    bool post(std::function<void()> function)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isClosed)
            return false;
        boost::asio::post(m_context, std::move(function));
        return true;
    }

    void setPeer(const std::string& hostId, const std::string& address, std::uint16_t port)
    {
        auto& connector = m_connectors[hostId];
        if (!connector)
            connector = std::make_unique<detail::PeerConnector>(m_client, m_settings, hostId);
        connector->setAddress(address, port);
    }

    void removePeer(const std::string& hostId)
    {
        const auto found = m_connectors.find(hostId);
        if (found == m_connectors.end())
            return;
        found->second->close({ static_cast<std::uint16_t>(ErrorCode::HostUnknown), "the host left or was lost" });
        m_connectors.erase(found);
    }

    void request(const std::string& hostId, PeerRequest request, TimePoint deadline, PeerReplyCallback reply)
    {
        const auto found = m_connectors.find(hostId);
        if (m_isStopping) {
            reply(notSentAnswer(ErrorCode::HostStopping, "the links are stopped"));
            return;
        }
        if (found == m_connectors.end()) {
            reply(notSentAnswer(ErrorCode::HostUnknown, "no address is known for host " + hostId));
            return;
        }
        found->second->request(std::move(request), deadline, std::move(reply), std::chrono::steady_clock::now());
    }

    nlohmann::json stateJson() const
    {
        nlohmann::json peers = nlohmann::json::object();
        for (const auto& [hostId, connector] : m_connectors) {
            const auto& counters = connector->counters();
            auto& peer = peers[hostId];
            peer["address"] = connector->address();
            peer["state"] = stateNames[static_cast<std::size_t>(connector->state())];
            peer["outstanding"] = connector->outstandingCount();
            peer["links-opened"] = counters.linksOpened;
            peer["links-lost"] = counters.linksLost;
            peer["silences"] = counters.livenessTimeouts;
            peer["answers-dropped"] = counters.answersDropped;
        }
        nlohmann::json state = nlohmann::json::object();
        state["peers"] = std::move(peers);
        if (!m_listener)
            return state;
        const auto& counters = m_listener->counters();
        state["port"] = m_port.load();
        state["links"] = m_listener->linkCount();
        state["requests-run"] = counters.requestsRun;
        state["answers-repeated"] = counters.answersRepeated;
        state["answers-forgotten"] = counters.answersDiscarded;
        state["proofs-refused"] = counters.proofsRefused;
        return state;
    }

    std::string state()
    {
        if (std::this_thread::get_id() == m_thread.get_id())
            return stateJson().dump();
        const auto promise = std::make_shared<std::promise<std::string>>();
        auto result = promise->get_future();
        if (!m_thread.joinable() || !post([this, promise] { promise->set_value(stateJson().dump()); }))
            return "{}";
        return result.get();
    }

    void stop()
    {
        const std::lock_guard<std::mutex> lock(m_stopMutex);
        if (m_thread.joinable()) {
            post([this] { beginStop(); });
            m_thread.join();
        }
        close();
        m_context.restart();
        m_context.poll();
    }

private:
    detail::LinkThreadPoster makePoster()
    {
        return [weak = weak_from_this()](std::function<void()> function) {
            if (const auto self = weak.lock())
                self->post(std::move(function));
        };
    }

    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto& [hostId, connector] : m_connectors)
            connector->tick(now);
        m_listener->tick(now);
        if (m_isStopping && (!m_listener->isRunningRequests() || now >= m_stopDeadline)) {
            finishStop();
            return;
        }
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                tick();
        });
    }

    void beginStop()
    {
        m_isStopping = true;
        m_stopDeadline = std::chrono::steady_clock::now() + stopGracePeriod;
        m_listener->beginStop();
        for (const auto& [hostId, connector] : m_connectors)
            connector->close(stoppingFailure());
    }

    /// Closes the links one tick later, so that the last answers are still written.
    void finishStop()
    {
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const boost::system::error_code&) {
            m_listener->close();
            m_context.stop();
        });
    }

    void close()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isClosed = true;
        m_isStopping = true;
    }

    PeerLinkSettings m_settings;
    PeerRequestHandler m_handler;
    boost::asio::io_context m_context { 1 };
    boost::asio::steady_timer m_timer;
    detail::PeerSocketClient m_client;
    std::unique_ptr<detail::PeerListener> m_listener;
    std::map<std::string, std::unique_ptr<detail::PeerConnector>> m_connectors;
    std::atomic<std::uint16_t> m_port { 0 };
    bool m_isStopping = false;
    TimePoint m_stopDeadline;
    std::mutex m_mutex;
    std::mutex m_stopMutex;
    bool m_isClosed = false;
    std::thread m_thread;
};

PeerLinks::PeerLinks(PeerLinkSettings settings, PeerRequestHandler handler)
    : m_implementation(std::make_shared<Implementation>(std::move(settings), std::move(handler)))
{
}

PeerLinks::~PeerLinks() { stop(); }

bool PeerLinks::start(std::string& error) { return m_implementation->start(error); }

std::uint16_t PeerLinks::port() const { return m_implementation->port(); }

void PeerLinks::setPeer(const std::string& hostId, const std::string& address, std::uint16_t port)
{
    m_implementation->post([self = m_implementation.get(), hostId, address, port] { self->setPeer(hostId, address, port); });
}

void PeerLinks::removePeer(const std::string& hostId)
{
    m_implementation->post([self = m_implementation.get(), hostId] { self->removePeer(hostId); });
}

void PeerLinks::request(const std::string& hostId, PeerRequest request, std::uint32_t timeoutMilliseconds, PeerReplyCallback reply)
{
    if (request.body.size() > detail::maximumBodyBytes) {
        reply(notSentAnswer(ErrorCode::MessageInvalid, "the request exceeds the maximum message size of a link"));
        return;
    }
    const std::chrono::milliseconds timeout(std::min(timeoutMilliseconds, maximumTimeoutMilliseconds));
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const bool isPosted = m_implementation->post([self = m_implementation.get(), hostId, request = std::move(request), deadline, reply] {
        self->request(hostId, request, deadline, reply);
    });
    if (!isPosted)
        reply(notSentAnswer(ErrorCode::HostStopping, "the links are stopped"));
}

std::string PeerLinks::state() const { return m_implementation->state(); }

void PeerLinks::stop() { m_implementation->stop(); }

} // namespace cicadalb
