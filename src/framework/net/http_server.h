// Fiber-based HTTP/1.1 server: one fiber per connection, all on the thread that
// starts the server.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "framework/net/byte_budget.h"
#include "framework/net/closed_connection.h"
#include "framework/net/http_types.h"
#include "framework/net/listener_counters.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

namespace burdocklock::net {

/// A server-side connection, as passed to handlers.
struct http_connection {
  tcp_stream stream;
  /// Bytes received after the end of the current request.
  beast::flat_buffer buffer;
  duration write_timeout{};
  time_point accepted_at{};
  /// True while no request is being read or handled.
  bool idle = false;
  /// True once a request has been handled.
  bool used = false;
  /// Whether it is counted in `listener_counters::unread`.
  bool unread = false;
  /// Since when it has been idle, while `idle`.
  time_point idle_since{};
  /// The idle timeout in force when the current request began.
  duration idle_timeout{};
  /// It is not closed for being idle before this time has passed: the peer was
  /// told that it may use it for nearly as long.
  duration promised_idle{};
  /// Set if it was closed while it was idle and no byte of a request had
  /// arrived.
  std::optional<close_cause> closed;
  /// Position in the server's list of idle connections while `idle`.
  std::list<http_connection*>::iterator idle_position;

  /// Writes a complete response; returns false on an error or a timeout.
  bool Write(http_response& response);
  /// Tells the peer in an answer's head how long it may use the connection.
  void PromiseIdle(http::fields& head);
  /// Returns what has arrived from the peer and was not read yet.
  enum class arrival { kNothing, kData, kEnd };
  arrival Arrived();
};

enum class keep_alive { kYes, kNo };

class i_http_handler {
 public:
  virtual ~i_http_handler() = default;

  /// Handles one request. Runs on the connection's fiber and may block it. An
  /// exception closes the connection.
  virtual keep_alive Handle(http_connection& connection,
                            http_request& request) = 0;
  /// Called when a request cannot be read; `code` is kMalformed, kTooLarge, or
  /// kNoResources if there is no room for its body at present. The connection
  /// is closed afterwards.
  virtual void OnBadRequest(http_connection& connection, error_code code) = 0;
  /// Whether `RefuseAtOnce` can refuse requests.
  [[nodiscard]] virtual bool refuses_at_once() const { return false; }
  /// Refuses the first request of a new connection if it would be refused for
  /// lack of means; the connection is closed then. Must not block. Returns
  /// false, with nothing written, if the request is to be handled as usual.
  virtual bool RefuseAtOnce(http_connection&, http_request&) { return false; }
};

/// Size limits and timeouts for incoming requests. A timeout never discards a
/// request that has arrived before the connection is closed. A shorter idle
/// timeout applies to a connection from its next request on.
struct http_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  duration idle_timeout = std::chrono::seconds(60);
  duration read_timeout = std::chrono::seconds(15);
};

struct http_server_options {
  endpoint listen;
  /// Sets SO_REUSEPORT, so that several threads can listen on one port.
  bool share_port = false;
  http_limits limits;
  /// If set, used instead of `limits`. Called when a request begins and while
  /// connections wait, so that they obey the limits in force.
  std::function<http_limits()> current_limits;
  duration write_timeout = std::chrono::seconds(30);
  /// At this many open connections, a new one replaces the one that has been
  /// idle longest. While none is idle, new ones wait to be accepted.
  std::uint32_t max_connections = 4096;
  /// If set, lowers `max_connections` while it returns less.
  std::function<std::uint32_t()> current_max_connections;
  /// If set and true, a request that arrives with its connection is offered to
  /// `RefuseAtOnce` before a fiber is started for it. Not asked if the handler
  /// never refuses so.
  std::function<bool()> turns_away;
  /// Shared by several servers, which then have one limit together; nullptr for
  /// counters of the server's own.
  listener_counters* counters = nullptr;
  /// Bounds the bodies of requests that are being read or handled; nullptr for
  /// a budget of the server's own.
  byte_budget* budget = nullptr;
  /// How long a request may cross the close of its connection: a round trip.
  duration crossing_time = std::chrono::milliseconds(250);
  /// Called when bytes arrive on a connection that was closed while idle.
  std::function<void(const crossed_close&)> on_crossed;
  /// Called with the cause when a connection is closed because an exception
  /// came out of what serves it. Must not suspend a fiber.
  std::function<void(const std::string& cause)> on_failed;
};

/// All members must be called on the thread that runs the io_context.
class http_server {
 public:
  http_server(asio::io_context& context,
              const http_server_options& options,
              i_http_handler& handler);
  ~http_server();

  /// Binds and starts accepting. Returns the bound address; an error contains
  /// the address.
  result<endpoint> Start();
  /// Closes connections that wait for a subsequent request of which nothing has
  /// arrived; keeps accepting.
  void CloseIdle();
  /// Stops accepting and closes idle connections; busy connections close after
  /// the last request that has arrived.
  void Stop();
  /// Returns the longest time for which a caller had waited to be accepted
  /// behind more than one turn accepts, since the last call; zero if none had.
  duration TakeLongestWait();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace burdocklock::net
