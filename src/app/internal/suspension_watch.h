// Tells when a thread did not run although it should have.
#pragma once

#include "framework/types/time.h"

namespace burdocklock::app {

/// The process may be stopped, or its host may give it no time. What arrived
/// meanwhile is read only afterwards, but timers may be served first.
class suspension_watch {
 public:
  /// Call each time the thread runs; `due` is when its timer was to wake it at
  /// the latest. Returns for how long it did not run before; zero if that is
  /// too short to matter.
  duration OnRun(time_point due, time_point now);

 private:
  time_point last_run_{};
};

}  // namespace burdocklock::app
