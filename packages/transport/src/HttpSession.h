#pragma once

#include "cicadalb/transport/HttpListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <list>
#include <mutex>
#include <optional>

/// @file
/// One connection from a caller.

namespace cicadalb::detail {

/// @brief State that a listener shares with its sessions.
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

class HttpSession;
/// @brief Sessions of one worker that wait for bytes of a request, by the time of their last ones. Accessed only on the worker's thread.
using WaitingSessions = std::list<HttpSession*>;

class HttpSession final : public ServerResponder, public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(boost::asio::ip::tcp::socket, const HttpListenerOptions&, ListenerState&, WaitingSessions&, std::size_t worker);
    ~HttpSession() override;
    HttpSession(const HttpSession&) = delete;
    HttpSession& operator=(const HttpSession&) = delete;

    /// @brief Serves requests until the connection is closed.
    Task<void> run(const ServerHandler&);
    /// @brief Closes the connection if it waits for a request and no byte of one has arrived.
    void closeIfIdle();
    /// @brief Closes the connection without an answer.
    void close();

    Task<bool> send(HttpResponse) override;
    Task<bool> beginStream(HttpResponse head) override;
    Task<bool> writeChunk(std::string_view) override;
    Task<bool> endStream(HttpFields trailer) override;
    bool hasBegun() const noexcept override { return m_hasBegun; }
    void onCallerDisconnected(std::function<void()> handler) override;

private:
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using ErrorCodeType = boost::beast::error_code;

    /// @return whether the connection may carry another request
    Task<bool> serveOneRequest(const ServerHandler&);
    /// Waits for the first bytes of a request. @return false if the connection ended or the idle timeout passed
    Task<bool> waitForRequest(const RequestLimits&);
    Task<ErrorCodeType> readRequest(RequestParser&, const RequestLimits&, ServerRequest&);
    Task<ErrorCodeType> readHead(RequestParser&);
    Task<ErrorCodeType> readBody(RequestParser&, const RequestLimits&);
    /// Passes buffered bytes to the parser, and reads more if it needs them.
    Task<ErrorCodeType> readSome(RequestParser&);
    void takeHead(const RequestParser&, ServerRequest&) const;
    /// Answers a request that could not be read.
    Task<void> refuse(ErrorCodeType);
    /// Lets a caller that still sends read its answer: a connection that is closed with unread bytes is reset.
    Task<void> linger();

    Task<void> writeMessage(boost::beast::http::response<boost::beast::http::string_body>&, ErrorCodeType&);
    bool mayKeepAlive() const noexcept { return m_requestKeepsAlive && !m_state.isDraining; }
    /// Whether the caller has closed its end of the connection. It has not if bytes of a further request are readable.
    bool isClosedByCaller();
    /// Cancels the wait that onCallerDisconnected() started.
    void stopWatchingCaller();

    /// Takes memory, from senders that have stalled if there is no other. @return false if there is none
    Task<bool> reserve(MessageMemory::Share&, std::size_t bytes);
    /// Counts the memory of the connection, its buffers, and the head of the request in progress.
    Task<bool> reserveConnection(std::size_t bufferGrowth);
    /// Memory that the head in the buffer takes when it is parsed.
    std::size_t parsedHeadBytes() const;
    void releaseLargeBuffers();
    void beginWaiting();
    void noteProgress();
    void endWaiting();
    /// Ends a request that is still being read, whose memory is needed.
    void giveUp();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    boost::beast::flat_buffer m_output;
    const HttpListenerOptions& m_options;
    ListenerState& m_state;
    WaitingSessions& m_waitingSessions;
    std::optional<WaitingSessions::iterator> m_waiting;
    std::size_t m_worker;
    MessageMemory::Share m_memory;
    std::size_t m_headBytes = 0;
    /// Memory of the body that is being read, or null.
    std::shared_ptr<MessageMemory::Share> m_bodyMemory;
    bool m_isBetweenRequests = true;
    bool m_hasGivenUp = false;
    bool m_hasUnreadRequest = false;
    bool m_requestKeepsAlive = false;
    bool m_isHeadRequest = false;
    /// Whether the request only reads (RFC 9110, section 9.2.1).
    bool m_isSafeRequest = false;
    bool m_hasBegun = false;
    bool m_isAnswered = false;
    /// Callback registered with onCallerDisconnected(), or null.
    std::shared_ptr<std::function<void()>> m_callerGoneCallback;
};

} // namespace cicadalb::detail
