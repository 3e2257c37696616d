// Writes that need neither a timer nor a suspension of the fiber while what is
// written fits into the socket's send buffer.
#pragma once

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"

namespace burdocklock::net {

/// Has synchronous operations return instead of waiting.
inline void SetNonBlocking(tcp_stream& stream) {
  // Asio makes a system call each time.
  if (!stream.socket().non_blocking()) {
    beast::error_code ignored;
    stream.socket().non_blocking(true, ignored);
  }
}

/// Writes as much of the message as fits; `would_block` if that is not all.
template <bool is_request, typename Body>
beast::error_code WriteWhatFits(
    tcp_stream& stream,
    http::serializer<is_request, Body, http::fields>& serializer) {
  SetNonBlocking(stream);
  beast::error_code ec;
  http::write(stream.socket(), serializer, ec);
  return ec;
}

/// Writes a head that a body may follow; returns false on an error or a
/// timeout.
inline bool WriteHead(http_connection& connection,
                      http::response<http::empty_body>& head) {
  http::response_serializer<http::empty_body> serializer(head);
  SetNonBlocking(connection.stream);
  beast::error_code ec;
  http::write_header(connection.stream.socket(), serializer, ec);
  if (ec != asio::error::would_block) {
    return !ec;
  }
  connection.stream.expires_after(connection.write_timeout);
  const auto written =
      http::async_write_header(connection.stream, serializer, use_fiber);
  connection.stream.expires_never();
  return !written.ec;
}

/// Writes all of `buffers`; returns false on an error or a timeout.
template <typename Buffers>
bool WriteBuffers(http_connection& connection, const Buffers& buffers) {
  const std::size_t size = beast::buffer_bytes(buffers);
  SetNonBlocking(connection.stream);
  beast::error_code ec;
  const std::size_t sent = connection.stream.socket().write_some(buffers, ec);
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
