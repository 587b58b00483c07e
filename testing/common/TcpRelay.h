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

/// @brief Passes bytes between two ends of a TCP connection and loses them on command.
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

    /// @brief Closes both sides of every connection; new ones go to @p targetPort.
    void cut(std::uint16_t targetPort)
    {
        run([this, targetPort] {
            m_targetPort = targetPort;
            for (const auto& pair : m_pairs)
                pair->close();
            m_pairs.clear();
        });
    }

    /// @brief Keeps the present connections open but passes nothing more; new ones work.
    void silence()
    {
        run([this] {
            for (const auto& pair : m_pairs)
                pair->isSilent = true;
        });
    }

private:
    using Tcp = boost::asio::ip::tcp;

    struct Pair {
        Pair(Tcp::socket nearSocket, Tcp::socket farSocket)
            : near(std::move(nearSocket))
            , far(std::move(farSocket))
        {
        }
        void close()
        {
            boost::system::error_code ignored;
            near.close(ignored);
            far.close(ignored);
        }
        Tcp::socket near;
        Tcp::socket far;
        bool isSilent = false;
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
            auto near = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            Tcp::socket far(m_context);
            boost::system::error_code error;
            const Tcp::endpoint target(boost::asio::ip::address_v4::loopback(), m_targetPort);
            co_await far.async_connect(target, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                continue;
            const auto pair = std::make_shared<Pair>(std::move(near), std::move(far));
            m_pairs.push_back(pair);
            boost::asio::co_spawn(m_context, forward(pair, &Pair::near, &Pair::far), boost::asio::detached);
            boost::asio::co_spawn(m_context, forward(pair, &Pair::far, &Pair::near), boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> forward(std::shared_ptr<Pair> pair, Tcp::socket Pair::*from, Tcp::socket Pair::*to)
    {
        std::array<char, 4096> bytes {};
        boost::system::error_code error;
        for (;;) {
            const auto length = co_await ((*pair).*from).async_read_some(boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                break;
            if (pair->isSilent)
                continue;
            co_await boost::asio::async_write((*pair).*to, boost::asio::buffer(bytes, length), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
        if (!pair->isSilent)
            pair->close();
    }

    boost::asio::io_context m_context { 1 };
    std::uint16_t m_targetPort;
    Tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Pair>> m_pairs;
    std::thread m_thread;
};

} // namespace cicadalb
