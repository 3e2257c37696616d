// What was left when a router ended all of its requests.
#pragma once

#include <cstddef>

#include "framework/types/time.h"

namespace burdocklock::routing {

struct aborted_requests {
  /// Refused as not run.
  std::size_t waiting = 0;
  std::size_t running = 0;
  /// Of those running: part of the answer is with the caller.
  std::size_t begun = 0;
  /// Of those running: the caller may neither repeat nor take up the request.
  std::size_t lost = 0;
  /// Since the arrival of the oldest one.
  duration oldest{};

  [[nodiscard]] std::size_t total() const { return waiting + running; }
};

}  // namespace burdocklock::routing
