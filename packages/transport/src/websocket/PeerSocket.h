#pragma once

// The websocket library still uses names that Asio calls deprecated.
#undef BOOST_ASIO_NO_DEPRECATED

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "PeerMessage.h"

#include <cstddef>
#include <string>

/// @file
/// Websocket types of the links between hosts. C++17 only.

namespace cicadalb::detail {

/// @brief Largest message before the shared secret is proved, in bytes.
inline constexpr std::size_t unprovenMessageBytes = 4096;
/// @brief Largest message on a proved link, in bytes.
inline constexpr std::size_t provenMessageBytes = std::size_t { 16 } << 20U;
/// @brief Largest body of a request or answer, in bytes; leaves room for the rest of the message.
inline constexpr std::size_t maximumBodyBytes = provenMessageBytes - (std::size_t { 64 } << 10U);
/// @brief Time for the TCP connection and for the websocket handshake.
inline constexpr long handshakeMilliseconds = 1500;

/// @brief Configuration of both ends: no logs of its own, no threads, small messages until the secret is proved.
struct PeerSocketConfig : public websocketpp::config::asio_client {
    using type = PeerSocketConfig;
    using base = websocketpp::config::asio_client;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;

    struct transport_config : public base::transport_config { // NOLINT(readability-identifier-naming): the library's name
        using alog_type = websocketpp::log::stub;
        using elog_type = websocketpp::log::stub;
        static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)
        static const long timeout_connect = handshakeMilliseconds; // NOLINT(readability-identifier-naming)
        static const long timeout_socket_shutdown = handshakeMilliseconds; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    static const long timeout_open_handshake = handshakeMilliseconds; // NOLINT(readability-identifier-naming)
    static const long timeout_close_handshake = handshakeMilliseconds; // NOLINT(readability-identifier-naming)
    static const std::size_t max_message_size = unprovenMessageBytes; // NOLINT(readability-identifier-naming)
    static const std::size_t max_http_body_size = unprovenMessageBytes; // NOLINT(readability-identifier-naming)
};

using PeerServer = websocketpp::server<PeerSocketConfig>;
using PeerClient = websocketpp::client<PeerSocketConfig>;
using PeerConnection = PeerServer::connection_ptr;
using PeerFrame = PeerServer::message_ptr;
using PeerSocketHandle = websocketpp::connection_hdl;
using PeerSocketError = websocketpp::lib::error_code;

/// @brief Queues a message; errors show as the loss of the connection.
inline void sendMessage(const PeerConnection& connection, const PeerMessage& message)
{
    const auto bytes = encode(message);
    connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
}

/// @brief Ends a connection at once, without a closing handshake.
inline void dropConnection(const PeerConnection& connection)
{
    connection->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
}

/// @brief Sends small messages at once.
inline void disableDelay(const PeerConnection& connection)
{
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

} // namespace cicadalb::detail
