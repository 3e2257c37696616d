// Messages between members.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "quorum/types/log_entry.h"

namespace burdocklock::quorum {

struct vote_request {
  term_number term;
  log_index last_index;
  term_number last_term;
  /// Asks only whether a vote would be given (pre-vote); `term` is the one that
  /// the sender would campaign in.
  bool trial = false;
};

struct vote_response {
  term_number term;
  bool granted = false;
  bool trial = false;
};

/// Entries to append, or a heartbeat if there are none.
struct append_request {
  term_number term;
  log_index previous_index;
  term_number previous_term;
  std::vector<log_entry> entries;
  log_index commit;
  /// Echoed by the answer, so that the leader knows how recent it is.
  std::uint64_t round = 0;
};

struct append_response {
  term_number term;
  bool accepted = false;
  /// If accepted, what the sender has on disk; otherwise where to try next.
  log_index match;
  std::uint64_t round = 0;
};

/// Replaces a log that lacks entries that the leader no longer has.
struct snapshot_request {
  term_number term;
  snapshot contents;
  std::uint64_t round = 0;
};

/// Asks the leader to add the sender as a member without a vote.
struct join_request {
  member joiner;
};

using quorum_message = std::variant<vote_request,
                                    vote_response,
                                    append_request,
                                    append_response,
                                    snapshot_request,
                                    join_request>;

}  // namespace burdocklock::quorum
