// How many requests all routers together aim at for each slot of a pool's small
// targets. Those beyond the slots wait in the targets' own queues, whose length
// nobody announces: it is learned from what targets reject (design note 010).
#pragma once

#include "framework/types/time.h"

namespace burdocklock::targets {

/// Invariant: value() is at least 1 and less than 2.
class slot_allowance {
 public:
  /// What the pool's targets have recently answered and rejected of the
  /// requests of all routers, a second.
  void OnResults(double answered, double rejected, time_point now);

  [[nodiscard]] double value() const { return value_; }

 private:
  double value_ = 1.5;
  time_point updated_at_{};
};

}  // namespace burdocklock::targets
