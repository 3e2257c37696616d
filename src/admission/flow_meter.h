// Measures the recent token rate of a flow.
#pragma once

#include "framework/types/time.h"

namespace burdocklock::admission {

/// Exponentially decaying average, in tokens per second.
class flow_meter {
 public:
  void Add(double tokens, time_point now);
  [[nodiscard]] double Rate(time_point now) const;

 private:
  double decayed_tokens_ = 0;
  time_point updated_at_{};
};

}  // namespace burdocklock::admission
