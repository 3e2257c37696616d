// In-memory log of a member: a snapshot and the entries after it.
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
  /// Term of the entry at `index`; nullopt if it is compacted or not present.
  [[nodiscard]] std::optional<term_number> TermAt(log_index index) const;
  [[nodiscard]] const log_entry& EntryAt(log_index index) const;
  /// Entries from `first` on, at most `max_count`. Stops after the entry with
  /// which the command sizes reach `max_bytes`.
  [[nodiscard]] std::vector<log_entry> EntriesFrom(log_index first,
                                                   std::size_t max_count,
                                                   std::size_t max_bytes) const;

  void Append(log_entry entry);
  /// Removes the entries from `first` on.
  void Truncate(log_index first);
  /// Removes the entries covered by the snapshot.
  void Compact(snapshot base);
  /// Removes all entries and continues from the snapshot.
  void Reset(snapshot base);

  /// The latest member list, which need not be committed yet, and its index.
  [[nodiscard]] const membership& members() const;
  [[nodiscard]] log_index members_index() const;

  [[nodiscard]] const snapshot& base() const { return base_; }
  [[nodiscard]] const std::deque<log_entry>& entries() const {
    return entries_;
  }

 private:
  void UpdateMembersIndex();

  snapshot base_;
  std::deque<log_entry> entries_;
  /// Index of the latest membership entry; the last index of `base_` if none.
  log_index members_index_;
};

}  // namespace burdocklock::quorum
