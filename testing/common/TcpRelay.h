#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace cicadalb {

/// @brief Forwards TCP connections to a loopback port. Tests can close the connections or stop the forwarding.
class TcpRelay {
public:
    explicit TcpRelay(std::uint16_t targetPort)
        : m_targetPort(targetPort)
        , m_acceptor(m_context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        boost::asio::co_spawn(m_context, accept(), boost::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~TcpRelay()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// @brief Closes both sides of every connection. New connections go to @p targetPort.
    void closeConnections(std::uint16_t targetPort)
    {
        run([this, targetPort] {
            m_targetPort = targetPort;
            for (const auto& connection : m_connections)
                connection->close();
            m_connections.clear();
        });
    }

    /// @brief Keeps the present connections open but discards their bytes. New connections work.
    void stopForwarding()
    {
        run([this] {
            for (const auto& connection : m_connections)
                connection->isDiscarding = true;
        });
    }

private:
    using Tcp = boost::asio::ip::tcp;

    struct Connection {
        Connection(Tcp::socket clientSocket, Tcp::socket serverSocket)
            : client(std::move(clientSocket))
            , server(std::move(serverSocket))
        {
        }
        void close()
        {
            boost::system::error_code ignored;
            client.close(ignored);
            server.close(ignored);
        }
        Tcp::socket client;
        Tcp::socket server;
        bool isDiscarding = false;
    };

    void run(std::function<void()> function)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            auto client = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            Tcp::socket server(m_context);
            boost::system::error_code error;
            const Tcp::endpoint target(boost::asio::ip::address_v4::loopback(), m_targetPort);
            co_await server.async_connect(target, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                continue;
            const auto connection = std::make_shared<Connection>(std::move(client), std::move(server));
            m_connections.push_back(connection);
            boost::asio::co_spawn(m_context, forward(connection, &Connection::client, &Connection::server), boost::asio::detached);
            boost::asio::co_spawn(m_context, forward(connection, &Connection::server, &Connection::client), boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> forward(std::shared_ptr<Connection> connection, Tcp::socket Connection::*from, Tcp::socket Connection::*to)
    {
        std::array<char, 4096> bytes {};
        boost::system::error_code error;
        for (;;) {
            const auto length = co_await ((*connection).*from).async_read_some(boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                break;
            if (connection->isDiscarding)
                continue;
            co_await boost::asio::async_write((*connection).*to, boost::asio::buffer(bytes, length), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
        if (!connection->isDiscarding)
            connection->close();
    }

    boost::asio::io_context m_context { 1 };
    std::uint16_t m_targetPort;
    Tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::thread m_thread;
};

} // namespace cicadalb
