// Bounds on what daemons remember and tell one another about streams.
#pragma once

#include <chrono>
#include <cstddef>

#include "streams/types/stream_origin.h"

namespace burdocklock::streams {

/// No record is kept longer than this without being told again: longer than the
/// capacities below allow for all streams, since few take so long.
inline constexpr std::chrono::milliseconds kMaxRemaining =
    std::chrono::seconds(240);

/// Bytes; streams of pools and versions with longer names are not recorded.
inline constexpr std::size_t kMaxPoolBytes = 256;
inline constexpr std::size_t kMaxVersionBytes = 256;

/// Copies of a record on different control hosts.
inline constexpr std::size_t kCopies = 3;

/// Records that a control host holds: 30,000 streams begin in a second, with
/// three copies over 19 hosts, for 60 s (284,211), and a quarter more as hosts
/// are not chosen evenly.
inline constexpr std::size_t kControlHostCapacity = 360'000;
/// Records that a router holds of its own streams: 270 begun in a second, 13
/// times an equal share of the fleet's.
inline constexpr std::size_t kRouterCapacity = 16'384;

inline bool IsWithinLimits(const stream_origin& origin) {
  return origin.pool.value().size() <= kMaxPoolBytes &&
         origin.version.value().size() <= kMaxVersionBytes;
}

}  // namespace burdocklock::streams
