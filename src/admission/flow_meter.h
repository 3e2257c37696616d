// Measures the recent token rate of a flow.
#pragma once

#include "framework/types/time.h"

namespace burdocklock::admission {

/// Exponentially decaying average, in tokens per second.
class flow_meter {
 public:
  /// Tokens of the age `time_constant` count for about a third (1/e).
  explicit flow_meter(duration time_constant = std::chrono::seconds(2))
      : time_constant_s_(ToSeconds(time_constant)) {}

  void Add(double tokens, time_point now);
  [[nodiscard]] double Rate(time_point now) const;

 private:
  double time_constant_s_;
  double decayed_tokens_ = 0;
  time_point updated_at_{};
};

}  // namespace burdocklock::admission
