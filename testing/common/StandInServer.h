#pragma once

#include "common/Signal.h"

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
    /// @brief Part of the path after the route's prefix.
    std::string_view rest() const noexcept { return std::string_view(m_path).substr(m_prefixLength); }
    std::string query(std::string_view name, std::string fallback = {}) const;
    std::uint64_t queryNumber(std::string_view name, std::uint64_t fallback) const;
    std::string header(std::string_view name) const;
    /// @brief The body as JSON; an empty object if it is none.
    Json body() const;

    Task<void> respond(unsigned status, const Json& body, std::vector<HeaderField> fields = {});
    /// @brief Answers with {"error": message}.
    Task<void> refuse(unsigned status, std::string message, std::vector<HeaderField> fields = {});
    Task<void> respondText(unsigned status, std::string body, std::string contentType, std::vector<HeaderField> fields = {});
    /// @brief Starts a chunked answer.
    Task<void> beginStream(unsigned status, std::string contentType);
    Task<void> writeChunk(std::string part);
    Task<void> endStream();
    /// @brief Writes bytes as they are, for broken answers.
    Task<void> writeRaw(std::string bytes);
    /// @brief Closes the connection when the handler returns; what is not yet written stays unwritten.
    void close() noexcept { m_isClosing = true; }

    bool isClosing() const noexcept { return m_isClosing; }
    bool isAnswered() const noexcept { return m_isAnswered; }
    /// @brief Swallows the answer and closes the connection instead.
    void loseAnswer() noexcept { m_isAnswerLost = true; }
    void setPrefixLength(std::size_t length) noexcept { m_prefixLength = length; }

private:
    boost::asio::ip::tcp::socket& m_socket;
    Request m_request;
    std::string m_path;
    boost::urls::url m_url;
    std::size_t m_prefixLength = 0;
    bool m_isClosing = false;
    bool m_isAnswered = false;
    bool m_isAnswerLost = false;
};

/// @brief Faults that every stand-in has. They do not apply to the control path.
struct CommonFaults {
    /// Every request is answered with 503.
    bool isDown = false;
    /// Requests wait until the fault is lifted.
    bool isHanging = false;
    /// Time before a request is handled.
    Milliseconds delay { 0 };
    /// So many requests take effect, but their answer is lost and the connection closed.
    unsigned loseAnswers = 0;
};

/// @brief Routes requests to handlers; POST /control changes faults, GET /control shows counters.
class StandInServer {
public:
    using Handler = std::function<Task<void>(Exchange&)>;

    StandInServer(boost::asio::io_context&, std::uint16_t port);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// @brief Handles @p method (empty: every method) on paths that start with @p prefix. The first match counts.
    void route(std::string method, std::string prefix, Handler);
    /// @brief Called with the words of POST /control.
    void onControl(std::function<void(const Json&)> apply) { m_applyControl = std::move(apply); }
    /// @brief Makes the answer to GET /control.
    void onCounters(std::function<Json()> counters) { m_counters = std::move(counters); }
    /// @brief Asked with the first bytes of a request before it is read; true closes the connection unread.
    void onBytes(std::function<bool(std::string_view)> refuses) { m_refusesBytes = std::move(refuses); }

    /// @brief Prints "listening PORT" and serves until SIGINT or SIGTERM.
    void run();

private:
    struct Entry {
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
    std::vector<Entry> m_routes;
    std::function<void(const Json&)> m_applyControl;
    std::function<Json()> m_counters;
    std::function<bool(std::string_view)> m_refusesBytes;
    CommonFaults m_faults;
    Signal m_faultsChanged;
};

/// @brief Sets @p value from @p words if @p name is there.
template <typename T>
void assignIfPresent(const Json& words, const char* name, T& value)
{
    if (words.contains(name))
        value = words.at(name).get<T>();
}

/// @brief Takes one from @p count. @return false if it was 0
bool takeOne(unsigned& count) noexcept;

} // namespace cicadalb::standin
