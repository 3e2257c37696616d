// What the callers of a router ask of it, compared with those of other routers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "admission/types/fleet_load.h"
#include "framework/types/time.h"

namespace burdocklock::admission {

/// Demand at one router, or the sum over several.
struct router_demand {
  /// Of generations that this router did not refuse for lack of means, in
  /// tokens per second.
  double tokens = 0;
  /// See `fleet_load`.
  std::optional<double> calls;
};

router_demand DemandOf(const fleet_load& load);

/// Returns the demand at a router over the mean of all `routers`, by calls if
/// all report them; absent if nobody asks for anything, or no other is there.
std::optional<double> DemandOverMean(const router_demand& own,
                                     const router_demand& others,
                                     std::size_t routers);

/// Mean rate of a counter over about half a second.
class counter_rate {
 public:
  /// Returns the rate per second; `count` never decreases.
  double Update(std::uint64_t count, time_point now);

 private:
  double per_second_ = 0;
  std::uint64_t count_ = 0;
  time_point updated_{};
};

}  // namespace burdocklock::admission
