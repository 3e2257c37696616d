// Membership changes of raft_node. The leader adds hosts that request to join
// as learners, promotes them to voters once they have caught up, and removes
// members that were replaced or have stopped responding.
#include <algorithm>
#include <utility>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

namespace {

// A learner that lags the log by at most this many entries has caught up.
constexpr std::uint64_t kMaxCaughtUpLag = 16;
// A member that has not repeated its request to leave for this time is taken to
// have stopped or started again.
constexpr std::chrono::milliseconds kLeaveRequestTimeout{500};

}  // namespace

void raft_node::Handle(const member_id& from,
                       const join_request& m,
                       time_point now) {
  const bool passed_on = from != m.new_member.id;
  if (FindMember(m.new_member.id) != nullptr ||
      (passed_on && FindMember(from) == nullptr)) {
    return;
  }
  const join_note note{.joining = m.new_member.id,
                       .decision = DecideJoin(m, passed_on, now)};
  if (note.decision == join_decision::kAdded || last_join_note_ != note) {
    last_join_note_ = note;
    output_.joins.push_back(note);
  }
}

join_decision raft_node::DecideJoin(const join_request& m,
                                    bool passed_on,
                                    time_point now) {
  if (role_ != raft_role::kLeader) {
    // The new host may know only hosts that do not lead.
    if (passed_on || leader_.value().empty()) {
      return join_decision::kNoLeader;
    }
    Send(leader_, m);
    return join_decision::kPassedOn;
  }
  if (!MayChangeMembers()) {
    return join_decision::kChangePending;
  }
  membership members = log_.members();
  member new_member = m.new_member;
  new_member.voter = false;
  members.push_back(std::move(new_member));
  ChangeMembers(std::move(members), now);
  return join_decision::kAdded;
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
      peers_.try_emplace(member.id,
                         peer_progress{.next = log_.last_index() + 1,
                                       .match = log_index(0),
                                       .last_ack = now,
                                       .round_target = log_.last_index(),
                                       .round_began = now});
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

bool raft_node::IsLeaving(const member_id& id, time_point now) const {
  if (id == self_) {
    return leaving_;
  }
  const auto peer = peers_.find(id);
  return peer != peers_.end() && peer->second.leave_requested &&
         now - *peer->second.leave_requested < kLeaveRequestTimeout;
}

bool raft_node::HasSpareVoter() const {
  return VoterCount() > 2 * std::size_t{options_.tolerated_losses} + 1;
}

bool raft_node::KeepsQuorumWithout(const member_id& id, time_point now) const {
  std::size_t voters = 0;
  std::size_t responsive = 0;
  for (const member& member : log_.members()) {
    if (member.voter && member.id != id) {
      ++voters;
      responsive += IsResponsive(member.id, now) ? 1 : 0;
    }
  }
  return responsive > voters / 2;
}

std::optional<member_id> raft_node::FindReplacedMember(time_point now) const {
  const membership& members = log_.members();
  for (const member& inspected : members) {
    if (inspected.id == self_ || IsResponsive(inspected.id, now)) {
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
    if (replaced) {
      return inspected.id;
    }
  }
  return std::nullopt;
}

std::optional<member_id> raft_node::FindLeavingMember(time_point now) const {
  for (const member& inspected : log_.members()) {
    const bool redundant = !inspected.voter || HasSpareVoter();
    if (IsLeaving(inspected.id, now) && redundant &&
        KeepsQuorumWithout(inspected.id, now)) {
      return inspected.id;
    }
  }
  return std::nullopt;
}

std::optional<member_id> raft_node::FindSilentMember(time_point now) const {
  // A new leader gives members two heartbeats to respond.
  if (now - elected_ < 2 * options_.heartbeat_interval) {
    return std::nullopt;
  }
  // The one that has been silent longest is least likely to return.
  std::optional<member_id> silent;
  time_point last_ack = now - options_.voter_timeout;
  for (const member& inspected : log_.members()) {
    const auto peer = peers_.find(inspected.id);
    const bool redundant = !inspected.voter || HasSpareVoter();
    if (peer != peers_.end() && redundant &&
        peer->second.last_ack <= last_ack) {
      silent = inspected.id;
      last_ack = peer->second.last_ack;
    }
  }
  return silent;
}

std::optional<member_id> raft_node::FindRemovableMember(time_point now) const {
  // A member that leaves goes before one that is silent and may return.
  if (auto replaced = FindReplacedMember(now)) {
    return replaced;
  }
  if (auto leaving = FindLeavingMember(now)) {
    return leaving;
  }
  return FindSilentMember(now);
}

void raft_node::Upkeep(time_point now) {
  next_upkeep_ = now + options_.heartbeat_interval;
  if (HasQuorum(now)) {
    UpdateMembership(now);
  } else {
    BecomeFollower(term_, now);
  }
}

void raft_node::FollowRounds(peer_progress& peer, time_point now) {
  if (peer.match >= peer.round_target) {
    peer.keeps_pace = now - peer.round_began < options_.min_election_timeout;
    peer.round_target = log_.last_index();
    peer.round_began = now;
  }
}

bool raft_node::HasCaughtUp(const peer_progress& peer, time_point now) const {
  // While entries keep coming there are always some on their way.
  const bool keeps_pace =
      peer.keeps_pace && now - peer.round_began < options_.min_election_timeout;
  return peer.match >= term_start_index_ &&
         (keeps_pace || peer.match + kMaxCaughtUpLag >= log_.last_index());
}

void raft_node::UpdateMembership(time_point now) {
  if (!MayChangeMembers()) {
    return;
  }
  membership members = log_.members();
  for (member& learner : members) {
    const auto peer = peers_.find(learner.id);
    if (learner.voter || peer == peers_.end() || IsLeaving(learner.id, now) ||
        !IsResponsive(learner.id, now)) {
      continue;
    }
    if (HasCaughtUp(peer->second, now)) {
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

void raft_node::Leave(time_point now) {
  leaving_ = true;
  SendLeaveRequest(now);
}

bool raft_node::AwaitsLeave() const {
  if (!leaving_ || left_ || !IsVoter(self_)) {
    return false;
  }
  const membership& members = log_.members();
  return HasSpareVoter() ||
         std::any_of(members.begin(), members.end(),
                     [](const member& member) { return !member.voter; });
}

void raft_node::SendLeaveRequest(time_point now) {
  if (left_) {
    next_leave_request_ = kNever;
    return;
  }
  next_leave_request_ = now + options_.heartbeat_interval;
  if (role_ == raft_role::kLeader) {
    UpdateMembership(now);
  } else if (!leader_.value().empty()) {
    Send(leader_, leave_request{});
  }
}

void raft_node::Handle(const member_id& from,
                       const leave_request&,
                       time_point now) {
  if (role_ != raft_role::kLeader) {
    return;
  }
  const auto peer = peers_.find(from);
  if (peer != peers_.end()) {
    peer->second.leave_requested = now;
    UpdateMembership(now);
  } else if (MayChangeMembers()) {
    // Removed, and the removal is committed.
    Send(from, leave_response{});
  }
}

void raft_node::Handle(const member_id&, const leave_response&, time_point) {
  left_ = leaving_;
}

void raft_node::StepDownIfRemoved(time_point now) {
  if (role_ != raft_role::kLeader || FindMember(self_) != nullptr ||
      commit_index_ < log_.members_index()) {
    return;
  }
  left_ = true;
  // Lets the others know of the commit before they elect a leader.
  Broadcast(now);
  BecomeFollower(term_, now);
}

}  // namespace burdocklock::quorum
