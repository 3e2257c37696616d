// See the header.
#include "framework/net/internal/idle_connections.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace burdocklock::net {

namespace {

using std::chrono::steady_clock;

// A connection without a request is not closed for a new one before this time.
constexpr std::chrono::seconds kMinUnusedTime{1};
// Bounds the search for an idle connection that can be closed.
constexpr std::size_t kMaxEvictionCandidates = 16;
// Connections obey a shorter idle timeout this long after it changes at most.
constexpr std::chrono::seconds kMaxSweepInterval{1};
// While a request that has arrived in time waits to be read.
constexpr std::chrono::milliseconds kMinSweepInterval{10};

}  // namespace

bool HasArrived(http_connection& connection) {
  beast::error_code ec;
  return connection.buffer.size() > 0 ||
         (connection.stream.socket().available(ec) > 0 && !ec);
}

void idle_connections::Add(http_connection& connection) {
  if (connection.idle) {
    return;
  }
  order& idle = OrderOf(connection);
  connection.idle = true;
  connection.idle_since = steady_clock::now();
  connection.idle_position = idle.insert(idle.end(), &connection);
  ScheduleSweep();
}

void idle_connections::Remove(http_connection& connection) {
  if (connection.idle) {
    connection.idle = false;
    OrderOf(connection).erase(connection.idle_position);
  }
}

bool idle_connections::Close(http_connection& connection, close_cause cause) {
  if (!connection.idle || HasArrived(connection)) {
    return false;
  }
  Remove(connection);
  connection.closed = cause;
  if (cause == close_cause::kEvicted) {
    // A new connection may need the descriptor.
    connection.stream.close();
    return true;
  }
  beast::error_code ignored;
  connection.stream.socket().shutdown(asio::socket_base::shutdown_send,
                                      ignored);
  connection.stream.socket().cancel(ignored);
  return true;
}

http_connection* idle_connections::Longest() const {
  std::size_t candidates = 0;
  for (http_connection* connection : used_) {
    if (!HasArrived(*connection)) {
      return connection;
    }
    if (++candidates == kMaxEvictionCandidates) {
      break;
    }
  }
  // A new connection is about to send its first request.
  const bool has_old =
      !unused_.empty() &&
      steady_clock::now() - unused_.front()->accepted_at >= kMinUnusedTime &&
      !HasArrived(*unused_.front());
  return has_old ? unused_.front() : nullptr;
}

void idle_connections::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void idle_connections::Sweep() {
  const duration timeout = timeout_();
  const time_point due =
      std::min(CloseOverdue(used_, timeout), CloseOverdue(unused_, timeout));
  if (due != kNever && !stopped_) {
    ScheduleSweepAt(due);
  }
}

time_point idle_connections::CloseOverdue(const order& idle, duration timeout) {
  const time_point now = steady_clock::now();
  time_point next_due = kNever;
  for (auto it = idle.begin(); it != idle.end();) {
    http_connection& connection = **it++;
    const time_point due =
        connection.idle_since + std::max(timeout, connection.promised_idle);
    const bool closed =
        due <= now && Close(connection, close_cause::kIdleTimeout);
    counters_.idle_timeouts += closed ? 1 : 0;
    next_due = closed ? next_due : std::min(next_due, due);
    if (connection.idle_since + timeout > now) {
      // Those behind it have waited for a shorter time.
      break;
    }
  }
  return next_due;
}

void idle_connections::ScheduleSweep() {
  if (scheduled_ || stopped_ || (used_.empty() && unused_.empty())) {
    return;
  }
  time_point oldest = steady_clock::now();
  for (const order* idle : {&used_, &unused_}) {
    oldest =
        idle->empty() ? oldest : std::min(oldest, idle->front()->idle_since);
  }
  ScheduleSweepAt(oldest + timeout_());
}

void idle_connections::ScheduleSweepAt(time_point due) {
  const time_point now = steady_clock::now();
  scheduled_ = true;
  timer_.expires_at(std::clamp<time_point>(due, now + kMinSweepInterval,
                                           now + kMaxSweepInterval));
  timer_.async_wait(
      [this, alive = std::weak_ptr<void>(alive_)](const beast::error_code& ec) {
        if (ec || alive.expired()) {
          return;
        }
        scheduled_ = false;
        Sweep();
      });
}

}  // namespace burdocklock::net
