#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/transport/WorkerPool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// @file
/// HTTP/1.1 server with limits, timeouts, keep-alive and streamed responses.

namespace cicadalb {

/// @brief A complete request, with its body.
struct ServerRequest {
    std::string method;
    /// Path without the query.
    std::string path;
    std::string query;
    HttpFields fields;
    MessageBody body;
    /// Index of the worker whose thread serves the connection.
    std::size_t worker = 0;
    /// When the complete request had been read.
    TimePoint receivedAt;

    /// @brief Value of the first header field with the name @p name (case-insensitive), or an empty text.
    std::string_view field(std::string_view name) const noexcept { return fieldIn(fields, name); }
};

/// @brief Sends the response to one request. The sending functions return false if the caller has disconnected or the write timed out.
class ServerResponder {
public:
    virtual ~ServerResponder() = default;
    /// @brief Sends a complete response. If there is no room for a body without memory of its own, GET and HEAD are answered with 503 instead, and for
    /// other requests the connection is closed. The answer of a request that has run elsewhere has to bring its memory (HttpResponse::memory).
    virtual Task<bool> send(HttpResponse) = 0;
    /// @brief Starts a chunked response.
    virtual Task<bool> beginStream(HttpResponse head) = 0;
    /// @brief Sends one chunk.
    virtual Task<bool> writeChunk(std::string_view) = 0;
    /// @brief Ends a chunked response with the trailer fields @p trailer. If it is not called, the caller sees the response as truncated.
    virtual Task<bool> endStream(HttpFields trailer) = 0;
    /// @brief True once any byte of the response may have been sent.
    virtual bool hasBegun() const noexcept = 0;
    /// @brief Calls @p handler, at most once, if the caller closes its connection before the request's handler returns.
    virtual void onCallerDisconnected(std::function<void()> handler) = 0;
};

using ServerHandler = std::function<Task<void>(ServerRequest&, ServerResponder&)>;

/// @brief What a client may send, and how long it may take. A request beyond it is refused with 431, 413 or 408.
struct RequestLimits {
    std::uint32_t maximumHeaderBytes = 16U << 10U;
    std::uint64_t maximumBodyBytes = 1U << 20U;
    /// From the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout { 5000 };
    /// Between two requests on one connection.
    std::chrono::milliseconds idleTimeout { 60000 };
};

struct HttpListenerOptions : RequestLimits {
    /// Name in log lines.
    std::string name = "listener";
    std::string address = "127.0.0.1";
    /// 0 selects any free port.
    std::uint16_t port = 0;
    /// From the end of the header to the end of the body.
    std::chrono::milliseconds bodyTimeout { 10000 };
    /// For each write: of a complete response, of a header or of a chunk.
    std::chrono::milliseconds writeTimeout { 30000 };
    /// A further connection takes the place of the one that has waited longest for bytes of a request; if there is none, it is closed.
    std::size_t maximumConnections = 10000;
    /// Limits all requests, and all answers that are not counted already, together. A request without room is refused with 503 before it is handled. Not null.
    std::shared_ptr<MessageMemory> memory = MessageMemory::ofProcess();
};

/// @brief Listens on one port and distributes connections over the workers round-robin. Thread-safe.
class HttpListener {
public:
    HttpListener(WorkerPool&, HttpListenerOptions, ServerHandler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// @brief Opens the port and starts to accept connections. Errors: Unavailable if the port cannot be opened.
    Result<void> start();
    std::uint16_t port() const noexcept;

    /// @brief Replaces the limits for all requests that begin from now on.
    void setLimits(const RequestLimits&);
    /// @brief Closes each connection after its next response. New connections are still accepted.
    void beginDraining();
    /// @brief Stops accepting, closes idle connections, and closes every other connection after its response in progress.
    void stopAccepting();
    /// @brief Number of requests of which at least one byte was received and whose response is not finished.
    std::size_t requestsInFlight() const noexcept;
    /// @brief Number of open connections.
    std::size_t connections() const noexcept;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
