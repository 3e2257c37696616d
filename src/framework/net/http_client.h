// Fiber-based HTTP/1.1 client connection.
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

/// Status and header fields of a response whose body has not been read yet.
struct http_response_head {
  unsigned status = 0;
  http::fields fields;
};

/// One connection with at most one request in flight. All members must be
/// called from fibers of the thread that runs the io_context; `Close` may be
/// called from another fiber or handler of that thread and fails the pending
/// call.
class http_client {
 public:
  explicit http_client(asio::io_context& context);
  ~http_client();

  result<void> Connect(const endpoint& peer);
  /// Sends a request. If it fails, the peer may have received a part of it;
  /// kMalformed, with nothing sent, for a request that must not have a body.
  result<void> Send(http_request& request);
  /// Reads the status line and the header fields; kMalformed for a status
  /// outside 100 to 599.
  result<http_response_head> ReadHead(std::uint32_t max_body_bytes);
  /// Reads a part of the body into `buffer`, which must not be empty. Returns 0
  /// at the end of the body.
  result<std::size_t> ReadSome(char* buffer, std::size_t size);
  /// True once the body has been read completely.
  [[nodiscard]] bool AtEnd() const;
  /// True if the connection can carry another request.
  [[nodiscard]] bool Reusable() const;
  /// How long the peer keeps an idle connection open, from the Keep-Alive field
  /// of the last response; nullopt if the field has no timeout.
  [[nodiscard]] std::optional<std::chrono::seconds> idle_limit() const;
  /// True if the idle connection is open and has no unread input.
  [[nodiscard]] bool IsQuiet();

  /// Sets one deadline for pending and later calls together; they fail after
  /// it.
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

/// Sends one request on a new connection and reads the complete response.
result<http_reply> Fetch(asio::io_context& context,
                         const endpoint& peer,
                         http_request request,
                         duration timeout);

}  // namespace burdocklock::net
