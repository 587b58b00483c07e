#include "cicadalb/transport/HttpListener.h"

#include "Problem.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/services/detail/FlatMessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>

namespace cicadalb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
    /// Idle timeout of connections once the listener is stopping.
    constexpr auto stoppingIdleTimeout = std::chrono::milliseconds(200);

    auto completionToken(beast::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

    using RequestParser = http::request_parser<http::string_body>;

    ServerRequest toServerRequest(RequestParser& parser, std::size_t worker)
    {
        auto& message = parser.get();
        ServerRequest request;
        request.method = std::string(message.method_string());
        const std::string_view target(message.target().data(), message.target().size());
        const auto queryStart = target.find('?');
        request.path = std::string(target.substr(0, queryStart));
        if (queryStart != std::string_view::npos)
            request.query = std::string(target.substr(queryStart + 1));
        request.fields.reserve(8);
        for (const auto& field : message)
            request.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
        request.body = MessageBody(std::move(message.body()));
        request.worker = worker;
        request.receivedAt = std::chrono::steady_clock::now();
        return request;
    }

    /// HTTP status for a request that could not be read.
    unsigned statusFor(const beast::error_code& error)
    {
        if (error == http::error::body_limit)
            return 413;
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return 431;
        if (error == beast::error::timeout)
            return 408;
        return 400;
    }

    /// State that a listener shares with its sessions.
    struct ListenerState {
        explicit ListenerState(const RequestLimits& initialLimits)
            : m_limits(initialLimits)
        {
        }

        RequestLimits limits() const
        {
            const std::lock_guard lock(m_mutex);
            return m_limits;
        }

        void setLimits(const RequestLimits& limits)
        {
            const std::lock_guard lock(m_mutex);
            m_limits = limits;
        }

        /// No new connections are accepted, and open ones use the shorter idle timeout.
        std::atomic<bool> isStopping { false };
        /// Each connection is closed after its next response.
        std::atomic<bool> isDraining { false };
        std::atomic<std::size_t> inFlight { 0 };
        std::atomic<std::size_t> connections { 0 };

    private:
        mutable std::mutex m_mutex;
        RequestLimits m_limits;
    };

    /// One connection from a caller.
    class Session final : public ServerResponder {
    public:
        Session(asio::ip::tcp::socket socket, const HttpListenerOptions& options, const ListenerState& state, std::size_t worker)
            : m_stream(std::move(socket))
            , m_options(options)
            , m_worker(worker)
            , m_isStopping(&state.isStopping)
            , m_isDraining(&state.isDraining)
        {
        }

        /// Closes the connection if it waits for a request and no byte of one has arrived.
        void closeIfIdle()
        {
            beast::error_code error;
            if (m_isBetweenRequests && m_stream.socket().available(error) == 0)
                m_stream.cancel();
        }

        /// Serves requests until the connection is closed.
        Task<void> run(const ServerHandler& handler, ListenerState& state)
        {
            beast::error_code error;
            m_stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
            bool isReusable = true;
            while (isReusable)
                isReusable = co_await serveOneRequest(handler, state);
            m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
        }

        Task<bool> send(HttpResponse response) override
        {
            http::response<http::string_body> message { http::int_to_status(response.status), 11 };
            message.result(response.status);
            for (const auto& [name, value] : response.fields)
                message.insert(name, value);
            message.body() = std::move(response.body);
            if (m_isHeadRequest)
                message.content_length(message.body().size());
            else
                message.prepare_payload();
            message.keep_alive(mayKeepAlive());
            m_hasBegun = true;
            m_stream.expires_after(m_options.writeTimeout);
            beast::error_code error;
            if (m_isHeadRequest) {
                http::response_serializer<http::string_body> serializer(message);
                co_await http::async_write_header(m_stream, serializer, completionToken(error));
            } else {
                co_await writeMessage(message, error);
            }
            m_isAnswered = !error;
            co_return m_isAnswered;
        }

        Task<bool> beginStream(HttpResponse head) override
        {
            http::response<http::empty_body> message;
            message.version(11);
            message.result(head.status);
            for (const auto& [name, value] : head.fields)
                message.insert(name, value);
            message.chunked(true);
            message.keep_alive(mayKeepAlive());
            m_hasBegun = true;
            http::response_serializer<http::empty_body> serializer(message);
            m_stream.expires_after(m_options.writeTimeout);
            beast::error_code error;
            co_await http::async_write_header(m_stream, serializer, completionToken(error));
            co_return !error;
        }

        Task<bool> writeChunk(std::string_view part) override
        {
            m_stream.expires_after(m_options.writeTimeout);
            beast::error_code error;
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(part)), completionToken(error));
            co_return !error;
        }

        Task<bool> endStream(HttpFields trailer) override
        {
            http::fields fields;
            for (const auto& [name, value] : trailer)
                fields.insert(name, value);
            m_stream.expires_after(m_options.writeTimeout);
            beast::error_code error;
            co_await asio::async_write(m_stream, http::make_chunk_last(fields), completionToken(error));
            m_isAnswered = !error;
            co_return m_isAnswered;
        }

        bool hasBegun() const noexcept override { return m_hasBegun; }

        void onCallerDisconnected(std::function<void()> handler) override
        {
            m_callerGoneCallback = std::make_shared<std::function<void()>>(std::move(handler));
            m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [this, weakCallback = std::weak_ptr(m_callerGoneCallback)](const beast::error_code&) {
                const auto callback = weakCallback.lock();
                if (callback && isClosedByCaller())
                    (*callback)();
            });
        }

    private:
        /// Whether the caller has closed its end of the connection. It has not if bytes of a further request are readable.
        bool isClosedByCaller()
        {
            char byte = 0;
            beast::error_code error;
            auto& socket = m_stream.socket();
            socket.non_blocking(true, error);
            const auto length = socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
            return error != asio::error::would_block && length == 0;
        }

        /// Cancels the wait that onCallerDisconnected() started.
        void stopWatchingCaller()
        {
            if (!m_callerGoneCallback)
                return;
            m_callerGoneCallback.reset();
            beast::error_code error;
            m_stream.socket().cancel(error);
        }

        Task<void> writeMessage(http::response<http::string_body>& message, beast::error_code& error)
        {
            if (message.body().size() > maximumCopiedBytes) {
                co_await http::async_write(m_stream, message, completionToken(error));
                co_return;
            }
            m_output.clear();
            detail::appendMessage(message, m_output);
            co_await asio::async_write(m_stream, m_output.cdata(), completionToken(error));
        }

        bool mayKeepAlive() const noexcept { return m_requestKeepsAlive && !*m_isDraining; }

        /// Waits for the first bytes of a request. @return false if the connection ended or the idle timeout passed
        Task<bool> waitForRequest(const RequestLimits& limits)
        {
            if (m_buffer.size() > 0)
                co_return true;
            m_isBetweenRequests = true;
            m_stream.expires_after(*m_isStopping ? stoppingIdleTimeout : limits.idleTimeout);
            beast::error_code error;
            const auto length = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), completionToken(error));
            m_isBetweenRequests = false;
            m_buffer.commit(length);
            co_return !error;
        }

        Task<beast::error_code> readRequest(RequestParser& parser, const RequestLimits& limits)
        {
            beast::error_code error;
            // Bounds what is buffered as a whole: the head, the header of a chunk, and the trailer. The bytes read ahead fit as well.
            m_buffer.max_size(std::max<std::size_t>(firstReadBytes, std::size_t { 2 } * limits.maximumHeaderBytes));
            m_stream.expires_after(limits.headerTimeout);
            co_await http::async_read_header(m_stream, m_buffer, parser, completionToken(error));
            if (error)
                co_return error;
            m_stream.expires_after(m_options.bodyTimeout);
            if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
                http::response<http::empty_body> continueResponse { http::status::continue_, 11 };
                co_await http::async_write(m_stream, continueResponse, completionToken(error));
            }
            if (!error)
                co_await http::async_read(m_stream, m_buffer, parser, completionToken(error));
            co_return error;
        }

        /// @return whether the connection may carry another request
        Task<bool> serveOneRequest(const ServerHandler& handler, ListenerState& state)
        {
            m_hasBegun = false;
            m_isAnswered = false;
            m_isHeadRequest = false;
            m_requestKeepsAlive = false;
            const auto limits = state.limits();
            const bool hasRequest = co_await waitForRequest(limits);
            if (!hasRequest)
                co_return false;
            struct InFlightGuard {
                std::atomic<std::size_t>& count;
                explicit InFlightGuard(std::atomic<std::size_t>& counter)
                    : count(counter)
                {
                    ++count;
                }
                InFlightGuard(const InFlightGuard&) = delete;
                InFlightGuard& operator=(const InFlightGuard&) = delete;
                ~InFlightGuard() { --count; }
            } guard(state.inFlight);

            RequestParser parser;
            parser.header_limit(limits.maximumHeaderBytes);
            parser.body_limit(limits.maximumBodyBytes);
            const auto error = co_await readRequest(parser, limits);
            if (error) {
                co_await rejectMalformed(error);
                co_return false;
            }
            m_requestKeepsAlive = parser.get().keep_alive();
            m_isHeadRequest = parser.get().method() == http::verb::head;
            auto request = toServerRequest(parser, m_worker);
            m_stream.expires_never();
            co_await handler(request, *this);
            stopWatchingCaller();
            co_return m_isAnswered&& mayKeepAlive();
        }

        Task<void> rejectMalformed(beast::error_code error)
        {
            logEvent(Event::RequestMalformed, { { "cause", error.message() } });
            ProblemDetails details;
            details.status = statusFor(error);
            auto response = problemResponse(Error { ErrorCode::RequestInvalid, error.message(), "request" }, details);
            co_await send(std::move(response));
        }

        static constexpr std::size_t firstReadBytes = 4096;
        /// Larger bodies are written from where they are; m_output keeps the size of the largest message.
        static constexpr std::size_t maximumCopiedBytes = std::size_t { 64 } << 10U;

        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer;
        beast::flat_buffer m_output;
        const HttpListenerOptions& m_options;
        std::size_t m_worker;
        const std::atomic<bool>* m_isStopping;
        const std::atomic<bool>* m_isDraining;
        bool m_isBetweenRequests = true;
        bool m_requestKeepsAlive = false;
        bool m_isHeadRequest = false;
        bool m_hasBegun = false;
        bool m_isAnswered = false;
        /// Callback registered with onCallerDisconnected(), or null.
        std::shared_ptr<std::function<void()>> m_callerGoneCallback;
    };

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
        std::set<std::shared_ptr<Session>> sessions;
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
            if (self->m_state.connections >= self->m_options.maximumConnections)
                continue;
            ++self->m_state.connections;
            auto session = std::make_shared<Session>(std::move(socket), self->m_options, self->m_state, worker);
            asio::co_spawn(self->m_workers.context(worker), serve(self, std::move(session), worker), asio::detached);
        }
    }

    static Task<void> serve(std::shared_ptr<Implementation> self, std::shared_ptr<Session> session, std::size_t worker)
    {
        self->m_workerSessions[worker].sessions.insert(session);
        co_await session->run(self->m_handler, self->m_state);
        self->m_workerSessions[worker].sessions.erase(session);
        --self->m_state.connections;
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
    ListenerState m_state;
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
