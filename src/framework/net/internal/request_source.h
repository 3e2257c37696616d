// Bytes of a caller's request, for Beast's parsers.
#pragma once

#include <cstddef>
#include <functional>

#include <boost/system/system_error.hpp>

#include "framework/net/http_types.h"
#include "framework/types/time.h"

namespace burdocklock::net {

/// A SyncReadStream that suspends the calling fiber until bytes arrive, but not
/// beyond a deadline. A deadline that has passed never discards bytes that have
/// arrived.
class request_source {
 public:
  /// `deadline` is called before each wait, so that a change applies to
  /// requests that are being read. The socket must be non-blocking.
  request_source(tcp_stream::socket_type& socket,
                 std::function<time_point()> deadline)
      : socket_(socket), deadline_(std::move(deadline)) {}

  template <typename Buffers>
  std::size_t read_some(const Buffers& buffers, beast::error_code& ec) {
    for (;;) {
      const std::size_t received = socket_.read_some(buffers, ec);
      if (ec != asio::error::would_block) {
        return received;
      }
      if (!Wait()) {
        ec = beast::error::timeout;
        return 0;
      }
    }
  }

  template <typename Buffers>
  std::size_t read_some(const Buffers& buffers) {
    beast::error_code ec;
    const std::size_t received = read_some(buffers, ec);
    if (ec) {
      throw boost::system::system_error(ec);
    }
    return received;
  }

  /// Returns once bytes may have arrived or the deadline passes; false if it
  /// has passed before.
  bool Wait();

 private:
  tcp_stream::socket_type& socket_;
  std::function<time_point()> deadline_;
};

}  // namespace burdocklock::net
