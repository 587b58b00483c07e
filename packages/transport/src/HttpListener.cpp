#include "cicadalb/transport/HttpListener.h"

#include "HttpSession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace cicadalb {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

    auto completionToken(beast::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

} // namespace

class HttpListener::Implementation : public std::enable_shared_from_this<HttpListener::Implementation> {
public:
    Implementation(WorkerPool& workers, HttpListenerOptions options, ServerHandler handler)
        : m_workers(workers)
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_acceptor(workers.context(0))
        , m_workerSessions(workers.size())
        , m_state(m_options)
    {
    }

    Result<void> start()
    {
        beast::error_code error;
        const auto address = asio::ip::make_address(m_options.address, error);
        const asio::ip::tcp::endpoint endpoint(address, m_options.port);
        if (!error)
            m_acceptor.open(endpoint.protocol(), error);
        if (!error)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(endpoint, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return failure(ErrorCode::Unavailable, error.message(), m_options.address + ":" + std::to_string(m_options.port));
        m_port = m_acceptor.local_endpoint().port();
        asio::co_spawn(m_workers.context(0), accept(shared_from_this()), asio::detached);
        return success();
    }

    void setLimits(const RequestLimits& limits) { m_state.setLimits(limits); }
    void beginDraining() { m_state.isDraining = true; }

    void stopAccepting()
    {
        m_state.isDraining = true;
        m_state.isStopping = true;
        asio::post(m_workers.context(0), [self = shared_from_this()] {
            beast::error_code error;
            self->m_acceptor.close(error);
        });
        for (std::size_t i = 0; i < m_workerSessions.size(); ++i)
            asio::post(m_workers.context(i), [self = shared_from_this(), i] { self->closeIdleSessions(i); });
    }

    std::uint16_t port() const noexcept { return m_port; }
    std::size_t requestsInFlight() const noexcept { return m_state.inFlight; }
    std::size_t connections() const noexcept { return m_state.connections; }

private:
    /// Sessions of one worker; accessed only on the worker's thread.
    struct WorkerSessions {
        std::set<std::shared_ptr<detail::HttpSession>> sessions;
        detail::WaitingSessions waiting;
    };

    static Task<void> accept(std::shared_ptr<Implementation> self)
    {
        std::size_t next = 0;
        while (!self->m_state.isStopping) {
            beast::error_code error;
            const auto worker = next++ % self->m_workers.size();
            auto socket = co_await self->m_acceptor.async_accept(self->m_workers.context(worker), completionToken(error));
            if (!self->m_acceptor.is_open())
                co_return;
            if (error) {
                asio::steady_timer timer(self->m_workers.context(0), acceptRetryDelay);
                co_await timer.async_wait(completionToken(error));
                continue;
            }
            ++self->m_state.connections;
            asio::co_spawn(self->m_workers.context(worker), serve(self, std::move(socket), worker), asio::detached);
        }
    }

    static Task<void> serve(std::shared_ptr<Implementation> self, asio::ip::tcp::socket socket, std::size_t worker)
    {
        auto& sessions = self->m_workerSessions[worker];
        if (self->m_state.connections <= self->m_options.maximumConnections || closeLongestWaiting(sessions)) {
            auto session = std::make_shared<detail::HttpSession>(std::move(socket), self->m_options, self->m_state, sessions.waiting, worker);
            sessions.sessions.insert(session);
            co_await session->run(self->m_handler);
            sessions.sessions.erase(session);
        }
        --self->m_state.connections;
    }

    /// Makes room for another connection. @return false if all connections have requests in progress
    static bool closeLongestWaiting(WorkerSessions& sessions)
    {
        if (sessions.waiting.empty())
            return false;
        sessions.waiting.front()->close();
        return true;
    }

    void closeIdleSessions(std::size_t worker)
    {
        for (const auto& session : m_workerSessions[worker].sessions)
            session->closeIfIdle();
    }

    WorkerPool& m_workers;
    HttpListenerOptions m_options;
    ServerHandler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<WorkerSessions> m_workerSessions;
    std::uint16_t m_port = 0;
    detail::ListenerState m_state;
};

HttpListener::HttpListener(WorkerPool& workers, HttpListenerOptions options, ServerHandler handler)
    : m_implementation(std::make_shared<Implementation>(workers, std::move(options), std::move(handler)))
{
}

HttpListener::~HttpListener() = default;
Result<void> HttpListener::start() { return m_implementation->start(); }
std::uint16_t HttpListener::port() const noexcept { return m_implementation->port(); }
void HttpListener::setLimits(const RequestLimits& limits) { m_implementation->setLimits(limits); }
void HttpListener::beginDraining() { m_implementation->beginDraining(); }
void HttpListener::stopAccepting() { m_implementation->stopAccepting(); }
std::size_t HttpListener::requestsInFlight() const noexcept { return m_implementation->requestsInFlight(); }
std::size_t HttpListener::connections() const noexcept { return m_implementation->connections(); }

} // namespace cicadalb
