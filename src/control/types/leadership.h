// What a control host knows about who leads, for operators.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "framework/types/time.h"
#include "quorum/raft_node.h"

namespace burdocklock::control {

struct leadership {
  quorum::raft_role role = quorum::raft_role::kFollower;
  quorum::term_number term;
  /// Empty if none is known.
  quorum::member_id leader;
  /// How long `leader` has been that.
  duration known_for{};
  std::size_t voters = 0;
  /// Voters to which this host has opened a link that carries messages, and
  /// itself if it is a voter.
  std::size_t voters_linked = 0;
  /// Voters that respond to this host; known to the leader only.
  std::optional<std::size_t> voters_responding;
  /// How often this host wanted to become leader and did not since it last
  /// knew of one.
  std::uint64_t elections_lost = 0;
  std::optional<quorum::election_note> last_election;
};

}  // namespace burdocklock::control
