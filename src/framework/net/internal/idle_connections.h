// Connections that wait for a request.
#pragma once

#include <functional>
#include <list>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "framework/net/http_server.h"
#include "framework/net/http_types.h"
#include "framework/net/listener_counters.h"

namespace burdocklock::net {

/// Whether bytes of a request wait to be read.
bool HasArrived(http_connection& connection);

/// Closes connections that have been idle for longer than the timeout in force,
/// and than their peers were promised, never one at which bytes of a request
/// have arrived.
class idle_connections {
 public:
  /// `timeout` is asked again and again, so that a change applies to
  /// connections that wait already.
  idle_connections(asio::io_context& context,
                   std::function<duration()> timeout,
                   listener_counters& counters)
      : timeout_(std::move(timeout)), counters_(counters), timer_(context) {}

  void Add(http_connection& connection);
  void Remove(http_connection& connection);
  /// Ends the connection unless it is busy or bytes of a request have arrived:
  /// only its sending side, unless it is evicted, so that what still arrives is
  /// seen. Returns whether it did; its fiber then goes on.
  bool Close(http_connection& connection, close_cause cause);
  /// The connection to close for a new one; nullptr if there is none.
  [[nodiscard]] http_connection* Longest() const;
  /// Ends the closing by time.
  void Stop();

 private:
  using order = std::list<http_connection*>;

  order& OrderOf(const http_connection& connection) {
    return connection.used ? used_ : unused_;
  }
  void Sweep();
  /// Returns when the next one of them is due; kNever if none waits.
  time_point CloseOverdue(const order& idle, duration timeout);
  void ScheduleSweep();
  void ScheduleSweepAt(time_point due);

  std::function<duration()> timeout_;
  listener_counters& counters_;
  asio::steady_timer timer_;
  /// With and without an earlier request, longest idle first.
  order used_;
  order unused_;
  bool scheduled_ = false;
  bool stopped_ = false;
  /// Gone with this object: a sweep that is due may still be called.
  std::shared_ptr<void> alive_ = std::make_shared<char>();
};

}  // namespace burdocklock::net
