// Where a stream began.
#pragma once

#include <chrono>

#include "framework/types/ids.h"

namespace burdocklock::streams {

/// A stream may go on only at a target of the pool and of the software version
/// that began it: what two versions generate does not fit together.
struct stream_origin {
  pool_id pool;
  software_version version;

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// Tells other daemons where a stream began. Never changes for a key, as it is
/// made only once the first event has arrived.
struct stream_record {
  stream_key key;
  stream_origin origin;
  /// How much longer its caller may take the stream up again.
  std::chrono::milliseconds remaining{};
};

}  // namespace burdocklock::streams
