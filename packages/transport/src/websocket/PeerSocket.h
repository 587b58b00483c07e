#pragma once

// The websocket library uses names that Asio has deprecated.
#undef BOOST_ASIO_NO_DEPRECATED

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "PeerMessage.h"

#include <cstddef>
#include <string>

/// @file
/// Websocket types of the links between hosts. C++17.

namespace cicadalb::detail {

/// @brief Largest message on a link that is not authenticated yet.
inline constexpr std::size_t maximumUnauthenticatedMessageBytes = 4096;
/// @brief Largest message on an authenticated link.
inline constexpr std::size_t maximumAuthenticatedMessageBytes = std::size_t { 16 } << 20U;
/// @brief Largest body of a request or answer; leaves room for the other members of the message.
inline constexpr std::size_t maximumBodyBytes = maximumAuthenticatedMessageBytes - (std::size_t { 64 } << 10U);
/// @brief Timeout of the TCP connect and of the websocket handshake, each.
inline constexpr long handshakeTimeoutMilliseconds = 1500;

/// @brief Library configuration of both ends: no logging and no multithreading in the library, small messages until the link is authenticated.
struct PeerSocketConfig : public websocketpp::config::asio_client {
    using type = PeerSocketConfig;
    using base = websocketpp::config::asio_client;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;

    struct transport_config : public base::transport_config { // NOLINT(readability-identifier-naming): named by the library
        using alog_type = websocketpp::log::stub;
        using elog_type = websocketpp::log::stub;
        static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)
        static const long timeout_connect = handshakeTimeoutMilliseconds; // NOLINT(readability-identifier-naming)
        static const long timeout_socket_shutdown = handshakeTimeoutMilliseconds; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    static const long timeout_open_handshake = handshakeTimeoutMilliseconds; // NOLINT(readability-identifier-naming)
    static const long timeout_close_handshake = handshakeTimeoutMilliseconds; // NOLINT(readability-identifier-naming)
    static const std::size_t max_message_size = maximumUnauthenticatedMessageBytes; // NOLINT(readability-identifier-naming)
    static const std::size_t max_http_body_size = maximumUnauthenticatedMessageBytes; // NOLINT(readability-identifier-naming)
};

using PeerSocketServer = websocketpp::server<PeerSocketConfig>;
using PeerSocketClient = websocketpp::client<PeerSocketConfig>;
using PeerConnection = PeerSocketServer::connection_ptr;
using PeerSocketMessage = PeerSocketServer::message_ptr;
using PeerSocketHandle = websocketpp::connection_hdl;
using PeerSocketError = websocketpp::lib::error_code;

/// @brief Queues a message. Errors are not reported here; they show as the loss of the connection.
inline void sendMessage(const PeerConnection& connection, const PeerMessage& message)
{
    const auto bytes = encode(message);
    connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
}

/// @brief Closes a connection at once, without a closing handshake.
inline void terminateConnection(const PeerConnection& connection)
{
    connection->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
}

/// @brief Makes TCP send small messages without delay.
inline void disableNagleAlgorithm(const PeerConnection& connection)
{
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

} // namespace cicadalb::detail
