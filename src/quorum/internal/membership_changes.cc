// Membership changes of raft_node. The leader adds hosts that request to join
// as learners, promotes them to voters once they have caught up, and removes
// members that were replaced or have stopped responding.
#include <algorithm>
#include <utility>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

namespace {

// A learner is promoted when it lags the log by at most this many entries.
constexpr std::uint64_t kMaxCaughtUpLag = 16;

}  // namespace

void raft_node::Handle(const member_id& from,
                       const join_request& m,
                       time_point now) {
  if (!MayChangeMembers() || from != m.new_member.id ||
      FindMember(from) != nullptr) {
    return;
  }
  membership members = log_.members();
  member new_member = m.new_member;
  new_member.voter = false;
  members.push_back(std::move(new_member));
  ChangeMembers(std::move(members), now);
}

bool raft_node::MayChangeMembers() const {
  // Allow one change at a time, and only after an entry of the current term has
  // been committed.
  return role_ == raft_role::kLeader && commit_index_ >= term_start_index_ &&
         commit_index_ >= log_.members_index();
}

void raft_node::ChangeMembers(membership members, time_point now) {
  log_entry entry{.kind = entry_kind::kMembership,
                  .members = std::move(members)};
  entry.index = log_.last_index() + 1;
  entry.term = term_;
  log_.Append(entry);
  Record(append_record{.entry = std::move(entry)});
  UpdatePeers(now);
  Broadcast(now);
}

void raft_node::UpdatePeers(time_point now) {
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

bool raft_node::IsResponsive(const member_id& id, time_point now) const {
  if (id == self_) {
    return true;
  }
  const auto peer = peers_.find(id);
  return peer != peers_.end() &&
         now - peer->second.last_ack < options_.min_election_timeout;
}

std::optional<member_id> raft_node::FindRemovableMember(time_point now) const {
  const membership& members = log_.members();
  const std::size_t required_voters =
      2 * std::size_t{options_.tolerated_losses} + 1;
  for (const member& inspected : members) {
    const auto peer = peers_.find(inspected.id);
    if (inspected.id == self_ || peer == peers_.end() ||
        IsResponsive(inspected.id, now)) {
      continue;
    }
    // A host that has lost its disk returns with a new id and the same address.
    const bool replaced =
        std::any_of(members.begin(), members.end(), [&](const member& other) {
          return other.id != inspected.id &&
                 other.peer_endpoint == inspected.peer_endpoint &&
                 IsResponsive(other.id, now) &&
                 (other.voter || !inspected.voter);
        });
    const bool timed_out =
        now - peer->second.last_ack >= options_.voter_timeout;
    const bool redundant = !inspected.voter || VoterCount() > required_voters;
    if (replaced || (timed_out && redundant)) {
      return inspected.id;
    }
  }
  return std::nullopt;
}

void raft_node::UpdateMembership(time_point now) {
  if (!MayChangeMembers()) {
    return;
  }
  membership members = log_.members();
  for (member& learner : members) {
    const auto peer = peers_.find(learner.id);
    if (learner.voter || peer == peers_.end() ||
        !IsResponsive(learner.id, now)) {
      continue;
    }
    const bool caught_up =
        peer->second.match + kMaxCaughtUpLag >= log_.last_index() &&
        peer->second.match >= term_start_index_;
    if (caught_up) {
      learner.voter = true;
      ChangeMembers(std::move(members), now);
      return;
    }
  }
  if (const auto removable = FindRemovableMember(now)) {
    std::erase_if(
        members, [&](const member& member) { return member.id == *removable; });
    ChangeMembers(std::move(members), now);
  }
}

}  // namespace burdocklock::quorum
