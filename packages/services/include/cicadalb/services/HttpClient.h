#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/services/MessageBody.h"
#include "cicadalb/services/MessageMemory.h"

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

/// @brief Value of the first field with the case-insensitive name @p name, or an empty string.
std::string_view fieldIn(const HttpFields&, std::string_view name) noexcept;

/// @brief Id by which a server's answer is attributed to a request.
struct ExchangeId {
    /// Shared by all sends of the request. Empty: the request has none.
    std::string value;
    /// Field of the answer that repeats the id. Empty: answers do not repeat it.
    std::string_view answerField;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpFields fields;
    MessageBody body;
    /// Whether to send the request again on a new connection if the server closes a reused one before the answer begins, or does not answer on it
    /// (HttpClientOptions::reusedConnectionTimeout).
    bool mayRepeat = false;
    /// A server may send an answer twice, the second time where the answer to a later request is expected. Therefore a request is sent only on a
    /// connection that has carried neither a request with the same id nor one without an id.
    ExchangeId exchangeId {};
    /// Whether the request may still be sent; called directly before each write to a connection. Empty: always.
    std::function<bool()> mayBeSent {};
    /// Limit on the body of the answer below HttpClientOptions::maximumBodyBytes, for answers that are parsed as a whole and are short; 0: none.
    std::size_t maximumAnswerBytes = 0;
};

struct HttpResponse {
    unsigned status = 0;
    HttpFields fields;
    std::string body;
    /// When the request was written to the connection on which it was answered, and when the header of the answer was complete.
    TimePoint sentAt {};
    TimePoint headAt {};
    /// Memory that the body takes, held for as long as the answer; null if it has none.
    std::shared_ptr<MessageMemory::Share> memory {};

    /// @brief Value of the first field with the case-insensitive name @p name, or an empty string.
    std::string_view field(std::string_view name) const noexcept { return fieldIn(fields, name); }
};

/// @brief IP address and port of a server.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
    bool operator==(const Endpoint&) const = default;
};

struct HttpClientOptions {
    std::size_t maximumIdleConnections = 64;
    std::chrono::milliseconds connectTimeout { 1000 };
    /// A connection that was idle for longer is closed instead of reused: a device on the network path, such as a NAT, may have dropped its state.
    std::chrono::milliseconds idleTimeout { 1500 };
    /// Upper limit of the idle timeout that a server states in its Keep-Alive field. The stated one, less a margin, replaces idleTimeout.
    /// 0: the field is ignored.
    std::chrono::milliseconds maximumKeepAliveTimeout { 0 };
    /// The operating system closes a connection whose peer acknowledges nothing for this time (TCP_USER_TIMEOUT).
    std::chrono::milliseconds acknowledgementTimeout { 2000 };
    std::size_t maximumBodyBytes = std::size_t { 16 } << 20U;
    /// Time allowed for the header of the answer to a repeatable request on a reused connection, which may have gone silent. The request is then
    /// sent again on a new connection, and the idle ones are closed. 0: until the deadline.
    std::chrono::milliseconds reusedConnectionTimeout { 0 };
    /// Limits all answers together. An exchange whose answer may not grow fails. Not null.
    std::shared_ptr<MessageMemory> memory = MessageMemory::ofProcess();
};

/// @brief Receives the parts of an answer as they arrive; the next part is read only after the handler has completed. If a handler returns false,
/// the exchange is cancelled and its connection closed.
struct HttpStreamHandler {
    std::function<Task<bool>(const HttpResponse& head)> onHead;
    std::function<Task<bool>(std::string_view part)> onPart;
    /// Maximum time between two parts of the body, after the first one; 0: limited only by the deadline.
    std::chrono::milliseconds stallTimeout { 0 };
    /// Holds the memory of the answer's header until its first part; null: the exchange holds it.
    std::shared_ptr<MessageMemory::Share> memory {};
};

/// @brief Lets another coroutine cancel a running exchange. The exchange then ends with Cancelled and closes its connection.
class HttpCancellation {
public:
    void cancel();
    bool isCancelled() const noexcept { return m_isCancelled; }

private:
    friend class HttpClient;
    bool m_isCancelled = false;
    std::function<void()> m_cancelStream;
};

/// @brief Client for one server. Thread-safe; the connection pool has its own lock.
/// The error of an exchange says what is known about the request: NotSent (no byte of it was written), OutcomeUnknown (it may have run:
/// the connection broke or the deadline passed after the first byte, or the answer was truncated), Cancelled, AnswerInvalid.
/// An exchange whose HttpRequest::mayBeSent returns false fails with NotSent, or with OutcomeUnknown if an earlier connection has carried it.
/// An answer that does not conform to RFC 9110 and RFC 9112 (status code, field names and values, framing) fails with OutcomeUnknown and closes its
/// connection. Interim answers (1xx) are skipped.
/// An answer with neither a Content-Length nor chunked encoding cannot be told from a truncated one and fails with OutcomeUnknown.
/// A connection returns to the pool only after exactly one complete answer was read from it, which must repeat the request's ExchangeId if it has
/// an answer field; otherwise it is closed. Without such an answer it is reset, which drops what the server has not received of the request.
class HttpClient {
public:
    HttpClient(boost::asio::any_io_executor, Endpoint, HttpClientOptions = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @brief Sends a request and returns the complete answer.
    Task<Result<HttpResponse>> send(HttpRequest, TimePoint deadline, std::shared_ptr<HttpCancellation> = nullptr);

    /// @brief Sends a request and passes the body of the answer to the handler; the returned response has no body.
    Task<Result<HttpResponse>> stream(HttpRequest, TimePoint deadline, HttpStreamHandler, std::shared_ptr<HttpCancellation> = nullptr);

    /// @brief Tries to connect. @return whether the connection was refused, so that nothing listens there; false if it was accepted or nothing came back
    Task<bool> refusesConnections(std::chrono::milliseconds timeout);

    /// @brief Tries to connect, and closes the connection again. @return whether the server accepted it in time
    Task<bool> acceptsConnections(std::chrono::milliseconds timeout);

    const Endpoint& endpoint() const noexcept;
    std::size_t idleConnections() const;
    /// @brief Closes the idle connections that are no longer reused. Called from time to time, since nothing else closes them while no request is sent.
    void closeExpired();

private:
    struct State;
    /// @return the error of the attempt, if any
    Task<boost::system::error_code> tryConnecting(std::chrono::milliseconds timeout);

    std::shared_ptr<State> m_state;
};

} // namespace cicadalb
