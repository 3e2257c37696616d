// Divides a target's request rate among a few routers selected by
// rendezvous hashing, and enforces it with a token bucket.
#include "targets/shared_rate.h"

#include <algorithm>
#include <functional>
#include <string>

#include "targets/rendezvous.h"

namespace burdocklock::targets {

double RateShare(const target_id& target,
                 const daemon_id& self,
                 const std::vector<daemon_id>& routers) {
  if (routers.empty()) {
    return 1.0 / static_cast<double>(kRoutersPerRate);
  }
  const std::uint64_t own = RendezvousWeight(target.value(), self.value());
  std::size_t before = 0;
  std::size_t known = 0;
  for (const daemon_id& router : routers) {
    if (router == self) {
      continue;
    }
    ++known;
    before += RendezvousWeight(target.value(), router.value()) > own ? 1 : 0;
  }
  if (before >= kRoutersPerRate) {
    return 0;
  }
  return 1.0 / static_cast<double>(std::min(known + 1, kRoutersPerRate));
}

double rate_bucket::TokensAt(double rate, time_point now) const {
  if (refilled_at_ == time_point{}) {
    return 1;
  }
  return std::min(1.0, tokens_ + rate * ToSeconds(now - refilled_at_));
}

bool rate_bucket::HasToken(double rate, time_point now) const {
  return rate > 0 && TokensAt(rate, now) >= 1;
}

void rate_bucket::TakeToken(double rate, time_point now) {
  tokens_ = TokensAt(rate, now) - 1;
  refilled_at_ = now;
}

}  // namespace burdocklock::targets
