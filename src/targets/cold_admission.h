// Limits on requests to cold targets.
#pragma once

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

}  // namespace burdocklock::targets
