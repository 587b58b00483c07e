#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// HTTP/1.1 exchanges with one server over pooled connections. The only HTTP client of the project.

namespace cicadalb {

using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// @brief Value of the first field called @p name (any case), or an empty text.
std::string_view fieldIn(const HttpFields&, std::string_view name) noexcept;

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpFields fields;
    std::string body;
    /// Sent once more on a new connection if a reused one breaks before its answer begins.
    bool mayRepeat = false;
};

struct HttpResponse {
    unsigned status = 0;
    HttpFields fields;
    std::string body;

    /// @brief Value of the first field called @p name (any case), or an empty text.
    std::string_view field(std::string_view name) const noexcept { return fieldIn(fields, name); }
};

/// @brief Where a server listens.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
    bool operator==(const Endpoint&) const = default;
};

struct HttpClientOptions {
    std::size_t maximumIdleConnections = 64;
    std::chrono::milliseconds connectTimeout { 1000 };
    /// An idle connection older than this is closed, not used: something between both ends may have lost track of it.
    std::chrono::milliseconds idleTimeout { 1500 };
    /// Replaces idleTimeout where the server states (Keep-Alive) that it keeps connections longer; 0: it does not.
    std::chrono::milliseconds longestIdleTimeout { 0 };
    /// A connection whose other end acknowledges nothing for so long is closed by the system.
    std::chrono::milliseconds silenceTimeout { 2000 };
    std::size_t maximumBodyBytes = std::size_t { 16 } << 20U;
};

/// @brief Receives parts of an answer as they come; the next part is read when the handler is done. A handler that returns false abandons the answer and its connection.
struct HttpStreamHandler {
    std::function<Task<bool>(const HttpResponse& head)> onHead;
    std::function<Task<bool>(std::string_view part)> onPart;
    /// Longest time between two parts once the first has come; 0: up to the deadline.
    std::chrono::milliseconds stallTimeout { 0 };
};

/// @brief Lets another coroutine abandon a running exchange. The exchange then ends with Cancelled and closes its connection.
class HttpCancellation {
public:
    void cancel();
    bool isCancelled() const noexcept { return m_cancelled; }

private:
    friend class HttpClient;
    bool m_cancelled = false;
    std::function<void()> m_close;
};

/// @brief Client for one server. Thread-safe; the pool has its own lock.
/// Failures of an exchange say what is known of the request: NotSent (no byte of it was written), OutcomeUnknown (it may have run:
/// the connection broke or the deadline passed after the first byte, or the answer was cut short), Cancelled, AnswerInvalid.
/// An answer with neither a length nor chunks cannot be told from a cut one and counts as lost.
/// A connection that carried anything but one whole answer is closed, never pooled.
class HttpClient {
public:
    HttpClient(boost::asio::any_io_executor, Endpoint, HttpClientOptions = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @brief One exchange with the whole answer in memory.
    Task<Result<HttpResponse>> send(HttpRequest, TimePoint deadline, std::shared_ptr<HttpCancellation> = nullptr);

    /// @brief One exchange whose body goes to @p handler; the returned response has no body.
    Task<Result<HttpResponse>> stream(HttpRequest, TimePoint deadline, HttpStreamHandler, std::shared_ptr<HttpCancellation> = nullptr);

    const Endpoint& endpoint() const noexcept;
    std::size_t idleConnections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cicadalb
