// Membership of raft_node. The leader adds hosts that ask for it, gives them a
// vote once they have caught up, and removes voters that are gone for good.
#include <algorithm>
#include <utility>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

namespace {

// A learner this close to the end of the log has caught up.
constexpr std::uint64_t kCaughtUpDistance = 16;

}  // namespace

void raft_node::Handle(const member_id& from,
                       const join_request& m,
                       time_point now) {
  if (!MayChangeMembers() || from != m.joiner.id ||
      FindMember(from) != nullptr) {
    return;
  }
  membership members = log_.members();
  member joiner = m.joiner;
  joiner.voter = false;
  members.push_back(std::move(joiner));
  ChangeMembers(std::move(members), now);
}

bool raft_node::MayChangeMembers() const {
  // One change at a time, and none before this term has committed an entry.
  return role_ == raft_role::kLeader && commit_ >= term_start_ &&
         commit_ >= log_.members_index();
}

void raft_node::ChangeMembers(membership members, time_point now) {
  log_entry entry{.kind = entry_kind::kMembership,
                  .members = std::move(members)};
  entry.index = log_.last_index() + 1;
  entry.term = term_;
  log_.Append(entry);
  Record(append_record{.entry = std::move(entry)});
  TrackPeers(now);
  Broadcast(now);
}

void raft_node::TrackPeers(time_point now) {
  std::erase_if(peers_, [this](const auto& peer) {
    return FindMember(peer.first) == nullptr;
  });
  for (const member& member : log_.members()) {
    if (member.id != self_) {
      peers_.try_emplace(member.id, peer_progress{.next = log_.last_index() + 1,
                                                  .match = log_index(0),
                                                  .last_ack = now});
    }
  }
}

bool raft_node::IsHeard(const member_id& id, time_point now) const {
  if (id == self_) {
    return true;
  }
  const auto peer = peers_.find(id);
  return peer != peers_.end() &&
         now - peer->second.last_ack < options_.min_election;
}

std::optional<member_id> raft_node::FindRemovable(time_point now) const {
  const membership& members = log_.members();
  const std::size_t enough = 2 * std::size_t{options_.tolerated_losses} + 1;
  for (const member& candidate : members) {
    const auto peer = peers_.find(candidate.id);
    if (candidate.id == self_ || peer == peers_.end() ||
        IsHeard(candidate.id, now)) {
      continue;
    }
    // A host that has come back without its disk uses the same address.
    const bool replaced =
        std::any_of(members.begin(), members.end(), [&](const member& other) {
          return other.id != candidate.id && other.links == candidate.links &&
                 IsHeard(other.id, now) && (other.voter || !candidate.voter);
        });
    const bool silent = now - peer->second.last_ack >= options_.voter_silence;
    const bool spare = !candidate.voter || VoterCount() > enough;
    if (replaced || (silent && spare)) {
      return candidate.id;
    }
  }
  return std::nullopt;
}

void raft_node::ImproveMembership(time_point now) {
  if (!MayChangeMembers()) {
    return;
  }
  membership members = log_.members();
  for (member& learner : members) {
    const auto peer = peers_.find(learner.id);
    if (learner.voter || peer == peers_.end() || !IsHeard(learner.id, now)) {
      continue;
    }
    const bool caught_up =
        peer->second.match + kCaughtUpDistance >= log_.last_index() &&
        peer->second.match >= term_start_;
    if (caught_up) {
      learner.voter = true;
      ChangeMembers(std::move(members), now);
      return;
    }
  }
  if (const auto gone = FindRemovable(now)) {
    std::erase_if(members,
                  [&](const member& member) { return member.id == *gone; });
    ChangeMembers(std::move(members), now);
  }
}

}  // namespace burdocklock::quorum
