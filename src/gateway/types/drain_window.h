// What a daemon that shuts down still takes.
#pragma once

#include <chrono>
#include <optional>

#include "framework/types/time.h"

namespace burdocklock::gateway {

/// The two ends of a shutdown. `cut` is not before `notice_end`.
struct drain_window {
  /// Until then callers cannot know of the shutdown, and all calls are taken.
  time_point notice_end;
  /// What still runs then is cut.
  time_point cut;

  /// Whether a call that lasts `longest` at most is taken at `now`; without a
  /// bound on its length it is taken during the notice only.
  [[nodiscard]] bool Takes(time_point now,
                           std::optional<duration> longest) const {
    // For writing the last answer after the call's time is over.
    constexpr std::chrono::milliseconds kAnswerReserve{200};
    return now < notice_end ||
           (longest.has_value() && now + *longest + kAnswerReserve <= cut);
  }
};

}  // namespace burdocklock::gateway
