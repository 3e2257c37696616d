// Records of where streams began, bounded in number and time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "streams/types/stream_limits.h"
#include "streams/types/stream_origin.h"

namespace burdocklock::streams {

enum class record_result {
  kAdded,
  /// Known already; kept for the longer of both times.
  kRenewed,
  /// Differs from what is known, for the first time: a fault of a daemon. The
  /// stream counts as unknown from now on.
  kContradiction,
  /// Was contradicted before; still unknown.
  kContradicted,
  /// Not kept: its time is over, or it exceeds the limits.
  kIgnored,
};

/// What is not held is unknown; nothing is ever inferred from other records.
///
/// Invariant: holds at most `capacity` records. To make room it drops those
/// that expire first.
class stream_origin_store {
 public:
  explicit stream_origin_store(std::size_t capacity) : capacity_(capacity) {}

  /// May drop a record, also the one just recorded; see `dropped`.
  record_result Record(const stream_record& record, time_point now);
  /// Returns nullopt if the stream is unknown or contradicted.
  [[nodiscard]] std::optional<stream_record> Find(stream_key key,
                                                  time_point now) const;
  [[nodiscard]] bool IsContradicted(stream_key key, time_point now) const;
  /// All records with time remaining that are not contradicted.
  [[nodiscard]] std::vector<stream_record> All(time_point now) const;
  void Expire(time_point now);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// Records dropped before their time because the store was full, or not kept
  /// because they exceed the limits.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  struct origin_order {
    bool operator()(const stream_origin& a, const stream_origin& b) const {
      return std::tie(a.pool, a.version) < std::tie(b.pool, b.version);
    }
  };
  /// Each origin once, with the number of entries that refer to it.
  using origin_counts = std::map<stream_origin, std::size_t, origin_order>;

  struct entry {
    time_point expires;
    /// nullptr if contradicted.
    origin_counts::value_type* origin = nullptr;
  };
  using entries = std::unordered_map<stream_key, entry>;

  [[nodiscard]] const entry* FindLive(stream_key key, time_point now) const;
  record_result Add(const stream_record& record,
                    time_point expires,
                    time_point now);
  void Prolong(entries::iterator position, time_point expires);
  void Release(entry& released);
  void RemoveFirst();

  std::size_t capacity_;
  entries entries_;
  /// Exactly one element for each entry.
  std::set<std::pair<time_point, stream_key>> by_expiry_;
  origin_counts origins_;
  std::uint64_t dropped_ = 0;
};

}  // namespace burdocklock::streams
