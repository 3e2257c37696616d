// Writes parts of a streamed response.
#pragma once

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"

namespace burdocklock::net {

/// Writes all of `buffers`; returns false on an error or a timeout. Tries a
/// non-blocking write first: most parts fit into the socket's send buffer and
/// need neither a timer nor a suspension of the fiber.
template <typename Buffers>
bool WriteBuffers(http_connection& connection, const Buffers& buffers) {
  const std::size_t size = beast::buffer_bytes(buffers);
  beast::error_code ec;
  auto& socket = connection.stream.socket();
  socket.non_blocking(true, ec);
  const std::size_t sent = socket.write_some(buffers, ec);
  if (!ec && sent == size) {
    return true;
  }
  if (ec && ec != asio::error::would_block) {
    return false;
  }
  beast::buffers_suffix<Buffers> rest(buffers);
  rest.consume(sent);
  connection.stream.expires_after(connection.write_timeout);
  const auto written = asio::async_write(connection.stream, rest, use_fiber);
  connection.stream.expires_never();
  return !written.ec;
}

}  // namespace burdocklock::net
