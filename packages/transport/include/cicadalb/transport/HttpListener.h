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
/// HTTP/1.1 server side: limits, timeouts, keep-alive and streamed answers.

namespace cicadalb {

/// @brief A whole request as it was received.
struct ServerRequest {
    std::string method;
    /// Path without the query.
    std::string path;
    std::string query;
    HttpFields fields;
    std::string body;
    /// Worker whose thread serves the connection.
    std::size_t worker = 0;
    TimePoint receivedAt;

    /// @brief Value of the first field called @p name (any case), or an empty text.
    std::string_view field(std::string_view name) const noexcept { return fieldIn(fields, name); }
};

/// @brief Sends the answer to one request. Each function returns false once the caller is gone.
class ServerResponder {
public:
    virtual ~ServerResponder() = default;
    /// @brief Sends a whole answer.
    virtual Task<bool> send(HttpResponse) = 0;
    /// @brief Starts a chunked answer.
    virtual Task<bool> beginStream(HttpResponse head) = 0;
    virtual Task<bool> writePart(std::string_view) = 0;
    /// @brief Ends a chunked answer, with @p trailer fields. Without it the caller sees the answer as broken.
    virtual Task<bool> endStream(HttpFields trailer) = 0;
    /// @brief True once a byte of an answer may have been sent.
    virtual bool hasBegun() const noexcept = 0;
    /// @brief Calls @p handler, at most once, if the caller closes its connection before the request's handler returns.
    virtual void onCallerGone(std::function<void()> handler) = 0;
};

using ServerHandler = std::function<Task<void>(ServerRequest&, ServerResponder&)>;

struct HttpListenerOptions {
    std::string address = "127.0.0.1";
    /// 0: any free port.
    std::uint16_t port = 0;
    std::uint32_t maximumHeaderBytes = 16U << 10U;
    std::uint64_t maximumBodyBytes = 1U << 20U;
    /// From the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout { 5000 };
    /// From the end of the header to the end of the body.
    std::chrono::milliseconds bodyTimeout { 10000 };
    /// Between two requests on one connection.
    std::chrono::milliseconds idleTimeout { 60000 };
    /// For each write of a part of an answer.
    std::chrono::milliseconds writeTimeout { 30000 };
    std::size_t maximumConnections = 10000;
};

/// @brief Listens on one port and serves connections on the workers in turn. Thread-safe.
class HttpListener {
public:
    HttpListener(WorkerPool&, HttpListenerOptions, ServerHandler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// @brief Opens the port and starts to accept. Errors: Unavailable if the port cannot be had.
    Result<void> start();
    std::uint16_t port() const noexcept;

    /// @brief From now on each connection ends with its next answer; new ones are still accepted.
    void beginDraining();
    /// @brief Stops accepting, closes idle connections and ends each other connection after the answer that is being worked on.
    void stopAccepting();
    /// @brief Requests that were received and whose answer is not yet sent.
    std::size_t requestsInFlight() const noexcept;
    std::size_t connections() const noexcept;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
