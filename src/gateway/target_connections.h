// Pool of idle connections to targets, used by one traffic thread.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "framework/net/http_client.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "gateway/recent_names.h"

namespace burdocklock::gateway {

/// A connection to a target and the names of the requests that it has carried,
/// by which answers are told apart.
struct named_connection {
  std::unique_ptr<net::http_client> client;
  recent_names names;
};

/// Invariants: a pooled connection has no request in flight and no unread data;
/// it belongs to one incarnation of its target; it has been idle for less than
/// the idle limit when it is taken.
class target_connections {
 public:
  target_connections(boost::asio::io_context& context, duration max_idle);

  /// Takes an idle connection to that incarnation that has not carried a
  /// request of that name; without a client if there is none that is known to
  /// be usable.
  named_connection Take(const endpoint& address,
                        incarnation target_incarnation,
                        std::string_view request_name);
  void Put(incarnation target_incarnation, named_connection connection);
  /// Closes all idle connections.
  void Clear();

 private:
  struct idle_connection {
    named_connection connection;
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
