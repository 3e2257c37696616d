// A rate of requests to one target that several routers share without asking
// each other.
#pragma once

#include <cstddef>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::targets {

/// Maximum number of routers that share the rate of one target. Each may send
/// one request in excess of its share, so this bounds the total burst.
inline constexpr std::size_t kRoutersPerRate = 4;

/// Returns this router's fraction of a target's rate; zero unless the router is
/// among those selected for the target. Routers with the same router list
/// compute the same selection. Without a list the router takes the fraction of
/// one among many.
double RateShare(const target_id& target,
                 const daemon_id& self,
                 const std::vector<daemon_id>& routers);

/// Token bucket with a capacity of one token.
///
/// Invariant: at most 1 + rate * t requests are admitted in any interval t.
class rate_bucket {
 public:
  [[nodiscard]] bool HasToken(double rate, time_point now) const;
  void TakeToken(double rate, time_point now);

 private:
  [[nodiscard]] double TokensAt(double rate, time_point now) const;

  double tokens_ = 1;
  time_point refilled_at_{};
};

}  // namespace burdocklock::targets
