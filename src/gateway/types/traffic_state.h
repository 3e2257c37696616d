// State of the traffic threads that the control thread may read at any time.
#pragma once

#include <atomic>
#include <cstdint>

#include "framework/net/listener_counters.h"

namespace burdocklock::gateway {

struct traffic_state {
  net::listener_counters callers;
  /// Requests that ended with nothing written although the caller was there.
  std::atomic<std::uint64_t> unanswered{0};
  /// Requests whose callers had left before they were read.
  std::atomic<std::uint64_t> left_unread{0};
  /// Threads whose processor time is so short that they refuse most requests.
  std::atomic<std::uint32_t> overloaded_threads{0};
  /// Threads that have as many callers as their means allow.
  std::atomic<std::uint32_t> crowded_threads{0};
  /// Of those threads' means: connections that may be open, calls that may be
  /// in progress, and the estimate of the memory in use.
  std::atomic<std::int64_t> max_connections{0};
  std::atomic<std::int64_t> max_calls{0};
  std::atomic<std::int64_t> memory_bytes{0};
  /// Connections closed at the end of an answer to have callers go elsewhere.
  std::atomic<std::uint64_t> moved{0};
  /// Cost of the calls that arrived, refused ones too, in thousandths of one
  /// generation's processor time.
  std::atomic<std::uint64_t> arrived_cost{0};
  /// Demand of this router's callers over the mean of all routers, in
  /// thousandths; negative if it is not known. Written by the control thread.
  std::atomic<std::int64_t> demand_over_mean{-1};
  /// Generations in progress, plain calls counting for less, and how many are
  /// admitted a second by the threads that limit them.
  std::atomic<std::int64_t> in_progress{0};
  std::atomic<std::int64_t> admission_limit{0};

  /// Returns whether a new caller is accepted and served without delay.
  [[nodiscard]] bool TakesCallers() const {
    return callers.blocked == 0 && overloaded_threads == 0 &&
           crowded_threads == 0;
  }
};

}  // namespace burdocklock::gateway
