// Tokens a second, over the recent past.
#pragma once

#include "framework/types/time.h"

namespace burdocklock::admission {

/// Exponentially weighted.
class flow_meter {
 public:
  void Add(double tokens, time_point now);
  [[nodiscard]] double Rate(time_point now) const;

 private:
  double weighted_ = 0;
  time_point at_{};
};

}  // namespace burdocklock::admission
