// Clock types. Decision modules never read a clock: the current time is passed
// in as `now`, so that tests can run on virtual time.
#pragma once

#include <chrono>

namespace burdocklock {

/// Monotonic time; not comparable between hosts.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
/// Wall-clock time, used only in human-readable records.
using wall_time = std::chrono::system_clock::time_point;

inline constexpr time_point kNever = time_point::max();

/// Seconds as a floating point number, for metrics and logs.
inline double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

/// Milliseconds as a floating point number, for metrics and logs.
inline double ToMilliseconds(duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

}  // namespace burdocklock
