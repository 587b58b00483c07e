#include "common/StandInServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <sstream>

namespace cicadalb::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr std::uint64_t maximumBodyBytes = std::uint64_t { 64 } << 20U;
    constexpr std::size_t peekBytes = 512;

    auto completionToken(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

    std::string hexadecimal(std::size_t number)
    {
        std::array<char, 2 * sizeof(number)> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
        return { digits.data(), end };
    }

} // namespace

bool decrementIfPositive(unsigned& count) noexcept
{
    if (count == 0)
        return false;
    --count;
    return true;
}

Exchange::Exchange(tcp::socket& socket, Request request)
    : m_socket(socket)
    , m_request(std::move(request))
{
    const auto url = boost::urls::parse_origin_form(m_request.target());
    if (!url)
        return;
    m_url = *url;
    m_path = m_url.path();
}

std::string Exchange::query(std::string_view name, std::string fallback) const
{
    const boost::urls::url_view_base& url = m_url;
    for (const auto& parameter : url.params()) {
        if (parameter.key == name)
            return parameter.value;
    }
    return fallback;
}

std::uint64_t Exchange::queryNumber(std::string_view name, std::uint64_t fallback) const
{
    const auto text = query(name);
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string Exchange::header(std::string_view name) const
{
    const auto found = m_request.find(name);
    return found == m_request.end() ? std::string() : std::string(found->value());
}

Json Exchange::body() const
{
    auto parsed = Json::parse(m_request.body(), nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

Task<void> Exchange::respond(unsigned status, const Json& body, std::vector<HeaderField> fields)
{
    co_await respondText(status, body.dump(), "application/json", std::move(fields));
}

Task<void> Exchange::respondWithError(unsigned status, std::string message, std::vector<HeaderField> fields)
{
    const Json body { { "error", std::move(message) } };
    co_await respond(status, body, std::move(fields));
}

Task<void> Exchange::respondText(unsigned status, std::string body, std::string contentType, std::vector<HeaderField> fields)
{
    http::response<http::string_body> response(http::int_to_status(status), 11);
    response.set(http::field::content_type, contentType);
    for (const auto& field : fields)
        response.set(field.name, field.value);
    response.keep_alive(m_request.keep_alive() && !m_isClosing);
    response.body() = m_request.method() == http::verb::head ? std::string() : std::move(body);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    co_await writeRaw(text.str());
}

Task<void> Exchange::beginStream(unsigned status, std::string contentType)
{
    http::response<http::empty_body> response(http::int_to_status(status), 11);
    response.set(http::field::content_type, contentType);
    response.chunked(true);
    std::ostringstream text;
    text << response.base();
    co_await writeRaw(text.str());
}

Task<void> Exchange::writeChunk(std::string part)
{
    co_await writeRaw(hexadecimal(part.size()) + "\r\n" + part + "\r\n");
}

Task<void> Exchange::endStream()
{
    co_await writeRaw("0\r\n\r\n");
}

Task<void> Exchange::writeRaw(std::string bytes)
{
    m_isAnswered = true;
    if (m_isAnswerDiscarded)
        m_isClosing = true;
    if (m_isClosing)
        co_return;
    error_code error;
    co_await asio::async_write(m_socket, asio::buffer(bytes), completionToken(error));
    if (error)
        m_isClosing = true;
}

StandInServer::StandInServer(asio::io_context& context, std::uint16_t port)
    : m_context(context)
    , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
    , m_faultsChanged(context.get_executor())
{
}

void StandInServer::route(std::string method, std::string prefix, Handler handler)
{
    m_routes.push_back(Route { std::move(method), std::move(prefix), std::move(handler) });
}

void StandInServer::run()
{
    asio::signal_set signals(m_context, SIGINT, SIGTERM);
    signals.async_wait([this](const error_code&, int) { m_context.stop(); });
    asio::co_spawn(m_context, accept(), asio::detached);
    std::cout << "listening " << m_acceptor.local_endpoint().port() << std::endl;
    m_context.run();
}

Task<void> StandInServer::accept()
{
    for (;;) {
        error_code error;
        auto socket = co_await m_acceptor.async_accept(completionToken(error));
        if (error)
            continue;
        socket.set_option(tcp::no_delay(true), error);
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

Task<void> StandInServer::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    for (;;) {
        const bool isOpen = co_await handleNext(socket, buffer);
        if (!isOpen)
            co_return;
    }
}

Task<bool> StandInServer::handleNext(tcp::socket& socket, boost::beast::flat_buffer& buffer)
{
    error_code error;
    if (m_closesUnread && buffer.size() == 0) {
        co_await socket.async_wait(tcp::socket::wait_read, completionToken(error));
        std::array<char, peekBytes> bytes {};
        const auto length = socket.receive(asio::buffer(bytes), tcp::socket::message_peek, error);
        if (error || m_closesUnread(std::string_view(bytes.data(), length)))
            co_return false;
    }
    http::request_parser<http::string_body> parser;
    parser.body_limit(maximumBodyBytes);
    co_await http::async_read(socket, buffer, parser, completionToken(error));
    if (error)
        co_return false;
    Exchange exchange(socket, parser.release());
    if (exchange.path() == "/control")
        co_await control(exchange);
    else
        co_await dispatch(exchange);
    co_return !exchange.isClosing() && exchange.request().keep_alive();
}

Task<void> StandInServer::dispatch(Exchange& exchange)
{
    while (m_faults.isHanging)
        co_await m_faultsChanged.wait(std::chrono::hours(1));
    if (m_faults.delay.count() > 0)
        co_await sleepFor(m_faults.delay);
    if (m_faults.isDown) {
        co_await exchange.respondWithError(503, "down");
        co_return;
    }
    for (auto& entry : m_routes) {
        if (!entry.method.empty() && entry.method != exchange.request().method_string())
            continue;
        if (!exchange.path().starts_with(entry.prefix))
            continue;
        exchange.setPrefixLength(entry.prefix.size());
        if (decrementIfPositive(m_faults.answersToDiscard))
            exchange.discardAnswer();
        co_await entry.handler(exchange);
        co_return;
    }
    co_await exchange.respondWithError(404, "no such path");
}

Task<void> StandInServer::control(Exchange& exchange)
{
    if (exchange.request().method() == http::verb::post) {
        std::string problem;
        try {
            const auto command = exchange.body();
            applyCommonFaults(command);
            if (m_applyControl)
                m_applyControl(command);
        } catch (const Json::exception& exception) {
            problem = exception.what();
        }
        if (!problem.empty()) {
            co_await exchange.respondWithError(400, problem);
            co_return;
        }
    }
    const auto counters = m_counters ? m_counters() : Json::object();
    co_await exchange.respond(200, counters);
}

void StandInServer::applyCommonFaults(const Json& command)
{
    assignIfPresent(command, "down", m_faults.isDown);
    assignIfPresent(command, "hang", m_faults.isHanging);
    assignIfPresent(command, "lose-answers", m_faults.answersToDiscard);
    m_faults.delay = Milliseconds(command.value("delay-ms", m_faults.delay.count()));
    m_faultsChanged.notifyAll();
}

} // namespace cicadalb::standin
