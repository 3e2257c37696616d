// State of http_server, which its connections' fibers share.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "framework/net/http_server.h"
#include "framework/net/internal/checked_parser.h"
#include "framework/net/internal/idle_connections.h"
#include "framework/net/internal/request_source.h"

namespace burdocklock::net {

using request_parser = checked_parser<true, http::string_body>;

// Bodies of requests to a server without a shared budget.
inline constexpr std::size_t kOwnBudgetBytes = 64 * 1024 * 1024;

struct http_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context& context,
        const http_server_options& options,
        i_http_handler& handler)
      : context(context),
        options(options),
        handler(handler),
        acceptor(context),
        idle(
            context,
            [this] { return CurrentLimits().idle_timeout; },
            counters()) {}

  result<endpoint> Listen();
  void AcceptLoop();
  // Accepts further connections that already wait, so that their number does
  // not depend on the turns of the event loop. Returns false if accepting
  // fails.
  bool AcceptPending();
  // While new callers are turned away: accepts them at the beginning and in the
  // middle of each turn, as they need not wait for the calls that are served.
  void AcceptInTurns();
  // Wakes the event loop when a connection waits to be accepted.
  void WakeForCaller();
  // Closes idle connections, or waits, until a connection can be accepted or
  // none waits any more.
  void AcceptAfterFailure();
  void SetBlocked(bool now_blocked);
  bool HasRoom();
  bool CanAccept() { return HasRoom() || idle.Longest() != nullptr; }
  // Closes the connection that has been idle longest; false if there is none.
  bool EvictIdle();
  // Reports if bytes arrive on a connection that was closed while idle.
  void WatchClosed(http_connection& connection);
  [[nodiscard]] http_limits CurrentLimits() const {
    return options.current_limits ? options.current_limits() : options.limits;
  }
  [[nodiscard]] std::uint32_t MaxConnections() const {
    return options.current_max_connections
               ? std::min(options.max_connections,
                          options.current_max_connections())
               : options.max_connections;
  }
  [[nodiscard]] bool TurnsAway() const {
    return options.turns_away && handler.refuses_at_once() &&
           options.turns_away();
  }
  void Serve(tcp_stream stream);
  // Without a fiber: what has not arrived whole is left to one.
  bool RefuseAtOnce(http_connection& connection);
  void ServeConnection(http_connection& connection);
  // Bounds what an exception ends to what `serve` does. Returns false if one
  // came out of it.
  bool Contain(const std::function<void()>& serve);
  void ServeRequests(http_connection& connection);
  // Returns false if the connection is closed instead.
  static bool AwaitRequest(http_connection& connection);
  std::optional<http_request> ReadRequest(http_connection& connection,
                                          byte_hold& hold);
  static bool Continue(http_connection& connection);
  bool ReadBody(http_connection& connection,
                request_source& source,
                request_parser& parser,
                byte_hold& hold);
  // Reads and discards what the caller still sends after its last answer.
  static void Linger(http_connection& connection);
  void ReportReadError(http_connection& connection,
                       const beast::error_code& ec);

  asio::io_context& context;
  http_server_options options;
  i_http_handler& handler;
  tcp_acceptor acceptor;
  std::unordered_set<http_connection*> connections;
  /// Evicted connections whose fibers have not ended yet.
  std::uint32_t evicting = 0;
  /// Closed connections, which take no place, that are watched for requests
  /// that crossed the close.
  std::unordered_set<http_connection*> watched;
  bool blocked = false;
  /// Whether a connection that waits to be accepted makes the event loop turn.
  bool wakes_for_caller = false;
  /// Since it was last taken.
  duration longest_wait{};
  /// When connections were last accepted.
  time_point last_accepts = std::chrono::steady_clock::now();
  /// For how long it then did.
  duration accepts_took{};
  listener_counters own_counters;
  byte_budget own_budget{kOwnBudgetBytes};
  idle_connections idle;
  bool stopping = false;

  listener_counters& counters() {
    return options.counters != nullptr ? *options.counters : own_counters;
  }
  byte_budget& budget() {
    return options.budget != nullptr ? *options.budget : own_budget;
  }
};

}  // namespace burdocklock::net
