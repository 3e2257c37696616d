// Pool of idle connections to targets, used by one traffic thread.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "framework/net/http_client.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::gateway {

/// Invariants: a pooled connection has no request in flight and no unread data;
/// it belongs to one incarnation of its target; it has been idle for less than
/// the idle limit when it is taken.
class target_connections {
 public:
  target_connections(boost::asio::io_context& context, duration max_idle);

  /// Takes an idle connection to that incarnation; nullptr if there is none
  /// that is known to be usable.
  std::unique_ptr<net::http_client> Take(const endpoint& address,
                                         incarnation target_incarnation);
  void Put(incarnation target_incarnation,
           std::unique_ptr<net::http_client> connection);
  /// Closes all idle connections.
  void Clear();

 private:
  struct idle_connection {
    std::unique_ptr<net::http_client> connection;
    time_point until;
  };
  using key = std::pair<endpoint, incarnation>;

  /// Closes connections that have expired, have been closed by the target, or
  /// on which it has sent bytes without a request.
  void CloseUnusable();
  void ScheduleSweep();

  boost::asio::io_context& context_;
  duration max_idle_;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;
  std::map<key, std::vector<idle_connection>> idle_;
};

}  // namespace burdocklock::gateway
