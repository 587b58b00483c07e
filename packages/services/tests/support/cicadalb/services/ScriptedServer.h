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

#include <deque>
#include <string>
#include <utility>

/// @file
/// An HTTP server whose answers are given byte by byte, for tests of answers that break off.

namespace cicadalb {

/// @brief Writes the next of its answers to each connection and closes it. Closes connections without an answer once there is none left. Supports only
/// requests without a body.
class ScriptedServer {
public:
    explicit ScriptedServer(boost::asio::io_context& context)
        : m_context(context)
        , m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        boost::asio::co_spawn(m_context, accept(), boost::asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::deque<std::string> answers;

private:
    using Socket = boost::asio::ip::tcp::socket;

    Task<void> accept()
    {
        while (true) {
            boost::system::error_code error;
            auto socket = co_await m_acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                co_return;
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    Task<void> serve(Socket socket)
    {
        std::string request;
        boost::system::error_code error;
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error || answers.empty())
            co_return;
        const auto answer = std::move(answers.front());
        answers.pop_front();
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace cicadalb
