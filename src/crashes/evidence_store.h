// Evidence about what ends targets, merged from all routers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "crashes/types/evidence.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::crashes {

/// Upper bounds; the oldest entries are dropped first. Those of suspects,
/// served and blocked ones hold for each kind of suspect.
inline constexpr std::size_t kMaxEnds = 256;
inline constexpr std::size_t kMaxSuspects = 256;
inline constexpr std::size_t kMaxServed = 1024;
inline constexpr std::size_t kMaxBlocked = 256;

/// Merging is idempotent and does not depend on the order, so evidence may
/// arrive late, more than once and over several hosts.
class evidence_store {
 public:
  struct end_record {
    pool_id pool;
    time_point at;
    std::set<std::uint64_t> parts;
    std::set<std::uint64_t> requests;

    [[nodiscard]] const std::set<std::uint64_t>& Suspects(
        suspect_kind kind) const {
      return kind == suspect_kind::kPart ? parts : requests;
    }
    /// Whether it was in a request of the target.
    [[nodiscard]] bool Contains(const pool_suspect& key) const {
      return pool == key.pool && Suspects(key.kind).contains(key.id);
    }
  };
  struct block_record {
    time_point at;
    std::uint32_t times_blocked = 1;
  };
  using end_key = std::pair<target_id, incarnation>;

  /// Returns what was not known before.
  evidence Merge(const evidence& received, time_point now);
  /// Everything that is known.
  [[nodiscard]] evidence All(time_point now) const;
  /// Drops what is too old to matter.
  void Expire(time_point now);

  [[nodiscard]] const std::map<end_key, end_record>& ends() const {
    return ends_;
  }
  [[nodiscard]] const std::map<pool_suspect, block_record>& blocked() const {
    return blocked_;
  }
  /// When a target last served a request with it, as far as reported.
  [[nodiscard]] std::optional<time_point> LastServed(
      const pool_suspect& key) const;

 private:
  bool MergeEnd(const target_end& received, time_point now, target_end& news);
  bool MergeServed(const served_suspect& received, time_point now);
  bool MergeBlocked(const blocked_suspect& received, time_point now);
  void DropExcess();

  // Invariant: no container exceeds its upper bound after a call.
  std::map<end_key, end_record> ends_;
  std::map<pool_suspect, time_point> served_;
  std::map<pool_suspect, block_record> blocked_;
};

}  // namespace burdocklock::crashes
