// What a server knows of a connection that it closed while it was idle.
#pragma once

#include <cstddef>

#include "framework/types/time.h"

namespace burdocklock::net {

enum class close_cause {
  /// No request came within the idle timeout.
  kIdleTimeout,
  /// A new connection took its place.
  kEvicted,
  /// `http_server::CloseIdle`.
  kDrained,
  /// `http_server::Stop`.
  kStopped,
};

constexpr const char* ToString(close_cause cause) {
  switch (cause) {
    case close_cause::kIdleTimeout:
      return "idle_timeout";
    case close_cause::kEvicted:
      return "evicted";
    case close_cause::kDrained:
      return "drained";
    case close_cause::kStopped:
      return "stopped";
  }
  return "stopped";
}

/// Bytes arrived after the server had closed the connection: the start of a
/// request that crossed the close. It was not read.
struct crossed_close {
  close_cause cause = close_cause::kIdleTimeout;
  /// How long the connection had been idle when it was closed.
  duration idle{};
  /// From the close to the arrival.
  duration after{};
  std::size_t bytes = 0;
};

}  // namespace burdocklock::net
