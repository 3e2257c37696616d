// Admission of requests during a graceful shutdown.
#pragma once

#include <chrono>
#include <optional>

#include "framework/types/time.h"

namespace burdocklock::routing {

/// The phases of a graceful shutdown. `cut` is not before `notice_end`.
struct drain_window {
  /// Callers may not have noticed the shutdown before this time, so calls are
  /// accepted that are not known to last beyond the cut.
  time_point notice_end;
  /// Calls still running at this time are aborted.
  time_point cut;

  /// Whether a call that takes at most `longest` is accepted at `now`; a call
  /// without a time limit is accepted only before `notice_end`.
  [[nodiscard]] bool Accepts(time_point now,
                             std::optional<duration> longest) const {
    return now < notice_end ||
           (longest.has_value() && EndsBeforeCut(now, *longest));
  }
  /// The latest time at which what takes `time` can begin to end, with its last
  /// response written, before the cut.
  [[nodiscard]] time_point LatestBegin(duration time) const {
    constexpr std::chrono::milliseconds kResponseReserve{200};
    return cut - kResponseReserve - time;
  }
  [[nodiscard]] bool EndsBeforeCut(time_point begin, duration time) const {
    return begin <= LatestBegin(time);
  }
};

}  // namespace burdocklock::routing
