// See the header.
#include "gateway/target_links.h"

#include <algorithm>

namespace burdocklock::gateway {

namespace {

// An idle connection is closed this long before the target would close it, so
// that a request is not sent while the target closes the connection.
constexpr std::chrono::milliseconds kIdleMargin{800};

}  // namespace

target_links::target_links(boost::asio::io_context& context, duration max_idle)
    : context_(context), max_idle_(max_idle), sweep_timer_(context) {}

std::unique_ptr<net::http_client> target_links::Take(const endpoint& address,
                                                     incarnation life) {
  const auto found = idle_.find({address, life});
  if (found == idle_.end()) {
    return nullptr;
  }
  const time_point now = std::chrono::steady_clock::now();
  std::vector<idle_link>& links = found->second;
  while (!links.empty()) {
    idle_link candidate = std::move(links.back());
    links.pop_back();
    if (candidate.until > now && candidate.link->IsQuiet()) {
      return std::move(candidate.link);
    }
  }
  idle_.erase(found);
  return nullptr;
}

void target_links::Put(incarnation life,
                       std::unique_ptr<net::http_client> link) {
  link->ExpiresNever();
  duration limit = max_idle_;
  if (const auto stated = link->idle_limit()) {
    limit = std::min<duration>(limit, *stated - kIdleMargin);
  }
  if (limit <= duration::zero()) {
    return;
  }
  const key key{link->peer(), life};
  idle_[key].push_back({.link = std::move(link),
                        .until = std::chrono::steady_clock::now() + limit});
  ScheduleSweep();
}

void target_links::Clear() {
  idle_.clear();
  sweep_timer_.cancel();
}

void target_links::CloseExpired() {
  const time_point now = std::chrono::steady_clock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second,
                  [now](const idle_link& link) { return link.until <= now; });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void target_links::ScheduleSweep() {
  if (sweep_scheduled_ || idle_.empty()) {
    return;
  }
  sweep_scheduled_ = true;
  sweep_timer_.expires_after(max_idle_);
  sweep_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    sweep_scheduled_ = false;
    CloseExpired();
    ScheduleSweep();
  });
}

}  // namespace burdocklock::gateway
