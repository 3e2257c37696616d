// Admission of calls during a graceful shutdown.
#pragma once

#include <chrono>
#include <optional>

#include "framework/types/time.h"

namespace burdocklock::gateway {

/// The phases of a graceful shutdown. `cut` is not before `notice_end`.
struct drain_window {
  /// Callers may not have noticed the shutdown before this time, so all calls
  /// are accepted.
  time_point notice_end;
  /// Calls still running at this time are aborted.
  time_point cut;

  /// Whether a call that takes at most `longest` is accepted at `now`; a call
  /// without a time limit is accepted only before `notice_end`.
  [[nodiscard]] bool Accepts(time_point now,
                             std::optional<duration> longest) const {
    // Time to write the final response after the call's time limit.
    constexpr std::chrono::milliseconds kResponseReserve{200};
    return now < notice_end ||
           (longest.has_value() && now + *longest + kResponseReserve <= cut);
  }
};

}  // namespace burdocklock::gateway
