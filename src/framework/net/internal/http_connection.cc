// Part of http_server: a connection, as handlers of requests use it.
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <string>

#include <boost/beast/http/write.hpp>

#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"
#include "framework/net/write_buffers.h"

namespace burdocklock::net {

namespace {

// Part of the idle timeout that callers are told, so that a request which they
// send in time does not cross the close.
constexpr double kToldIdlePart = 0.8;

}  // namespace

bool http_connection::Write(http_response& response) {
  response.prepare_payload();
  http::response_serializer<http::string_body> serializer(response);
  const beast::error_code ec = WriteWhatFits(stream, serializer);
  if (ec != asio::error::would_block) {
    return !ec;
  }
  stream.expires_after(write_timeout);
  const auto written = http::async_write(stream, serializer, use_fiber);
  stream.expires_never();
  return !written.ec;
}

void http_connection::PromiseIdle(http::fields& head) {
  const auto told = std::chrono::duration_cast<std::chrono::seconds>(
      idle_timeout * kToldIdlePart);
  if (told.count() == 0) {
    return;
  }
  head.set(http::field::keep_alive, "timeout=" + std::to_string(told.count()));
  promised_idle = idle_timeout;
}

http_connection::arrival http_connection::Arrived() {
  char byte = 0;
  const auto received = ::recv(stream.socket().native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return arrival::kData;
  }
  const bool is_open =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_open ? arrival::kNothing : arrival::kEnd;
}

}  // namespace burdocklock::net
