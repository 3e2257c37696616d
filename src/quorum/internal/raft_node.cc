// Input, output and storage of raft_node. Elections, replication and membership
// changes are in election.cc, replication.cc and membership_changes.cc.
#include "quorum/raft_node.h"

#include <algorithm>
#include <utility>

namespace burdocklock::quorum {

raft_node::raft_node(raft_options options,
                     durable_state recovered,
                     i_random& random,
                     time_point now)
    : options_(std::move(options)),
      random_(random),
      self_(std::move(recovered.self)),
      term_(recovered.term),
      vote_(std::move(recovered.vote)),
      log_(std::move(recovered.base), std::move(recovered.entries)),
      commit_index_(log_.base().last_index),
      durable_index_(log_.last_index()),
      leader_since_(now),
      last_leader_contact_(now),
      last_led_term_(term_) {
  if (!log_.base().state.empty()) {
    output_.applied.emplace_back(log_.base());
  }
  ResetElectionTimer(now);
}

void raft_node::OnTick(time_point now) {
  if (now >= next_leave_request_) {
    SendLeaveRequest(now);
  }
  if (role_ == raft_role::kLeader) {
    if (now >= next_upkeep_) {
      Upkeep(now);
    }
    if (now >= next_heartbeat_) {
      Broadcast(now);
    }
    return;
  }
  const bool stands = next_candidacy_ != kNever;
  if (now >= election_deadline_ || (stands && !HearsMajority(now))) {
    SetLeader(member_id(), now);
    StartPreVote(now);
  } else if (now >= next_candidacy_) {
    AnnounceCandidacy(now);
  }
}

time_point raft_node::NextDeadline() const {
  const time_point role_deadline = role_ == raft_role::kLeader
                                       ? std::min(next_heartbeat_, next_upkeep_)
                                       : election_deadline_;
  return std::min({role_deadline, next_candidacy_, next_leave_request_});
}

void raft_node::OnMessage(const member_id& from,
                          const quorum_message& message,
                          time_point now) {
  std::visit([&](const auto& value) { Handle(from, value, now); }, message);
}

void raft_node::OnDurable(batch_number batch, time_point now) {
  while (!pending_batches_.empty() &&
         pending_batches_.front().number <= batch) {
    pending_batch done = std::move(pending_batches_.front());
    pending_batches_.pop_front();
    durable_index_ = std::max(durable_index_, done.last_index);
    own_vote_unstored_ &= !done.own_vote;
    if (done.term != term_) {
      // The deferred messages and the vote belong to an earlier term.
      continue;
    }
    for (outgoing_message& message : done.messages) {
      output_.messages.push_back(std::move(message));
    }
    if (done.own_vote && role_ == raft_role::kCandidate && !in_pre_vote_) {
      votes_.insert(self_);
      CountVotes(now);
    }
  }
  if (role_ == raft_role::kLeader) {
    AdvanceCommit();
    StepDownIfRemoved(now);
  }
}

raft_output raft_node::TakeOutput() {
  if (!output_.records.empty()) {
    last_batch_ = batch_number(last_batch_.value() + 1);
    output_.batch = last_batch_;
    pending_batches_.push_back(
        {.number = last_batch_,
         .last_index = log_.last_index(),
         .term = term_,
         .messages = std::exchange(deferred_messages_, {}),
         .own_vote = std::exchange(own_vote_recorded_, false)});
  } else if (!deferred_messages_.empty()) {
    std::vector<outgoing_message>& target =
        pending_batches_.empty() ? output_.messages
                                 : pending_batches_.back().messages;
    std::move(deferred_messages_.begin(), deferred_messages_.end(),
              std::back_inserter(target));
    deferred_messages_.clear();
  }
  return std::exchange(output_, {});
}

void raft_node::Compact(log_index applied, std::string state) {
  if (applied <= log_.base().last_index || applied > commit_index_) {
    return;
  }
  // The snapshot holds the member list as of `applied`, not a later one.
  membership members = log_.base().members;
  for (const log_entry& entry : log_.entries()) {
    if (entry.index <= applied && entry.kind == entry_kind::kMembership) {
      members = entry.members;
    }
  }
  log_.Compact({.last_index = applied,
                .last_term = *log_.TermAt(applied),
                .members = std::move(members),
                .state = std::move(state)});
  Record(rewrite_record{
      .state = {.self = self_,
                .term = term_,
                .vote = vote_,
                .base = log_.base(),
                .entries = {log_.entries().begin(), log_.entries().end()}}});
}

const member* raft_node::FindMember(const member_id& id) const {
  const membership& members = log_.members();
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const member& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

bool raft_node::WantsToJoin(time_point now) const {
  return role_ != raft_role::kLeader && !leaving_ &&
         (FindMember(self_) == nullptr || !HasRecentLeaderContact(now));
}

bool raft_node::IsCurrent(time_point now) const {
  if (role_ == raft_role::kLeader) {
    return commit_index_ >= term_start_index_ && HasQuorum(now);
  }
  return HasRecentLeaderContact(now) && commit_index_ >= leader_commit_index_;
}

member raft_node::Description() const {
  return {.id = self_,
          .peer_endpoint = options_.peer_endpoint,
          .command_endpoint = options_.command_endpoint,
          .voter = IsVoter(self_)};
}

void raft_node::Record(storage_record record) {
  output_.records.push_back(std::move(record));
}

void raft_node::RecordVote() {
  Record(vote_record{.term = term_, .vote = vote_});
}

void raft_node::TruncateFrom(log_index first) {
  log_.Truncate(first);
  Record(truncate_record{.first = first});
  // Entries on disk from `first` on no longer count as durable.
  durable_index_ = std::min(durable_index_, PreviousIndex(first));
  for (pending_batch& batch : pending_batches_) {
    batch.last_index = std::min(batch.last_index, PreviousIndex(first));
  }
}

void raft_node::Send(const member_id& to, quorum_message message) {
  output_.messages.push_back({.to = to, .message = std::move(message)});
}

void raft_node::SendWhenDurable(const member_id& to, quorum_message message) {
  deferred_messages_.push_back({.to = to, .message = std::move(message)});
}

bool raft_node::IsVoter(const member_id& id) const {
  const member* found = FindMember(id);
  return found != nullptr && found->voter;
}

std::size_t raft_node::VoterCount() const {
  const membership& members = log_.members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const member& member) { return member.voter; }));
}

}  // namespace burdocklock::quorum
