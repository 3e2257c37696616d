// What all routers together have learned of targets' speeds.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "admission/types/fleet_load.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::control {

/// Of each target only the latest incarnation is kept. O(log targets) per
/// report of a target.
class learned_speeds {
 public:
  struct news {
    /// Those whose estimate has changed notably, or is to be told again.
    std::vector<admission::learned_speed> changed;
    std::vector<admission::learned_speed> all;
  };

  void OnReport(const admission::learned_speed& speed, time_point now);
  [[nodiscard]] news News(time_point now) const;

 private:
  struct entry {
    incarnation life;
    /// Decaying weight and mean of the logarithms of the latencies.
    double weight = 0;
    double log_base = 0;
    std::uint32_t limit = 0;
    /// Samples of the router that the limit is from, in its report.
    std::uint32_t limit_samples = 0;
    time_point limit_at{};
    time_point reported{};
    /// What was last told, and when it began to be.
    double told_log_base = 0;
    std::uint32_t told_limit = 0;
    time_point told{};
  };

  void RemoveOld(time_point now);

  std::map<target_id, entry> entries_;
  time_point next_removal_{};
};

}  // namespace burdocklock::control
