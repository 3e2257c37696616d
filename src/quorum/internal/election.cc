// Elections of raft_node.
#include <algorithm>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

void raft_node::ArmElection(time_point now) {
  const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(
                          options_.max_election - options_.min_election)
                          .count();
  election_at_ = now + options_.min_election +
                 std::chrono::milliseconds(
                     random_.Below(static_cast<std::uint32_t>(spread) + 1));
}

bool raft_node::HeardLeaderLately(time_point now) const {
  return !leader_.value().empty() &&
         now - leader_heard_ < options_.min_election;
}

bool raft_node::IsUpToDate(const vote_request& request) const {
  if (request.last_term != log_.last_term()) {
    return request.last_term > log_.last_term();
  }
  return request.last_index >= log_.last_index();
}

vote_request raft_node::MakeVoteRequest(bool trial) const {
  return {.term = trial ? term_number(term_.value() + 1) : term_,
          .last_index = log_.last_index(),
          .last_term = log_.last_term(),
          .trial = trial};
}

void raft_node::StartTrial(time_point now) {
  ArmElection(now);
  if (!IsVoter(self_)) {
    return;
  }
  role_ = raft_role::kCandidate;
  in_trial_ = true;
  votes_ = {self_};
  for (const member& member : log_.members()) {
    if (member.voter && member.id != self_) {
      Send(member.id, MakeVoteRequest(true));
    }
  }
  CountVotes(now);
}

void raft_node::StartElection(time_point now) {
  ArmElection(now);
  in_trial_ = false;
  term_ = term_number(term_.value() + 1);
  vote_ = self_;
  // The own vote counts once it is on disk.
  votes_.clear();
  RecordVote();
  own_vote_recorded_ = true;
  for (const member& member : log_.members()) {
    if (member.voter && member.id != self_) {
      SendOnceDurable(member.id, MakeVoteRequest(false));
    }
  }
}

void raft_node::CountVotes(time_point now) {
  const auto granted = static_cast<std::size_t>(
      std::count_if(votes_.begin(), votes_.end(),
                    [this](const member_id& id) { return IsVoter(id); }));
  if (granted < Majority()) {
    return;
  }
  if (in_trial_) {
    StartElection(now);
  } else {
    BecomeLeader(now);
  }
}

void raft_node::Handle(const member_id& from,
                       const vote_request& m,
                       time_point now) {
  // Whoever hears a leader does not help to replace it.
  const bool leader_in_place =
      HeardLeaderLately(now) || (role_ == raft_role::kLeader && HasQuorum(now));
  if (m.trial) {
    const bool granted = m.term > term_ && IsUpToDate(m) && !leader_in_place;
    Send(from, vote_response{.term = granted ? m.term : term_,
                             .granted = granted,
                             .trial = true});
    return;
  }
  if (m.term < term_ || leader_in_place) {
    Send(from, vote_response{.term = term_, .granted = false});
    return;
  }
  if (m.term > term_) {
    BecomeFollower(m.term, now);
  }
  const bool free_to_vote = vote_.value().empty() || vote_ == from;
  if (!free_to_vote || !IsUpToDate(m)) {
    Send(from, vote_response{.term = term_, .granted = false});
    return;
  }
  if (vote_ != from) {
    vote_ = from;
    RecordVote();
  }
  ArmElection(now);
  SendOnceDurable(from, vote_response{.term = term_, .granted = true});
}

void raft_node::Handle(const member_id& from,
                       const vote_response& m,
                       time_point now) {
  if (!m.granted && m.term > term_) {
    BecomeFollower(m.term, now);
    return;
  }
  if (role_ != raft_role::kCandidate || !m.granted || m.trial != in_trial_) {
    return;
  }
  const term_number asked = in_trial_ ? term_number(term_.value() + 1) : term_;
  if (m.term != asked) {
    return;
  }
  votes_.insert(from);
  CountVotes(now);
}

void raft_node::BecomeFollower(term_number term, time_point now) {
  if (role_ == raft_role::kLeader) {
    FailReads();
    leader_ = member_id();
  }
  role_ = raft_role::kFollower;
  in_trial_ = false;
  peers_.clear();
  heartbeat_at_ = kNever;
  if (term > term_) {
    term_ = term;
    vote_ = member_id();
    leader_ = member_id();
    RecordVote();
  }
  ArmElection(now);
}

void raft_node::BecomeLeader(time_point now) {
  role_ = raft_role::kLeader;
  leader_ = self_;
  peers_.clear();
  TrackPeers(now);
  term_start_ = log_.last_index() + 1;
  AppendOwn({.kind = entry_kind::kNothing}, now);
}

}  // namespace burdocklock::quorum
