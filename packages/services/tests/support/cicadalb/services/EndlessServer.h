#pragma once

#include "cicadalb/base/Task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <functional>
#include <string>

/// @file
/// A server whose answers never end, for tests of HTTP clients.

namespace cicadalb {

/// @brief Answers each request with @c begin and then with @c filler again and again, until the client closes the connection.
class EndlessServer {
public:
    explicit EndlessServer(boost::asio::io_context& context)
        : m_context(context)
        , m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        boost::asio::co_spawn(m_context, accept(), boost::asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::string begin;
    std::string filler;
    /// Replaces the filler each time, if it is set.
    std::function<std::string()> makeFiller;
    /// Bytes that the system took for sending.
    std::size_t bytesSent = 0;
    bool wasClosedByClient = false;

private:
    using Socket = boost::asio::ip::tcp::socket;

    Task<void> accept()
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    Task<void> serve(Socket socket)
    {
        std::string request;
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", boost::asio::use_awaitable);
        boost::system::error_code error;
        bytesSent += co_await boost::asio::async_write(socket, boost::asio::buffer(begin), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        while (!error) {
            const auto next = makeFiller ? makeFiller() : filler;
            bytesSent += co_await boost::asio::async_write(socket, boost::asio::buffer(next), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
        wasClosedByClient = true;
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace cicadalb
