#include "HttpSession.h"

#include "Problem.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/services/detail/FlatMessage.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace cicadalb::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    using std::chrono::milliseconds;

    /// Idle timeout of connections once the listener is stopping.
    constexpr milliseconds stoppingIdleTimeout { 200 };
    constexpr std::size_t firstReadBytes = 4096;
    /// Larger bodies are written from where they are.
    constexpr std::size_t maximumCopiedBytes = std::size_t { 16 } << 10U;
    /// Larger buffers are not kept after a message.
    constexpr std::size_t maximumIdleBufferBytes = std::size_t { 8 } << 10U;
    /// Memory of a connection besides its buffers: the session, its timers and the frames of its coroutines.
    constexpr std::size_t connectionBytes = std::size_t { 8 } << 10U;
    /// The fields of a request are held as text of the message, by the parser, and for the request that is sent on.
    constexpr std::size_t copiesOfHead = 3;
    /// Memory of a field in all of these, besides its text.
    constexpr std::size_t fieldBytes = 384;
    /// The memory of a body of unknown length is taken in steps of this size.
    constexpr std::size_t bodyStepBytes = std::size_t { 64 } << 10U;
    /// Larger bodies of unknown length are given a block of the maximum size.
    constexpr std::size_t largeBodyBytes = std::size_t { 1 } << 20U;
    /// Answers up to this size are sent even if there is no memory left for them.
    constexpr std::size_t maximumUncountedAnswerBytes = std::size_t { 16 } << 10U;
    /// Time allowed for stalled senders to give their memory back, and interval at which it is checked.
    constexpr milliseconds reclaimTime { 50 };
    constexpr milliseconds reclaimPollInterval { 5 };
    /// Time for which a refused caller may read its answer, and bytes of its request that are discarded meanwhile.
    constexpr milliseconds lingerTime { 1000 };
    constexpr std::size_t maximumLingerBytes = std::size_t { 256 } << 10U;

    auto completionToken(beast::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

    beast::error_code outOfMemory() { return make_error_code(boost::system::errc::not_enough_memory); }

    /// HTTP status for a request that could not be read.
    unsigned statusFor(const beast::error_code& error)
    {
        if (error == http::error::body_limit)
            return 413;
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return 431;
        if (error == beast::error::timeout)
            return 408;
        return error == outOfMemory() ? 503 : 400;
    }

    /// Counts an object as one more for as long as it exists.
    class InFlightGuard {
    public:
        explicit InFlightGuard(std::atomic<std::size_t>& counter)
            : m_count(counter)
        {
            ++m_count;
        }
        InFlightGuard(const InFlightGuard&) = delete;
        InFlightGuard& operator=(const InFlightGuard&) = delete;
        ~InFlightGuard() { --m_count; }

    private:
        std::atomic<std::size_t>& m_count;
    };

} // namespace

HttpSession::HttpSession(asio::ip::tcp::socket socket, const HttpListenerOptions& options, ListenerState& state, WaitingSessions& waitingSessions, std::size_t worker)
    : m_stream(std::move(socket))
    , m_options(options)
    , m_state(state)
    , m_waitingSessions(waitingSessions)
    , m_worker(worker)
    , m_memory(options.memory)
{
}

HttpSession::~HttpSession() = default;

Task<void> HttpSession::run(const ServerHandler& handler)
{
    beast::error_code error;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    bool isReusable = co_await reserveConnection(firstReadBytes);
    while (isReusable)
        isReusable = co_await serveOneRequest(handler);
    endWaiting();
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (m_hasUnreadRequest)
        co_await linger();
}

void HttpSession::closeIfIdle()
{
    beast::error_code error;
    if (m_isBetweenRequests && m_stream.socket().available(error) == 0)
        m_stream.cancel();
}

void HttpSession::close()
{
    endWaiting();
    m_stream.close();
}

void HttpSession::giveUp()
{
    // The request may have been read completely before this call.
    if (!m_waiting)
        return;
    m_hasGivenUp = true;
    m_stream.cancel();
}

void HttpSession::beginWaiting()
{
    m_waiting = m_waitingSessions.insert(m_waitingSessions.end(), this);
    m_memory.offer([executor = m_stream.get_executor(), weak = weak_from_this()] {
        asio::post(executor, [weak] {
            if (const auto session = weak.lock())
                session->giveUp();
        });
    },
        std::chrono::steady_clock::now());
}

void HttpSession::noteProgress()
{
    if (!m_waiting)
        return;
    m_waitingSessions.splice(m_waitingSessions.end(), m_waitingSessions, *m_waiting);
    m_memory.noteProgress(std::chrono::steady_clock::now(), m_memory.size() + (m_bodyMemory ? m_bodyMemory->size() : 0));
}

void HttpSession::endWaiting()
{
    if (!m_waiting)
        return;
    m_waitingSessions.erase(*m_waiting);
    m_waiting.reset();
    m_memory.keep();
}

Task<bool> HttpSession::reserve(MessageMemory::Share& share, std::size_t bytes)
{
    if (share.resize(bytes))
        co_return true;
    const auto limit = std::chrono::steady_clock::now() + reclaimTime;
    asio::steady_timer timer(m_stream.get_executor());
    while (m_options.memory->reclaim(bytes - share.size(), std::chrono::steady_clock::now()) || std::chrono::steady_clock::now() < limit) {
        beast::error_code error;
        timer.expires_after(reclaimPollInterval);
        co_await timer.async_wait(completionToken(error));
        if (share.resize(bytes))
            co_return true;
    }
    co_return false;
}

Task<bool> HttpSession::reserveConnection(std::size_t bufferGrowth)
{
    return reserve(m_memory, connectionBytes + m_buffer.capacity() + m_output.capacity() + m_headBytes + bufferGrowth);
}

std::size_t HttpSession::parsedHeadBytes() const
{
    const std::string_view text(static_cast<const char*>(m_buffer.cdata().data()), m_buffer.size());
    const auto head = text.substr(0, text.find("\r\n\r\n"));
    return copiesOfHead * head.size() + fieldBytes * static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
}

void HttpSession::releaseLargeBuffers()
{
    m_headBytes = 0;
    if (m_output.capacity() > maximumIdleBufferBytes)
        m_output = beast::flat_buffer();
    if (m_buffer.size() == 0 && m_buffer.capacity() > maximumIdleBufferBytes)
        m_buffer = beast::flat_buffer();
    (void)m_memory.resize(connectionBytes + m_buffer.capacity() + m_output.capacity());
}

Task<bool> HttpSession::serveOneRequest(const ServerHandler& handler)
{
    m_hasBegun = false;
    m_isAnswered = false;
    m_isHeadRequest = false;
    m_requestKeepsAlive = false;
    const auto limits = m_state.limits();
    beginWaiting();
    const bool hasRequest = co_await waitForRequest(limits);
    if (!hasRequest)
        co_return false;
    const InFlightGuard guard(m_state.inFlight);
    std::optional<RequestParser> parser(std::in_place);
    parser->header_limit(limits.maximumHeaderBytes);
    parser->body_limit(limits.maximumBodyBytes);
    ServerRequest request;
    auto error = co_await readRequest(*parser, limits, request);
    endWaiting();
    if (m_hasGivenUp)
        error = outOfMemory();
    if (error) {
        parser.reset();
        request.body = MessageBody();
        m_bodyMemory.reset();
        m_requestKeepsAlive = false;
        m_hasUnreadRequest = true;
        co_await refuse(error);
        co_return false;
    }
    parser.reset();
    m_stream.expires_never();
    co_await handler(request, *this);
    stopWatchingCaller();
    releaseLargeBuffers();
    co_return m_isAnswered&& mayKeepAlive();
}

Task<bool> HttpSession::waitForRequest(const RequestLimits& limits)
{
    if (m_buffer.size() > 0)
        co_return true;
    m_isBetweenRequests = true;
    m_stream.expires_after(m_state.isStopping ? stoppingIdleTimeout : limits.idleTimeout);
    beast::error_code error;
    const auto length = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), completionToken(error));
    m_isBetweenRequests = false;
    m_buffer.commit(length);
    noteProgress();
    co_return !error;
}

Task<HttpSession::ErrorCodeType> HttpSession::readRequest(RequestParser& parser, const RequestLimits& limits, ServerRequest& request)
{
    // Bounds what has to be buffered as a whole: the head, the header of a chunk, and the trailer.
    m_buffer.max_size(std::max({ firstReadBytes, std::size_t { 2 } * limits.maximumHeaderBytes, m_buffer.size() }));
    m_stream.expires_after(limits.headerTimeout);
    auto error = co_await readHead(parser);
    if (error)
        co_return error;
    m_requestKeepsAlive = parser.get().keep_alive();
    m_isHeadRequest = parser.get().method() == http::verb::head;
    m_isSafeRequest = m_isHeadRequest || parser.get().method() == http::verb::get;
    // Without the fields of a trailer, which are not counted, and are not header fields (RFC 9110, section 6.5.1).
    takeHead(parser, request);
    m_stream.expires_after(m_options.bodyTimeout);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> continueResponse { http::status::continue_, 11 };
        co_await http::async_write(m_stream, continueResponse, completionToken(error));
    }
    if (!error)
        error = co_await readBody(parser, limits);
    request.body = MessageBody(std::move(parser.get().body()), std::move(m_bodyMemory));
    request.receivedAt = std::chrono::steady_clock::now();
    co_return error;
}

Task<HttpSession::ErrorCodeType> HttpSession::readHead(RequestParser& parser)
{
    while (!parser.is_header_done()) {
        // Counted before it is parsed: a head of short fields takes many times its size.
        m_headBytes = parsedHeadBytes();
        const bool hasMemory = co_await reserveConnection(0);
        if (!hasMemory)
            co_return outOfMemory();
        const auto error = co_await readSome(parser);
        if (error)
            co_return error;
    }
    const auto length = parser.content_length();
    if (length && *length > 0) {
        m_bodyMemory = std::make_shared<MessageMemory::Share>(m_options.memory);
        const bool hasMemoryForBody = co_await reserve(*m_bodyMemory, *length);
        if (!hasMemoryForBody)
            co_return outOfMemory();
        noteProgress();
    }
    co_return beast::error_code();
}

Task<HttpSession::ErrorCodeType> HttpSession::readBody(RequestParser& parser, const RequestLimits& limits)
{
    while (!parser.is_done()) {
        const auto error = co_await readSome(parser);
        if (error)
            co_return error;
        const auto size = parser.get().body().size();
        if (size == 0 || (m_bodyMemory && size <= m_bodyMemory->size()))
            continue;
        if (!m_bodyMemory)
            m_bodyMemory = std::make_shared<MessageMemory::Share>(m_options.memory);
        // A large body would take twice its size for a moment whenever it is moved to a larger block. Only what is written takes memory.
        if (size > largeBodyBytes)
            parser.get().body().reserve(limits.maximumBodyBytes);
        const bool hasMemory = co_await reserve(*m_bodyMemory, (size / bodyStepBytes + 1) * bodyStepBytes);
        if (!hasMemory)
            co_return outOfMemory();
    }
    co_return beast::error_code();
}

Task<HttpSession::ErrorCodeType> HttpSession::readSome(RequestParser& parser)
{
    beast::error_code error;
    if (m_buffer.size() > 0) {
        const auto length = parser.put(m_buffer.data(), error);
        m_buffer.consume(length);
        if (error != http::error::need_more && (error || length > 0))
            co_return error;
        error = {};
    }
    const auto length = beast::read_size(m_buffer, m_buffer.max_size());
    if (length == 0)
        co_return http::error::buffer_overflow;
    if (m_buffer.size() + length > m_buffer.capacity()) {
        const bool hasMemory = co_await reserveConnection(m_buffer.size() + length);
        if (!hasMemory)
            co_return outOfMemory();
    }
    const auto received = co_await m_stream.async_read_some(m_buffer.prepare(length), completionToken(error));
    m_buffer.commit(received);
    noteProgress();
    if (error == asio::error::eof) {
        if (!parser.got_some())
            co_return http::error::end_of_stream;
        error = {};
        parser.put_eof(error);
    }
    co_return error;
}

void HttpSession::takeHead(const RequestParser& parser, ServerRequest& request) const
{
    const auto& message = parser.get();
    request.method = std::string(message.method_string());
    const std::string_view target(message.target().data(), message.target().size());
    const auto queryStart = target.find('?');
    request.path = std::string(target.substr(0, queryStart));
    if (queryStart != std::string_view::npos)
        request.query = std::string(target.substr(queryStart + 1));
    request.fields.reserve(8);
    for (const auto& field : message)
        request.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.worker = m_worker;
}

Task<void> HttpSession::refuse(ErrorCodeType error)
{
    const auto status = statusFor(error);
    if (error == outOfMemory()) {
        m_options.memory->countRefusal();
        logEvent(Event::MessageRefused, { { "listener", m_options.name }, { "memory-used", std::to_string(m_options.memory->used()) }, { "stalled", m_hasGivenUp ? "yes" : "no" } });
        co_await send(overloadResponse());
        co_return;
    }
    logEvent(Event::RequestMalformed, { { "cause", error.message() } });
    ProblemDetails details;
    details.status = status;
    auto response = problemResponse(Error { ErrorCode::RequestInvalid, error.message(), "request" }, details);
    co_await send(std::move(response));
}

Task<void> HttpSession::linger()
{
    m_buffer.clear();
    releaseLargeBuffers();
    const auto endsAt = std::chrono::steady_clock::now() + (m_state.isStopping ? stoppingIdleTimeout : lingerTime);
    m_stream.expires_at(endsAt);
    beast::error_code error;
    std::size_t discardedBytes = 0;
    while (!error && discardedBytes < maximumLingerBytes)
        discardedBytes += co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), completionToken(error));
    if (error)
        co_return;
    // The caller goes on sending. It is not read any further, but can still read its answer.
    asio::steady_timer timer(m_stream.get_executor(), endsAt);
    co_await timer.async_wait(completionToken(error));
}

Task<bool> HttpSession::send(HttpResponse response)
{
    if (!response.memory && response.body.size() > maximumUncountedAnswerBytes) {
        response.memory = std::make_shared<MessageMemory::Share>(m_options.memory);
        // Refused at once: the answer itself takes memory while it waits.
        if (!response.memory->resize(response.body.size())) {
            (void)m_options.memory->reclaim(response.body.size(), std::chrono::steady_clock::now());
            m_options.memory->countRefusal();
            logEvent(Event::MessageRefused, { { "listener", m_options.name }, { "memory-used", std::to_string(m_options.memory->used()) }, { "answer-bytes", std::to_string(response.body.size()) } });
            // Another request than a read may have had an effect, so that 503 would promise too much.
            if (!m_isSafeRequest) {
                close();
                co_return false;
            }
            response = overloadResponse();
        }
    }
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

Task<bool> HttpSession::beginStream(HttpResponse head)
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

Task<bool> HttpSession::writeChunk(std::string_view part)
{
    m_stream.expires_after(m_options.writeTimeout);
    beast::error_code error;
    co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(part)), completionToken(error));
    co_return !error;
}

Task<bool> HttpSession::endStream(HttpFields trailer)
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

void HttpSession::onCallerDisconnected(std::function<void()> handler)
{
    m_callerGoneCallback = std::make_shared<std::function<void()>>(std::move(handler));
    m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [this, weakCallback = std::weak_ptr(m_callerGoneCallback)](const beast::error_code&) {
        const auto callback = weakCallback.lock();
        if (callback && isClosedByCaller())
            (*callback)();
    });
}

bool HttpSession::isClosedByCaller()
{
    char byte = 0;
    beast::error_code error;
    auto& socket = m_stream.socket();
    socket.non_blocking(true, error);
    const auto length = socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error != asio::error::would_block && length == 0;
}

void HttpSession::stopWatchingCaller()
{
    if (!m_callerGoneCallback)
        return;
    m_callerGoneCallback.reset();
    beast::error_code error;
    m_stream.socket().cancel(error);
}

Task<void> HttpSession::writeMessage(http::response<http::string_body>& message, ErrorCodeType& error)
{
    if (message.body().size() > maximumCopiedBytes) {
        co_await http::async_write(m_stream, message, completionToken(error));
        co_return;
    }
    m_output.clear();
    detail::appendMessage(message, m_output);
    co_await asio::async_write(m_stream, m_output.cdata(), completionToken(error));
}

} // namespace cicadalb::detail
