// The part of the replicated log that a member holds in memory.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "quorum/types/log_entry.h"

namespace burdocklock::quorum {

/// Invariant: entries follow `base` without gaps.
class raft_log {
 public:
  raft_log(snapshot base, std::vector<log_entry> entries);

  [[nodiscard]] log_index last_index() const;
  [[nodiscard]] term_number last_term() const;
  /// Term of the entry at that position; nullopt if it is not held.
  [[nodiscard]] std::optional<term_number> TermAt(log_index index) const;
  [[nodiscard]] const log_entry& At(log_index index) const;
  /// Entries from `first` on, at most `max_count` and about `max_bytes`.
  [[nodiscard]] std::vector<log_entry> From(log_index first,
                                            std::size_t max_count,
                                            std::size_t max_bytes) const;

  void Append(log_entry entry);
  /// Drops entries from `first` on.
  void Truncate(log_index first);
  /// Drops entries up to the snapshot's last one.
  void Compact(snapshot base);
  /// Starts over from a snapshot.
  void Reset(snapshot base);

  /// The latest list of members and its position, which may not be committed.
  [[nodiscard]] const membership& members() const;
  [[nodiscard]] log_index members_index() const;

  [[nodiscard]] const snapshot& base() const { return base_; }
  [[nodiscard]] const std::deque<log_entry>& entries() const {
    return entries_;
  }

 private:
  void FindMembers();

  snapshot base_;
  std::deque<log_entry> entries_;
  /// Position of the latest membership entry; that of `base_` if none.
  log_index members_index_;
};

}  // namespace burdocklock::quorum
