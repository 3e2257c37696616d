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

named_connection target_connections::Take(const endpoint& address,
                                          incarnation target_incarnation,
                                          std::string_view request_name) {
  const auto found = idle_.find({address, target_incarnation});
  if (found == idle_.end()) {
    return {};
  }
  const time_point now = std::chrono::steady_clock::now();
  std::vector<idle_connection>& connections = found->second;
  named_connection taken;
  for (auto it = connections.end();
       it != connections.begin() && !taken.client;) {
    --it;
    if (it->until <= now || !it->connection.client->IsQuiet()) {
      it = connections.erase(it);
    } else if (!it->connection.names.Contains(request_name)) {
      taken = std::move(it->connection);
      it = connections.erase(it);
    }
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return taken;
}

void target_connections::Put(incarnation target_incarnation,
                             named_connection connection) {
  connection.client->ExpiresNever();
  duration limit = max_idle_;
  if (const auto stated = connection.client->idle_limit()) {
    limit = std::min<duration>(limit, *stated - kIdleMargin);
  }
  if (limit <= duration::zero()) {
    return;
  }
  const key key{connection.client->peer(), target_incarnation};
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
      return idle.until <= now || !idle.connection.client->IsQuiet();
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
