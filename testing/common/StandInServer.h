#pragma once

#include "common/AsyncCondition.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/url/url.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The HTTP server that all stand-ins share. One thread; one coroutine for each connection.

namespace cicadalb::standin {

using Json = nlohmann::json;
using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A field of an answer's header.
struct HeaderField {
    std::string name;
    std::string value;
};

/// @brief One request and the way to answer it.
class Exchange {
public:
    Exchange(boost::asio::ip::tcp::socket&, Request);

    const Request& request() const noexcept { return m_request; }
    /// @brief Decoded path without the query.
    const std::string& path() const noexcept { return m_path; }
    /// @brief Part of the decoded path after the route's prefix.
    std::string_view pathAfterPrefix() const noexcept { return std::string_view(m_path).substr(m_prefixLength); }
    std::string query(std::string_view name, std::string fallback = {}) const;
    std::uint64_t queryNumber(std::string_view name, std::uint64_t fallback) const;
    std::string header(std::string_view name) const;
    /// @brief The body as a JSON object; an empty object if the body is not a JSON object.
    Json body() const;

    Task<void> respond(unsigned status, const Json& body, std::vector<HeaderField> fields = {});
    /// @brief Answers with {"error": message}.
    Task<void> respondWithError(unsigned status, std::string message, std::vector<HeaderField> fields = {});
    Task<void> respondText(unsigned status, std::string body, std::string contentType, std::vector<HeaderField> fields = {});
    /// @brief Starts a chunked answer.
    Task<void> beginStream(unsigned status, std::string contentType);
    Task<void> writeChunk(std::string part);
    Task<void> endStream();
    /// @brief Writes bytes as they are, for broken answers.
    Task<void> writeRaw(std::string bytes);
    /// @brief Writes nothing more, and closes the connection when the handler returns.
    void close() noexcept { m_isClosing = true; }

    bool isClosing() const noexcept { return m_isClosing; }
    bool isAnswered() const noexcept { return m_isAnswered; }
    /// @brief Discards the answer that the handler writes; the connection is closed instead.
    void discardAnswer() noexcept { m_isAnswerDiscarded = true; }
    void setPrefixLength(std::size_t length) noexcept { m_prefixLength = length; }

private:
    boost::asio::ip::tcp::socket& m_socket;
    Request m_request;
    std::string m_path;
    boost::urls::url m_url;
    std::size_t m_prefixLength = 0;
    bool m_isClosing = false;
    bool m_isAnswered = false;
    bool m_isAnswerDiscarded = false;
};

/// @brief Faults that every stand-in supports. They do not apply to requests for /control.
struct CommonFaults {
    /// Every request is answered with 503.
    bool isDown = false;
    /// Requests wait until the fault is lifted.
    bool isHanging = false;
    /// Time before a request is handled.
    Milliseconds delay { 0 };
    /// Number of coming requests that take effect but get no answer; their connection is closed instead.
    unsigned answersToDiscard = 0;
};

/// @brief Routes requests to handlers. POST /control changes faults, GET /control shows counters.
class StandInServer {
public:
    using Handler = std::function<Task<void>(Exchange&)>;

    StandInServer(boost::asio::io_context&, std::uint16_t port);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// @brief Registers a handler for @p method (empty: every method) on paths that start with @p prefix. Of several matching routes the first is used.
    void route(std::string method, std::string prefix, Handler);
    /// @brief Sets the function that receives the JSON body of POST /control.
    void onControl(std::function<void(const Json&)> apply) { m_applyControl = std::move(apply); }
    /// @brief Sets the function that makes the answer to /control.
    void onCounters(std::function<Json()> counters) { m_counters = std::move(counters); }
    /// @brief Sets a function that is called with the first bytes of a request before it is read. If it returns true, the connection is closed unread.
    void onFirstBytes(std::function<bool(std::string_view)> closesUnread) { m_closesUnread = std::move(closesUnread); }

    /// @brief Prints "listening PORT" and serves until SIGINT or SIGTERM.
    void run();

private:
    struct Route {
        std::string method;
        std::string prefix;
        Handler handler;
    };

    Task<void> accept();
    Task<void> serve(boost::asio::ip::tcp::socket);
    Task<bool> handleNext(boost::asio::ip::tcp::socket&, boost::beast::flat_buffer&);
    Task<void> dispatch(Exchange&);
    Task<void> control(Exchange&);
    void applyCommonFaults(const Json&);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<Route> m_routes;
    std::function<void(const Json&)> m_applyControl;
    std::function<Json()> m_counters;
    std::function<bool(std::string_view)> m_closesUnread;
    CommonFaults m_faults;
    AsyncCondition m_faultsChanged;
};

/// @brief Sets @p value from member @p name of @p object if the member exists.
template <typename T>
void assignIfPresent(const Json& object, const char* name, T& value)
{
    if (object.contains(name))
        value = object.at(name).get<T>();
}

/// @brief Decrements @p count unless it is 0. @return whether it was decremented
bool decrementIfPositive(unsigned& count) noexcept;

} // namespace cicadalb::standin
