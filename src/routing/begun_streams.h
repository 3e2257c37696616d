// Where the streams began that this router has served lately.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "streams/types/stream_origin.h"

namespace burdocklock::routing {

/// Keeps a bounded number of streams, each until its caller can no longer take
/// it up. If there are more, those that expire first are dropped.
///
/// Invariants: `expiries_` holds exactly the streams of `streams_`; the origin
/// of a stream never changes.
class begun_streams {
 public:
  static constexpr std::size_t kMaxStreams = 32'768;

  /// Notes where a stream began, or that it is taken up until a later time.
  void Add(stream_key key,
           const streams::stream_origin& origin,
           time_point until,
           time_point now);
  [[nodiscard]] std::optional<streams::stream_origin> Find(
      stream_key key,
      time_point now) const;
  [[nodiscard]] std::size_t size() const { return streams_.size(); }

 private:
  struct stream {
    streams::stream_origin origin;
    time_point until;
  };

  void DropFirst();

  std::unordered_map<stream_key, stream> streams_;
  std::set<std::pair<time_point, stream_key>> expiries_;
};

}  // namespace burdocklock::routing
