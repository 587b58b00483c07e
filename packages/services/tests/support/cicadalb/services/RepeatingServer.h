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

#include <atomic>
#include <string>

/// @file
/// An HTTP server that sends answers twice, for tests of what attributes answers to requests.

namespace cicadalb {

/// @brief Refuses the first requests and runs the others. Each refusal is sent once more where the answer to the next request on its connection is
/// expected. Answers repeat the request's field "Id"; refusals have the field "Not-Run". Supports only requests without a body.
class RepeatingServer {
public:
    explicit RepeatingServer(boost::asio::io_context& context)
        : m_context(context)
        , m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        boost::asio::co_spawn(m_context, accept(), boost::asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Number of requests that are still to be refused.
    std::atomic<int> refusals = 0;
    /// Whether answers state an id that no request had.
    std::atomic<bool> statesForeignIds = false;
    std::atomic<int> connections = 0;
    /// Requests that were run.
    std::atomic<int> runs = 0;

private:
    using Socket = boost::asio::ip::tcp::socket;

    Task<void> accept()
    {
        while (true) {
            boost::system::error_code error;
            auto socket = co_await m_acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                co_return;
            ++connections;
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    Task<void> serve(Socket socket)
    {
        std::string refusal;
        while (true) {
            std::string request;
            boost::system::error_code error;
            co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                co_return;
            auto answers = std::exchange(refusal, {});
            const auto begin = request.find("\r\nId: ");
            auto id = begin == std::string::npos ? std::string() : request.substr(begin + 2, request.find("\r\n", begin + 2) - begin);
            if (statesForeignIds)
                id = "Id: foreign\r\n";
            if (refusals > 0) {
                --refusals;
                refusal = "HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Run: true\r\nContent-Length: 4\r\n\r\nfull";
                answers += refusal;
            } else {
                ++runs;
                answers += "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok";
            }
            co_await boost::asio::async_write(socket, boost::asio::buffer(answers), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace cicadalb
