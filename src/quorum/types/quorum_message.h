// Messages exchanged between members of the replicated log.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "quorum/types/log_entry.h"

namespace burdocklock::quorum {

/// What a member that wants to lead tells the voters.
enum class candidacy : std::uint8_t {
  kAsks,
  /// It stands, and its own vote is being written: others should wait for it.
  kStands,
  /// It has given up, and others need not wait.
  kGivesUp,
};

struct vote_request {
  term_number term;
  log_index last_index;
  term_number last_term;
  /// Pre-vote: asks whether a vote would be granted; `term` is the term in
  /// which the sender would start an election.
  bool pre_vote = false;
  /// Other than `kAsks` only with `pre_vote`, as which members of older
  /// software take it; `term` is then the sender's own.
  candidacy standing = candidacy::kAsks;
};

struct vote_response {
  term_number term;
  bool granted = false;
  bool pre_vote = false;
};

/// Entries to append; without entries, a heartbeat.
struct append_request {
  term_number term;
  log_index previous_index;
  term_number previous_term;
  std::vector<log_entry> entries;
  log_index commit;
  /// Echoed in the response, so that the leader can tell how recent it is.
  std::uint64_t round = 0;
};

struct append_response {
  term_number term;
  bool accepted = false;
  /// If accepted, the last matching index that the sender has on disk;
  /// otherwise a hint at which index the leader should try next.
  log_index match;
  std::uint64_t round = 0;
};

/// Installs a snapshot on a member that lacks entries which the leader has
/// already compacted.
struct snapshot_request {
  term_number term;
  snapshot contents;
  std::uint64_t round = 0;
};

/// Asks the leader to add a host as a non-voting member (learner). Members that
/// do not lead pass it on to the leader, once.
struct join_request {
  member new_member;
};

/// Asks the leader to remove the sender, which is about to stop; repeated until
/// answered.
struct leave_request {};

/// The receiver is no longer a member.
struct leave_response {};

using quorum_message = std::variant<vote_request,
                                    vote_response,
                                    append_request,
                                    append_response,
                                    snapshot_request,
                                    join_request,
                                    leave_request,
                                    leave_response>;

}  // namespace burdocklock::quorum
