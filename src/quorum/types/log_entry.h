// Replicated log entries, snapshots and the members that replicate them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

namespace burdocklock::quorum {

/// Identifies a control host together with its disk. A host that has lost its
/// disk joins under a new id, so that votes and entries acknowledged by the old
/// disk are not attributed to the new one.
using member_id = strong_type<struct member_id_tag, std::string>;
using term_number = strong_type<struct term_number_tag, std::uint64_t>;
/// Position in the log, counted from 1.
using log_index = strong_type<struct log_index_tag, std::uint64_t>;

inline log_index operator+(log_index index, std::uint64_t count) {
  return log_index(index.value() + count);
}
/// The preceding index; 0 maps to itself.
inline log_index PreviousIndex(log_index index) {
  return log_index(index.value() == 0 ? 0 : index.value() - 1);
}

struct member {
  member_id id;
  /// Address that other daemons connect to.
  endpoint peer_endpoint;
  /// Address that serves operators and targets.
  endpoint command_endpoint;
  /// False for a learner, which receives the log but has no vote.
  bool voter = false;

  friend bool operator==(const member&, const member&) = default;
};

using membership = std::vector<member>;

enum class entry_kind {
  /// Appended by a new leader so that it can commit entries of earlier terms.
  kNoOp,
  kCommand,
  kMembership,
};

struct log_entry {
  log_index index;
  term_number term;
  entry_kind kind = entry_kind::kNoOp;
  /// Payload of a command entry, opaque to the log.
  std::string command;
  /// Complete member list of a membership entry.
  membership members;

  friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// The state after applying all entries up to `last_index`.
struct snapshot {
  log_index last_index;
  term_number last_term;
  membership members;
  /// Encoded state of the owner, opaque to the log.
  std::string state;

  friend bool operator==(const snapshot&, const snapshot&) = default;
};

}  // namespace burdocklock::quorum
