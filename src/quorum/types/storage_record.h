// Persistent state of a member and the records that change it.
#pragma once

#include <variant>
#include <vector>

#include "quorum/types/log_entry.h"

namespace burdocklock::quorum {

/// The state that a member recovers after a restart.
struct durable_state {
  member_id self;
  term_number term;
  /// The member voted for in `term`; empty if none.
  member_id vote;
  snapshot base;
  /// Entries after `base`, without gaps.
  std::vector<log_entry> entries;

  friend bool operator==(const durable_state&, const durable_state&) = default;
};

struct vote_record {
  term_number term;
  member_id vote;
};

struct append_record {
  log_entry entry;
};

/// Discards the entries from `first` on.
struct truncate_record {
  log_index first;
};

/// Replaces all earlier records.
struct rewrite_record {
  durable_state state;
};

using storage_record =
    std::variant<vote_record, append_record, truncate_record, rewrite_record>;

/// Applies a record to the state built from the preceding records.
void Apply(const storage_record& record, durable_state& state);

}  // namespace burdocklock::quorum
