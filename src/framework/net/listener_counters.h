// Counts the connections of one or several listeners.
#pragma once

#include <atomic>
#include <cstdint>

namespace burdocklock::net {

/// Updated by the listeners' threads; readable from any thread.
struct listener_counters {
  std::atomic<std::uint32_t> open{0};
  std::atomic<std::uint64_t> accepted{0};
  /// Accepted and closed because of the limit on open connections.
  std::atomic<std::uint64_t> turned_away{0};
  /// Failed calls of accept, for example without free file descriptors.
  std::atomic<std::uint64_t> accept_failures{0};
};

}  // namespace burdocklock::net
