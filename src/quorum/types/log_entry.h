// Entries of the replicated log, and who replicates it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

namespace burdocklock::quorum {

/// A control host with one particular disk. A host that has lost its disk
/// joins under a new id, so that it cannot pass for what it was.
using member_id = strong_type<struct member_id_tag, std::string>;
using term_number = strong_type<struct term_number_tag, std::uint64_t>;
/// Position in the log, counted from 1.
using log_index = strong_type<struct log_index_tag, std::uint64_t>;

inline log_index operator+(log_index index, std::uint64_t count) {
  return log_index(index.value() + count);
}
/// The position before; 0 has none before it.
inline log_index Before(log_index index) {
  return log_index(index.value() == 0 ? 0 : index.value() - 1);
}

struct member {
  member_id id;
  /// Where other daemons open links.
  endpoint links;
  /// Where operators and targets call.
  endpoint commands;
  /// False while it only receives the log.
  bool voter = false;

  friend bool operator==(const member&, const member&) = default;
};

using membership = std::vector<member>;

enum class entry_kind {
  /// Written by a new leader, so that it can commit what came before.
  kNothing,
  kCommand,
  kMembership,
};

struct log_entry {
  log_index index;
  term_number term;
  entry_kind kind = entry_kind::kNothing;
  /// Of a command, as the owner encoded it.
  std::string command;
  /// Of a membership entry: the whole list.
  membership members;

  friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// The state after all entries up to `last_index`.
struct snapshot {
  log_index last_index;
  term_number last_term;
  membership members;
  /// As the owner encoded it.
  std::string state;

  friend bool operator==(const snapshot&, const snapshot&) = default;
};

}  // namespace burdocklock::quorum
