// See the header.
#include "gateway/target_connections.h"

#include <algorithm>

namespace burdocklock::gateway {

namespace {

// An idle connection is closed this long before the target would close it, so
// that a request is not sent while the target closes the connection.
constexpr std::chrono::milliseconds kIdleMargin{800};
constexpr std::chrono::seconds kSweepInterval{2};

}  // namespace

target_connections::target_connections(boost::asio::io_context& context,
                                       duration max_idle)
    : context_(context), max_idle_(max_idle), sweep_timer_(context) {}

std::unique_ptr<net::http_client> target_connections::Take(
    const endpoint& address,
    incarnation target_incarnation) {
  const auto found = idle_.find({address, target_incarnation});
  if (found == idle_.end()) {
    return nullptr;
  }
  const time_point now = std::chrono::steady_clock::now();
  std::vector<idle_connection>& connections = found->second;
  while (!connections.empty()) {
    idle_connection candidate = std::move(connections.back());
    connections.pop_back();
    if (candidate.until > now && candidate.connection->IsQuiet()) {
      return std::move(candidate.connection);
    }
  }
  idle_.erase(found);
  return nullptr;
}

void target_connections::Put(incarnation target_incarnation,
                             std::unique_ptr<net::http_client> connection) {
  connection->ExpiresNever();
  duration limit = max_idle_;
  if (const auto stated = connection->idle_limit()) {
    limit = std::min<duration>(limit, *stated - kIdleMargin);
  }
  if (limit <= duration::zero()) {
    return;
  }
  const key key{connection->peer(), target_incarnation};
  idle_[key].push_back({.connection = std::move(connection),
                        .until = std::chrono::steady_clock::now() + limit});
  ScheduleSweep();
}

void target_connections::Clear() {
  idle_.clear();
  sweep_timer_.cancel();
}

void target_connections::CloseUnusable() {
  const time_point now = std::chrono::steady_clock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const idle_connection& idle) {
      return idle.until <= now || !idle.connection->IsQuiet();
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void target_connections::ScheduleSweep() {
  if (sweep_scheduled_ || idle_.empty()) {
    return;
  }
  sweep_scheduled_ = true;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    sweep_scheduled_ = false;
    CloseUnusable();
    ScheduleSweep();
  });
}

}  // namespace burdocklock::gateway
