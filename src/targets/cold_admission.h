// Rate limiting of requests to cold targets.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::targets {

/// Limits for cold targets of a pool.
struct cold_limits {
  /// Requests per second from all routers together; zero if targets of the pool
  /// are never cold.
  double rate = 0;
  /// How long targets stay cold after their data centre returns to service.
  duration time{};
};

/// Maximum number of routers that use one cold target at a time. Each may send
/// one request in excess of its share of the rate, so this bounds the total
/// burst.
inline constexpr std::size_t kRoutersPerColdTarget = 4;

/// Returns this router's fraction of a cold target's rate; zero unless the
/// router is among those selected for the target. Routers with the same router
/// list compute the same selection.
double ColdRateShare(const target_id& target,
                     const daemon_id& self,
                     const std::vector<daemon_id>& routers);

/// Token bucket with a capacity of one token.
///
/// Invariant: at most 1 + rate * t requests are admitted in any interval t.
class cold_bucket {
 public:
  [[nodiscard]] bool HasToken(double rate, time_point now) const;
  void TakeToken(double rate, time_point now);

 private:
  [[nodiscard]] double TokensAt(double rate, time_point now) const;

  double tokens_ = 1;
  time_point refilled_at_{};
};

}  // namespace burdocklock::targets
