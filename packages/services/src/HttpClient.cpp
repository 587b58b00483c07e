#include "cicadalb/services/HttpClient.h"

#include "cicadalb/services/detail/FlatMessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <charconv>
#include <deque>
#include <mutex>
#include <optional>

namespace cicadalb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    /// Largest header of an answer, in bytes.
    constexpr std::uint32_t maximumHeaderBytes = 64U << 10U;
    /// Time between the end that a server states for an idle connection and its last use here: a request that is on its way then is lost.
    constexpr std::chrono::milliseconds idleMargin { 1000 };
    /// Size of the parts in which a streamed body is read.
    constexpr std::size_t streamPartBytes = std::size_t { 16 } << 10U;

    struct Connection {
        explicit Connection(const asio::any_io_executor& executor)
            : stream(executor)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        beast::flat_buffer output;
        /// Not used again after this moment.
        TimePoint usableUntil;
        bool isReused = false;
        /// Bytes of the present request that were handed to the socket.
        std::size_t bytesWritten = 0;
        /// Part of an answer's body; kept for the connection's life, since a new one for each answer would be cleared each time.
        std::string part = std::string(streamPartBytes, '\0');
    };

    using ConnectionPointer = std::unique_ptr<Connection>;
    using AnswerParser = http::response_parser<http::buffer_body>;

    auto token(beast::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

    http::request<http::string_body> toBeast(HttpRequest& request, const Endpoint& endpoint)
    {
        http::request<http::string_body> message;
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        if (fieldIn(request.fields, "Host").empty())
            message.set(http::field::host, endpoint.address + ":" + std::to_string(endpoint.port));
        for (const auto& [name, value] : request.fields)
            message.insert(name, value);
        message.body() = std::move(request.body);
        message.prepare_payload();
        return message;
    }

    HttpResponse headOf(const AnswerParser& parser)
    {
        HttpResponse head;
        head.status = parser.get().result_int();
        for (const auto& field : parser.get())
            head.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
        return head;
    }

    /// How long the server keeps an idle connection, as its Keep-Alive field states ("timeout=10"), or nothing.
    std::optional<std::chrono::seconds> statedIdleTimeout(const HttpResponse& head)
    {
        constexpr std::string_view parameter = "timeout=";
        const auto value = head.field("Keep-Alive");
        const auto position = value.find(parameter);
        if (position == std::string_view::npos)
            return std::nullopt;
        const auto digits = value.substr(position + parameter.size());
        std::uint32_t seconds = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        return parsed.ec == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
    }

    Duration idleTimeAfter(const HttpResponse& head, const HttpClientOptions& options)
    {
        const auto stated = statedIdleTimeout(head);
        if (!stated || options.longestIdleTimeout.count() == 0)
            return options.idleTimeout;
        return std::min<Duration>(options.longestIdleTimeout, std::max<Duration>(Duration::zero(), *stated - idleMargin));
    }

    /// Whether the other end closed a connection, as opposed to a timeout or an abandoned exchange.
    bool isClosedByServer(const beast::error_code& error)
    {
        return error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::broken_pipe || error == asio::error::eof;
    }

    using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

    /// Sets the options of a new connection. None of them is needed for right answers, so failures are ignored.
    void prepare(asio::ip::tcp::socket& socket, const HttpClientOptions& options)
    {
        constexpr int probeSeconds = 1;
        beast::error_code error;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        socket.set_option(asio::socket_base::keep_alive(true), error);
        socket.set_option(KeepAliveIdle(probeSeconds), error);
        socket.set_option(KeepAliveInterval(probeSeconds), error);
        socket.set_option(UserTimeout(static_cast<int>(options.silenceTimeout.count())), error);
        socket.non_blocking(true, error);
    }

    /// Whether an idle connection was closed or written to by its server meanwhile.
    bool isReusable(Connection& connection)
    {
        beast::error_code error;
        auto& socket = connection.stream.socket();
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

} // namespace

std::string_view fieldIn(const HttpFields& fields, std::string_view name) noexcept
{
    for (const auto& [key, value] : fields) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

void HttpCancellation::cancel()
{
    m_cancelled = true;
    if (m_close)
        m_close();
}

struct HttpClient::State {
    asio::any_io_executor executor;
    Endpoint endpoint;
    HttpClientOptions options;
    std::mutex mutex;
    std::deque<ConnectionPointer> idle;

    ConnectionPointer takeIdle()
    {
        const std::lock_guard lock(mutex);
        const auto now = std::chrono::steady_clock::now();
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (connection->usableUntil > now && isReusable(*connection)) {
                connection->isReused = true;
                return connection;
            }
        }
        return nullptr;
    }

    void keep(ConnectionPointer connection, Duration idleTime)
    {
        connection->stream.expires_never();
        connection->usableUntil = std::chrono::steady_clock::now() + idleTime;
        const std::lock_guard lock(mutex);
        if (idle.size() < options.maximumIdleConnections)
            idle.push_back(std::move(connection));
    }

    Task<Result<ConnectionPointer>> connect(TimePoint deadline)
    {
        beast::error_code error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        if (error)
            co_return failure(ErrorCode::NotSent, "not an IP number", endpoint.address);
        auto connection = std::make_unique<Connection>(executor);
        connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + options.connectTimeout));
        co_await connection->stream.async_connect(asio::ip::tcp::endpoint(address, endpoint.port), token(error));
        if (error)
            co_return failure(ErrorCode::NotSent, "cannot connect: " + error.message(), place());
        prepare(connection->stream.socket(), options);
        co_return std::move(connection);
    }

    std::string place() const { return endpoint.address + ":" + std::to_string(endpoint.port); }

    /// Error of an exchange that broke after its connection was ready.
    Error brokenExchange(const Connection& connection, const beast::error_code& error, const HttpCancellation* cancellation) const
    {
        if (cancellation && cancellation->isCancelled())
            return Error { ErrorCode::Cancelled, "abandoned by the caller", place() };
        if (connection.bytesWritten == 0)
            return Error { ErrorCode::NotSent, error.message(), place() };
        return Error { ErrorCode::OutcomeUnknown, error.message(), place() };
    }

    Task<beast::error_code> write(Connection& connection, http::request<http::string_body>& message)
    {
        beast::error_code error;
        connection.output.clear();
        detail::appendMessage(message, connection.output);
        connection.bytesWritten = 0;
        connection.bytesWritten = co_await asio::async_write(connection.stream, connection.output.cdata(), token(error));
        co_return error;
    }

    /// Sends a message and reads the header of its answer.
    Task<beast::error_code> begin(Connection& connection, http::request<http::string_body>& message, AnswerParser& parser)
    {
        beast::error_code error = co_await write(connection, message);
        if (error)
            co_return error;
        parser.header_limit(maximumHeaderBytes);
        parser.body_limit(boost::none);
        parser.skip(message.method() == http::verb::head);
        co_await http::async_read_header(connection.stream, connection.buffer, parser, token(error));
        co_return error;
    }

    /// Reads one body part into @p buffer; the length is 0 at the end of the answer.
    static Task<std::size_t> readPart(Connection& connection, AnswerParser& parser, std::string& buffer, beast::error_code& error)
    {
        parser.get().body().data = buffer.data();
        parser.get().body().size = buffer.size();
        co_await http::async_read_some(connection.stream, connection.buffer, parser, token(error));
        if (error == http::error::need_buffer)
            error = {};
        co_return buffer.size() - parser.get().body().size;
    }
};

HttpClient::HttpClient(asio::any_io_executor executor, Endpoint endpoint, HttpClientOptions options)
    : m_state(std::make_shared<State>())
{
    m_state->executor = std::move(executor);
    m_state->endpoint = std::move(endpoint);
    m_state->options = options;
}

HttpClient::~HttpClient() = default;

const Endpoint& HttpClient::endpoint() const noexcept { return m_state->endpoint; }

std::size_t HttpClient::idleConnections() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->idle.size();
}

Task<Result<HttpResponse>> HttpClient::send(HttpRequest request, TimePoint deadline, std::shared_ptr<HttpCancellation> cancellation)
{
    std::string body;
    bool isTooLarge = false;
    HttpStreamHandler handler;
    handler.onPart = [&body, &isTooLarge, limit = m_state->options.maximumBodyBytes](std::string_view part) -> Task<bool> {
        isTooLarge = body.size() + part.size() > limit;
        if (!isTooLarge)
            body.append(part);
        co_return !isTooLarge;
    };
    auto response = co_await stream(std::move(request), deadline, std::move(handler), std::move(cancellation));
    if (isTooLarge)
        co_return failure(ErrorCode::AnswerInvalid, "answer is larger than the limit", m_state->place());
    if (response)
        response.value().body = std::move(body);
    co_return response;
}

Task<Result<HttpResponse>> HttpClient::stream(HttpRequest request, TimePoint deadline, HttpStreamHandler handler, std::shared_ptr<HttpCancellation> cancellation)
{
    const auto state = m_state;
    const auto isAbandoned = [&] { return cancellation && cancellation->isCancelled(); };
    if (isAbandoned())
        co_return failure(ErrorCode::NotSent, "abandoned before it was sent", state->place());
    struct ClearOnExit {
        HttpCancellation* cancellation;
        ~ClearOnExit()
        {
            if (cancellation)
                cancellation->m_close = nullptr;
        }
    } clearOnExit { cancellation.get() };

    auto connection = state->takeIdle();
    auto message = toBeast(request, state->endpoint);
    std::optional<AnswerParser> begun;
    beast::error_code error;
    do {
        if (!connection) {
            auto connected = co_await state->connect(deadline);
            if (!connected)
                co_return failure(connected.error().code, connected.error().message, connected.error().where);
            connection = std::move(connected.value());
        }
        if (isAbandoned())
            co_return failure(ErrorCode::NotSent, "abandoned before it was sent", state->place());
        if (cancellation)
            cancellation->m_close = [stream = &connection->stream] { stream->cancel(); };
        connection->stream.expires_at(deadline);
        begun.emplace();
        error = co_await state->begin(*connection, message, *begun);
        if (!error)
            break;
        const auto broken = state->brokenExchange(*connection, error, cancellation.get());
        const bool wasIdleTooLong = connection->isReused && !begun->got_some() && isClosedByServer(error);
        if (!request.mayRepeat || !wasIdleTooLong || isAbandoned())
            co_return broken;
        if (cancellation)
            cancellation->m_close = nullptr;
        connection.reset();
    } while (true);
    auto& parser = *begun;
    const auto head = headOf(parser);
    if (parser.need_eof())
        co_return failure(ErrorCode::OutcomeUnknown, "the answer states no length", state->place());
    if (handler.onHead) {
        const bool goesOn = co_await handler.onHead(head);
        if (!goesOn)
            co_return failure(ErrorCode::Cancelled, "abandoned by the caller", state->place());
    }

    auto& buffer = connection->part;
    bool hasStarted = false;
    while (!parser.is_done()) {
        if (hasStarted && handler.stallTimeout.count() > 0)
            connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + handler.stallTimeout));
        const auto length = co_await State::readPart(*connection, parser, buffer, error);
        if (error)
            co_return state->brokenExchange(*connection, error, cancellation.get());
        hasStarted = hasStarted || length > 0;
        if (length == 0 || !handler.onPart)
            continue;
        const bool goesOn = co_await handler.onPart(std::string_view(buffer.data(), length));
        if (!goesOn)
            co_return failure(ErrorCode::Cancelled, "abandoned by the caller", state->place());
    }
    if (parser.keep_alive() && connection->buffer.size() == 0 && !(cancellation && cancellation->isCancelled()))
        state->keep(std::move(connection), idleTimeAfter(head, state->options));
    co_return head;
}

} // namespace cicadalb
