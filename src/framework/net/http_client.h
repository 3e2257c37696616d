// HTTP/1.1 client connection on fibers.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "framework/net/http_types.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

namespace burdocklock::net {

/// The head of a response whose body is still to be read.
struct http_response_head {
  unsigned status = 0;
  http::fields fields;
};

/// One connection with at most one request in flight. All members must be
/// called from fibers of the thread that runs the io_context; `Close` may be
/// called from another fiber or handler of that thread and makes the pending
/// call fail.
class http_client {
 public:
  explicit http_client(asio::io_context& context);
  ~http_client();

  result<void> Connect(const endpoint& peer);
  /// Sends a request. After a failure some of it may have been received.
  result<void> Send(http_request& request);
  /// Reads up to the end of the head.
  result<http_response_head> ReadHead(std::uint32_t max_body_bytes);
  /// Reads some of the body into `buffer`, which must not be empty. Zero at
  /// the end of the body.
  result<std::size_t> ReadSome(char* buffer, std::size_t size);
  /// True once the body was read to its end.
  [[nodiscard]] bool AtEnd() const;
  /// True if the connection can carry another request.
  [[nodiscard]] bool Reusable() const;
  /// How long the peer keeps the connection idle, by the last answer's
  /// Keep-Alive field; nullopt if it did not say.
  [[nodiscard]] std::optional<std::chrono::seconds> idle_limit() const;
  /// True if nothing arrived on the idle connection and it is not closed.
  [[nodiscard]] bool IsQuiet();

  /// Fails pending and later calls that take longer than this in all.
  void ExpiresAfter(duration timeout);
  void ExpiresNever();
  void Close();

  [[nodiscard]] const endpoint& peer() const;

 private:
  struct state;

  result<void> FillBuffer();

  std::unique_ptr<state> state_;
};

struct http_reply {
  unsigned status = 0;
  http::fields fields;
  std::string body;
};

/// Sends one request on a new connection and reads the whole answer.
result<http_reply> Fetch(asio::io_context& context,
                         const endpoint& peer,
                         http_request request,
                         duration timeout);

}  // namespace burdocklock::net
