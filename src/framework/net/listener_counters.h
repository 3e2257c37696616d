// Counts the connections of one or several listeners.
#pragma once

#include <atomic>
#include <cstdint>

namespace burdocklock::net {

/// Updated by the listeners' threads; readable from any thread.
struct listener_counters {
  std::atomic<std::uint32_t> open{0};
  std::atomic<std::uint64_t> accepted{0};
  /// New connections whose requests had arrived with them and were not read
  /// yet; counted where callers may be turned away.
  std::atomic<std::uint32_t> unread{0};
  /// Requests of new connections that were refused without a fiber.
  std::atomic<std::uint64_t> refused_at_once{0};
  /// Idle connections that were closed to make room for new ones.
  std::atomic<std::uint64_t> evicted{0};
  /// Connections that were closed because no request came in time.
  std::atomic<std::uint64_t> idle_timeouts{0};
  /// Connections on which bytes arrived after they were closed while idle.
  std::atomic<std::uint64_t> crossed{0};
  /// Connections that were closed because a request did not come whole in time.
  std::atomic<std::uint64_t> read_timeouts{0};
  /// Requests that were given up for lack of room for their bodies.
  std::atomic<std::uint64_t> given_up{0};
  /// Connections that were closed because an exception came out of what serves
  /// them.
  std::atomic<std::uint64_t> failed{0};
  /// Failed calls of accept, for example without free file descriptors.
  std::atomic<std::uint64_t> accept_failures{0};
  /// Listeners that cannot accept at present: the limit on open connections or
  /// the descriptors are used up, and no connection is idle.
  std::atomic<std::uint32_t> blocked{0};
};

}  // namespace burdocklock::net
