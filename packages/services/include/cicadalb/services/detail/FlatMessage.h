#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>

/// @file
/// Serializes Beast messages into one contiguous buffer. Writing one buffer costs less than passing Beast's buffer sequences through a composed
/// write.

namespace cicadalb::detail {

/// Longest body that is copied for this. Longer ones are written from where they are, since the copy would stay with the connection.
inline constexpr std::size_t maximumFlatBytes = std::size_t { 16 } << 10U;

/// @brief Appends the wire format of @p message to @p out. Complexity: linear in the message's size.
template <bool isRequest, typename Body, typename Fields>
void appendMessage(boost::beast::http::message<isRequest, Body, Fields>& message, boost::beast::flat_buffer& out)
{
    boost::beast::http::serializer<isRequest, Body, Fields> serializer(message);
    boost::beast::error_code error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&serializer, &out](boost::beast::error_code&, const auto& buffers) {
            const auto length = boost::beast::buffer_bytes(buffers);
            boost::asio::buffer_copy(out.prepare(length), buffers);
            out.commit(length);
            serializer.consume(length);
        });
    }
}

} // namespace cicadalb::detail
