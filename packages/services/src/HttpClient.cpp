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

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace cicadalb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    /// Maximum size of an answer's header.
    constexpr std::uint32_t maximumHeaderBytes = 16U << 10U;
    /// Time before the server's idle timeout at which the client stops reusing a connection, because a request in transit when the server closes
    /// the connection would be lost.
    constexpr std::chrono::milliseconds keepAliveMargin { 1000 };
    /// Bytes that are kept while a chunk's header or the trailer is incomplete; a header of maximumHeaderBytes and the bytes read ahead fit.
    constexpr std::size_t maximumBufferBytes = std::size_t { 2 } * maximumHeaderBytes;
    /// Number of requests after which a connection is closed, which bounds the ids that it remembers.
    constexpr std::size_t maximumRequestsPerConnection = 1000;
    /// Maximum size of the parts in which the body of an answer is read.
    constexpr std::size_t maximumPartBytes = std::size_t { 16 } << 10U;

    /// Larger bodies of requests are written from where they are; smaller ones share a write with the head.
    constexpr std::size_t maximumCopiedBytes = std::size_t { 16 } << 10U;

    /// Larger buffers are not kept with an idle connection.
    constexpr std::size_t maximumIdleBufferBytes = std::size_t { 8 } << 10U;

    /// Maximum number of interim answers (1xx) before the final one.
    constexpr unsigned maximumInterimAnswers = 16;

    struct Connection {
        explicit Connection(const asio::any_io_executor& executor)
            : stream(executor)
        {
        }
        /// Closing the socket resets the connection unless its last exchange has ended with a complete answer.
        ~Connection()
        {
            beast::error_code error;
            if (!isAnswerPending)
                stream.socket().set_option(asio::socket_base::linger(false, 0), error);
        }
        Connection(const Connection&) = delete;
        Connection& operator=(const Connection&) = delete;

        beast::tcp_stream stream;
        beast::flat_buffer buffer { maximumBufferBytes };
        beast::flat_buffer output;
        /// The connection is not reused after this time.
        TimePoint usableUntil;
        bool isReused = false;
        /// Whether a request may have been written whose complete answer was not read.
        bool isAnswerPending = false;
        /// Bytes of the current request that were handed to the socket.
        std::size_t bytesWritten = 0;
        /// Whether the header of an answer was read since the current request was written.
        bool hasReceivedHeader = false;
        /// Hashes of the ids of all requests that were sent.
        std::vector<std::size_t> sentIds;
        bool hasSentWithoutId = false;
        /// Buffer for one part of an answer's body. Kept with the connection, because a new buffer would be zero-filled for each answer.
        std::string partBuffer = std::string(maximumPartBytes, '\0');
    };

    using AnswerParser = http::response_parser<http::buffer_body>;

    std::size_t hashOf(std::string_view id) { return std::hash<std::string_view> {}(id); }

    /// Whether the connection has carried a request with this id.
    bool hasSent(const Connection& connection, std::string_view id)
    {
        return std::find(connection.sentIds.begin(), connection.sentIds.end(), hashOf(id)) != connection.sentIds.end();
    }

    /// Whether an answer to an earlier request on the connection could be taken for the answer to this one.
    bool mayConfuseAnswers(const Connection& connection, const ExchangeId& id)
    {
        return !id.value.empty() && (connection.hasSentWithoutId || hasSent(connection, id.value));
    }

    void recordSent(Connection& connection, const ExchangeId& id)
    {
        if (id.value.empty())
            connection.hasSentWithoutId = true;
        else
            connection.sentIds.push_back(hashOf(id.value));
    }

    /// Whether an answer is the second one to an earlier request on the connection.
    bool isRepeatedAnswer(const Connection& connection, const AnswerParser& parser, const ExchangeId& id)
    {
        if (id.value.empty() || id.answerField.empty())
            return false;
        const std::string_view answered = parser.get()[id.answerField];
        return !answered.empty() && answered != id.value && hasSent(connection, answered);
    }

    bool isAnswerTo(const HttpResponse& head, const ExchangeId& id)
    {
        return id.value.empty() || id.answerField.empty() || head.field(id.answerField) == id.value;
    }

    bool isInterim(const AnswerParser& parser) { return parser.get().result_int() / 100 == 1; }

    /// Whether the transfer coding is one that the client has to understand: chunked alone, in HTTP/1.1.
    bool hasValidTransferCoding(const http::response<http::buffer_body>& answer)
    {
        const auto codings = answer.equal_range(http::field::transfer_encoding);
        return std::distance(codings.first, codings.second) == 1 && beast::iequals(codings.first->value(), "chunked") && answer.version() == 11;
    }

    /// Checks of RFC 9110 (status codes) and RFC 9112 (framing) that the parser does not make.
    beast::error_code checkHeader(const AnswerParser& parser)
    {
        constexpr unsigned lowestStatus = 100;
        constexpr unsigned highestStatus = 599;
        constexpr unsigned switchingProtocols = 101;
        constexpr unsigned noContent = 204;
        const auto& answer = parser.get();
        const auto status = answer.result_int();
        if (status < lowestStatus || status > highestStatus || status == switchingProtocols)
            return http::make_error_code(http::error::bad_status);
        const auto length = answer[http::field::content_length];
        const bool isCoded = answer.find(http::field::transfer_encoding) != answer.end();
        if (isCoded && (!hasValidTransferCoding(answer) || isInterim(parser) || status == noContent))
            return http::make_error_code(http::error::bad_transfer_encoding);
        if ((isInterim(parser) && !length.empty()) || (status == noContent && length.find_first_not_of('0') != std::string_view::npos))
            return http::make_error_code(http::error::bad_content_length);
        return {};
    }

    /// Rejects control characters in the extensions of a chunk, which the parser accepts in quoted strings.
    void checkChunkHeader(std::uint64_t, beast::string_view extensions, beast::error_code& error)
    {
        const auto isControlCharacter = [](unsigned char character) { return (character < 0x20 && character != '\t') || character == 0x7f; };
        if (std::any_of(extensions.begin(), extensions.end(), isControlCharacter))
            error = http::error::bad_chunk_extension;
    }

    using ConnectionPointer = std::unique_ptr<Connection>;

    /// Idle connections keep only small buffers.
    void releaseLargeBuffer(beast::flat_buffer& buffer)
    {
        if (buffer.capacity() > maximumIdleBufferBytes)
            buffer = beast::flat_buffer(buffer.max_size());
    }

    auto completionToken(beast::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

    /// Head of a request; its body is written from where it is.
    http::request<http::empty_body> headOf(const HttpRequest& request, const Endpoint& endpoint)
    {
        http::request<http::empty_body> message;
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        if (fieldIn(request.fields, "Host").empty())
            message.set(http::field::host, endpoint.address + ":" + std::to_string(endpoint.port));
        for (const auto& [name, value] : request.fields)
            message.insert(name, value);
        const auto method = message.method();
        if (!request.body.empty() || method == http::verb::post || method == http::verb::put || method == http::verb::options)
            message.content_length(request.body.size());
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

    /// Time for which the server keeps an idle connection, from its Keep-Alive field ("timeout=10"), if it states one.
    std::optional<std::chrono::seconds> keepAliveTimeout(const HttpResponse& head)
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

    Duration allowedIdleTime(const HttpResponse& head, const HttpClientOptions& options)
    {
        const auto serverTimeout = keepAliveTimeout(head);
        if (!serverTimeout || options.maximumKeepAliveTimeout.count() == 0)
            return options.idleTimeout;
        return std::min<Duration>(options.maximumKeepAliveTimeout, std::max<Duration>(Duration::zero(), *serverTimeout - keepAliveMargin));
    }

    /// Whether the server closed the connection, as opposed to a timeout or a cancelled exchange.
    bool isClosedByServer(const beast::error_code& error)
    {
        return error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::broken_pipe || error == asio::error::eof;
    }

    using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

    /// Sets the socket options of a new connection. None of them affects the correctness of answers, so failures are ignored.
    void setSocketOptions(asio::ip::tcp::socket& socket, const HttpClientOptions& options)
    {
        constexpr int probeSeconds = 1;
        beast::error_code error;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        socket.set_option(asio::socket_base::keep_alive(true), error);
        // A close on timeout drops what was not delivered, so that the server does not receive a request that was given up.
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.set_option(KeepAliveIdle(probeSeconds), error);
        socket.set_option(KeepAliveInterval(probeSeconds), error);
        socket.set_option(UserTimeout(static_cast<int>(options.acknowledgementTimeout.count())), error);
        socket.non_blocking(true, error);
    }

    /// Whether the server has neither closed the idle connection nor sent anything on it.
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
    m_isCancelled = true;
    if (m_cancelStream)
        m_cancelStream();
}

struct HttpClient::State {
    asio::any_io_executor executor;
    Endpoint endpoint;
    HttpClientOptions options;
    std::mutex mutex;
    std::deque<ConnectionPointer> idle;

    /// The idle connection that was used last, of those that are suitable for a request with this id; null if there is none.
    ConnectionPointer takeIdle(const ExchangeId& id)
    {
        const std::lock_guard lock(mutex);
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(idle, [&](const auto& connection) { return connection->usableUntil <= now; });
        for (auto entry = idle.rbegin(); entry != idle.rend();) {
            if (mayConfuseAnswers(**entry, id)) {
                ++entry;
                continue;
            }
            auto connection = std::move(*entry);
            entry = std::make_reverse_iterator(idle.erase(std::next(entry).base()));
            if (isReusable(*connection)) {
                connection->isReused = true;
                return connection;
            }
        }
        return nullptr;
    }

    void closeIdle()
    {
        const std::lock_guard lock(mutex);
        idle.clear();
    }

    void returnToPool(ConnectionPointer connection, Duration idleTime)
    {
        if (connection->sentIds.size() >= maximumRequestsPerConnection)
            return;
        connection->stream.expires_never();
        releaseLargeBuffer(connection->output);
        releaseLargeBuffer(connection->buffer);
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
            co_return failure(ErrorCode::NotSent, "not an IP address", endpoint.address);
        auto connection = std::make_unique<Connection>(executor);
        connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + options.connectTimeout));
        co_await connection->stream.async_connect(asio::ip::tcp::endpoint(address, endpoint.port), completionToken(error));
        if (error)
            co_return failure(ErrorCode::NotSent, "cannot connect: " + error.message(), serverAddress());
        setSocketOptions(connection->stream.socket(), options);
        co_return std::move(connection);
    }

    std::string serverAddress() const { return endpoint.address + ":" + std::to_string(endpoint.port); }

    /// Error of an exchange that failed after its connection was established.
    Error exchangeError(const Connection& connection, const beast::error_code& error, const HttpCancellation* cancellation) const
    {
        if (cancellation && cancellation->isCancelled())
            return Error { ErrorCode::Cancelled, "cancelled by the caller", serverAddress() };
        if (connection.bytesWritten == 0)
            return Error { ErrorCode::NotSent, error.message(), serverAddress() };
        return Error { ErrorCode::OutcomeUnknown, error.message(), serverAddress() };
    }

    Task<beast::error_code> write(Connection& connection, http::request<http::empty_body>& head, const MessageBody& body)
    {
        beast::error_code error;
        connection.output.clear();
        detail::appendMessage(head, connection.output);
        const bool isCopied = body.size() <= maximumCopiedBytes;
        if (isCopied)
            connection.output.commit(asio::buffer_copy(connection.output.prepare(body.size()), asio::buffer(body.text())));
        connection.bytesWritten = 0;
        connection.hasReceivedHeader = false;
        const std::array<asio::const_buffer, 2> buffers { connection.output.cdata(), isCopied ? asio::const_buffer() : asio::buffer(body.text()) };
        connection.bytesWritten = co_await asio::async_write(connection.stream, buffers, completionToken(error));
        co_return error;
    }

    /// Reads the header of an answer.
    static Task<beast::error_code> readHeader(Connection& connection, std::optional<AnswerParser>& parser, bool hasBody, MessageMemory::Share& memory)
    {
        beast::error_code error;
        parser.emplace();
        parser->header_limit(maximumHeaderBytes);
        parser->body_limit(boost::none);
        parser->skip(!hasBody);
        static std::function<void(std::uint64_t, beast::string_view, beast::error_code&)> chunkCheck = checkChunkHeader;
        parser->on_chunk_header(chunkCheck);
        while (!parser->is_header_done() && !error) {
            co_await http::async_read_some(connection.stream, connection.buffer, *parser, completionToken(error));
            if (!error && !memory.resize(connection.buffer.capacity()))
                error = make_error_code(boost::system::errc::not_enough_memory);
        }
        if (error)
            co_return error;
        connection.hasReceivedHeader = true;
        co_return checkHeader(*parser);
    }

    /// Reads the header of a final answer. Interim answers before it are skipped.
    static Task<beast::error_code> readFinalHeader(Connection& connection, std::optional<AnswerParser>& parser, bool hasBody, MessageMemory::Share& memory)
    {
        auto error = co_await readHeader(connection, parser, hasBody, memory);
        for (unsigned interim = 0; !error && isInterim(*parser); ++interim) {
            if (interim == maximumInterimAnswers)
                co_return http::make_error_code(http::error::bad_status);
            error = co_await readHeader(connection, parser, hasBody, memory);
        }
        co_return error;
    }

    /// Sends a request and reads the header of its answer. Second answers to earlier requests are skipped.
    Task<beast::error_code> sendAndReadHeader(Connection& connection, http::request<http::empty_body>& message, const MessageBody& body, const ExchangeId& id, std::optional<AnswerParser>& parser, MessageMemory::Share& memory)
    {
        parser.emplace();
        beast::error_code error = co_await write(connection, message, body);
        if (error)
            co_return error;
        const bool hasBody = message.method() != http::verb::head;
        error = co_await readFinalHeader(connection, parser, hasBody, memory);
        while (!error && !parser->need_eof() && isRepeatedAnswer(connection, *parser, id)) {
            while (!error && !parser->is_done())
                co_await readPart(connection, *parser, connection.partBuffer, error);
            if (!error)
                error = co_await readFinalHeader(connection, parser, hasBody, memory);
        }
        co_return error;
    }

    /// Reads one part of the body into @p buffer and returns its length, which is 0 at the end of the answer.
    static Task<std::size_t> readPart(Connection& connection, AnswerParser& parser, std::string& buffer, beast::error_code& error)
    {
        parser.get().body().data = buffer.data();
        parser.get().body().size = buffer.size();
        co_await http::async_read_some(connection.stream, connection.buffer, parser, completionToken(error));
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

Task<boost::system::error_code> HttpClient::tryConnecting(std::chrono::milliseconds timeout)
{
    beast::tcp_stream stream(m_state->executor);
    beast::error_code error;
    const auto address = asio::ip::make_address(m_state->endpoint.address, error);
    if (error)
        co_return error;
    stream.expires_after(timeout);
    co_await stream.async_connect(asio::ip::tcp::endpoint(address, m_state->endpoint.port), completionToken(error));
    co_return error;
}

Task<bool> HttpClient::refusesConnections(std::chrono::milliseconds timeout)
{
    const auto error = co_await tryConnecting(timeout);
    co_return error == asio::error::connection_refused;
}

Task<bool> HttpClient::acceptsConnections(std::chrono::milliseconds timeout)
{
    const auto error = co_await tryConnecting(timeout);
    co_return !error;
}

const Endpoint& HttpClient::endpoint() const noexcept { return m_state->endpoint; }

std::size_t HttpClient::idleConnections() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->idle.size();
}

void HttpClient::closeExpired()
{
    const std::lock_guard lock(m_state->mutex);
    std::erase_if(m_state->idle, [](const auto& connection) { return connection->usableUntil <= std::chrono::steady_clock::now() || !isReusable(*connection); });
}

Task<Result<HttpResponse>> HttpClient::send(HttpRequest request, TimePoint deadline, std::shared_ptr<HttpCancellation> cancellation)
{
    std::string body;
    std::string_view obstacle;
    const auto maximum = m_state->options.maximumBodyBytes;
    const auto memory = std::make_shared<MessageMemory::Share>(m_state->options.memory);
    HttpStreamHandler handler;
    handler.memory = memory;
    handler.onPart = [&body, &obstacle, &memory, limit = request.maximumAnswerBytes > 0 ? std::min(request.maximumAnswerBytes, maximum) : maximum](std::string_view part) -> Task<bool> {
        const auto size = body.size() + part.size();
        const auto capacity = size <= body.capacity() ? body.capacity() : std::max(size, std::min(2 * body.capacity(), limit));
        if (size > limit)
            obstacle = "the body of the answer exceeds the maximum size";
        else if (!memory->resize(capacity))
            obstacle = "the answers of all calls exceed their memory";
        if (!obstacle.empty())
            co_return false;
        body.reserve(capacity);
        body.append(part);
        co_return true;
    };
    auto response = co_await stream(std::move(request), deadline, std::move(handler), std::move(cancellation));
    if (!obstacle.empty())
        co_return failure(ErrorCode::AnswerInvalid, std::string(obstacle), m_state->serverAddress());
    if (response && !body.empty()) {
        response.value().body = std::move(body);
        response.value().memory = memory;
    }
    co_return response;
}

Task<Result<HttpResponse>> HttpClient::stream(HttpRequest request, TimePoint deadline, HttpStreamHandler handler, std::shared_ptr<HttpCancellation> cancellation)
{
    const auto state = m_state;
    const auto isCancelled = [&] { return cancellation && cancellation->isCancelled(); };
    if (isCancelled())
        co_return failure(ErrorCode::NotSent, "cancelled before it was sent", state->serverAddress());
    struct ClearOnExit {
        HttpCancellation* cancellation;
        ~ClearOnExit()
        {
            if (cancellation)
                cancellation->m_cancelStream = nullptr;
        }
    } clearOnExit { cancellation.get() };

    const auto memory = handler.memory ? std::move(handler.memory) : std::make_shared<MessageMemory::Share>(state->options.memory);
    auto connection = state->takeIdle(request.exchangeId);
    auto message = headOf(request, state->endpoint);
    std::optional<AnswerParser> attemptParser;
    beast::error_code error;
    bool mayHaveRun = false;
    TimePoint sentAt;
    do {
        if (!connection) {
            auto connected = co_await state->connect(deadline);
            if (!connected)
                co_return failure(mayHaveRun ? ErrorCode::OutcomeUnknown : connected.error().code, connected.error().message, connected.error().where);
            connection = std::move(connected.value());
        }
        const auto unsentCode = mayHaveRun ? ErrorCode::OutcomeUnknown : ErrorCode::NotSent;
        if (isCancelled())
            co_return failure(unsentCode, "cancelled before it was sent", state->serverAddress());
        if (request.mayBeSent && !request.mayBeSent())
            co_return failure(unsentCode, "its sender no longer permits it to be sent", state->serverAddress());
        if (cancellation)
            cancellation->m_cancelStream = [stream = &connection->stream] { stream->cancel(); };
        const auto silenceTimeout = state->options.reusedConnectionTimeout;
        const bool mayBeSilent = connection->isReused && request.mayRepeat && silenceTimeout.count() > 0;
        connection->stream.expires_at(mayBeSilent ? std::min(deadline, std::chrono::steady_clock::now() + silenceTimeout) : deadline);
        recordSent(*connection, request.exchangeId);
        connection->isAnswerPending = true;
        sentAt = std::chrono::steady_clock::now();
        error = co_await state->sendAndReadHeader(*connection, message, request.body, request.exchangeId, attemptParser, *memory);
        connection->stream.expires_at(deadline);
        if (!error)
            break;
        const auto lastError = state->exchangeError(*connection, error, cancellation.get());
        const bool hasReceived = connection->hasReceivedHeader || attemptParser->got_some();
        const bool wasClosedWhileIdle = connection->isReused && !hasReceived && isClosedByServer(error);
        const bool wasSilent = mayBeSilent && !hasReceived && error == beast::error::timeout && std::chrono::steady_clock::now() < deadline;
        mayHaveRun = mayHaveRun || connection->bytesWritten > 0;
        if (wasSilent)
            state->closeIdle();
        if (!request.mayRepeat || !(wasClosedWhileIdle || wasSilent) || isCancelled())
            co_return lastError;
        if (cancellation)
            cancellation->m_cancelStream = nullptr;
        connection.reset();
    } while (true);
    auto& parser = *attemptParser;
    auto head = headOf(parser);
    head.sentAt = sentAt;
    head.headAt = std::chrono::steady_clock::now();
    if (parser.need_eof())
        co_return failure(ErrorCode::OutcomeUnknown, "the answer has neither Content-Length nor chunked encoding", state->serverAddress());
    if (handler.onHead) {
        const bool shouldContinue = co_await handler.onHead(head);
        if (!shouldContinue)
            co_return failure(ErrorCode::Cancelled, "cancelled by the caller", state->serverAddress());
    }

    auto& buffer = connection->partBuffer;
    bool hasReceivedPart = false;
    while (!parser.is_done()) {
        if (hasReceivedPart && handler.stallTimeout.count() > 0)
            connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + handler.stallTimeout));
        const auto length = co_await State::readPart(*connection, parser, buffer, error);
        if (error)
            co_return state->exchangeError(*connection, error, cancellation.get());
        hasReceivedPart = hasReceivedPart || length > 0;
        if (length == 0 || !handler.onPart)
            continue;
        const bool shouldContinue = co_await handler.onPart(std::string_view(buffer.data(), length));
        if (!shouldContinue)
            co_return failure(ErrorCode::Cancelled, "cancelled by the caller", state->serverAddress());
    }
    // A connection that has carried an answer with another id may still owe the answer to this request.
    connection->isAnswerPending = !isAnswerTo(head, request.exchangeId);
    if (parser.keep_alive() && connection->buffer.size() == 0 && !connection->isAnswerPending && !(cancellation && cancellation->isCancelled()))
        state->returnToPool(std::move(connection), allowedIdleTime(head, state->options));
    co_return head;
}

} // namespace cicadalb
