// How many requests a second a cold target gets from this router.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::targets {

/// What targets of a pool bear while they are cold.
struct cold_limits {
  /// Requests a second, from all routers together; zero if they never are cold.
  double rate = 0;
  /// How long they are cold after a return to service.
  duration time{};
};

/// Routers that may use one cold target at a time. Each may send one request
/// beyond its share of the rate, so this bounds the burst of them all.
inline constexpr std::size_t kRoutersPerColdTarget = 4;

/// This router's share of a cold target's rate: zero unless it is among the
/// routers chosen for that target. All routers that know the same list agree.
double ColdRateShare(const target_id& target,
                     const daemon_id& self,
                     const std::vector<daemon_id>& routers);

/// A bucket of one token.
///
/// Invariant: at most 1 + rate * t requests are admitted in any time t.
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
